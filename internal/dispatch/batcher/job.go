package batcher

import (
	"fmt"
	"time"
	"unicode/utf8"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// MaxPieces is the largest number of pieces of one stage. A larger one would take the
// memory of the owner for a single request.
const MaxPieces = 1 << 14

// TooManyPiecesError reports a job with more than MaxPieces pieces.
type TooManyPiecesError struct{ Pieces int }

// Error returns the reason together with a remedy.
func (e *TooManyPiecesError) Error() string {
	return fmt.Sprintf("a stage of %d pieces is over the limit of %d; send less", e.Pieces, MaxPieces)
}

// InvalidJobError reports a job that cannot be sent to an owner or an upstream.
type InvalidJobError struct {
	// Field is the field that is not UTF-8.
	Field string
}

// Error returns the reason together with a remedy.
func (e *InvalidJobError) Error() string {
	return fmt.Sprintf("the %s of the pieces is not UTF-8; send another", e.Field)
}

// Validate returns a *TooManyPiecesError or an *InvalidJobError if the job cannot be run
// anywhere.
func (j Job) Validate() error {
	switch {
	case j.Pieces > MaxPieces:
		return &TooManyPiecesError{Pieces: j.Pieces}
	case !utf8.ValidString(j.RequestID):
		return &InvalidJobError{Field: "request ID"}
	case !utf8.ValidString(j.Key):
		return &InvalidJobError{Field: "key"}
	case !utf8.ValidString(j.Account):
		return &InvalidJobError{Field: "account"}
	default:
		return nil
	}
}

// Job asks for all pieces of one stage of one request.
type Job struct {
	RequestID string
	Service   string
	Stage     int
	Pieces    int
	// Key is the caller's key that is sent with each piece, set only for stages
	// without Inputs.
	Key string
	// Inputs are the handles of the results that the stage reads.
	Inputs []string
	// Timeout is the time until the caller gives up, Objective the time until
	// the answer misses its latency objective.
	Timeout, Objective time.Duration
	// Remaining is the expected duration of the work that follows this stage.
	Remaining time.Duration
	Rank      site.Rank
	// Account is the account of the caller, empty if there is none.
	Account string
	// Zone is the preferred availability zone of the upstream, empty for no
	// preference.
	Zone string
	// shardZone is the zone of the shard that runs the job, see shard.
	shardZone string
	// counted is set if this process counts what accounts ask for, see Router.Asked. asked
	// is then what they have asked for since the last job that was sent to the shard.
	counted bool
	asked   map[string]int
	// ResultBytes is the size of the result of one piece.
	ResultBytes int64
	// InputBytes is the total size of all inputs.
	InputBytes int64
	// InputsTTL is the time until the first of the inputs expires, 0 if unknown.
	InputsTTL time.Duration
	// OnDispatched, if not nil, is called once the last piece has been sent to
	// an upstream, which fetches its inputs right away. It must not block.
	OnDispatched func()
}

// Result is how a Job ended: Completed, Refused or Failed.
type Result interface{ isResult() }

// Completed holds the results of all pieces.
type Completed struct {
	// Handles are in the order of the pieces.
	Handles []string
	// Queued is the time until the last piece was dispatched.
	Queued time.Duration
	// Calls is the number of calls over which the pieces were spread.
	Calls int
	// Oldest is the time since the first of the results was made.
	Oldest time.Duration
	// Backlog is the owner's queue at completion.
	Backlog batching.Backlog
}

// Refused means that the pieces cannot be run before the deadline.
type Refused struct {
	// RetryAfter is the time until capacity is expected.
	RetryAfter time.Duration
	// Backlog is the owner's queue at the time of refusal.
	Backlog batching.Backlog
}

// Failed means that the pieces could not be run.
type Failed struct {
	// InputsGone is set if an input no longer exists.
	InputsGone bool
	Err        error
}

func (Completed) isResult() {}
func (Refused) isResult()   {}
func (Failed) isResult()    {}

// Item is one piece as it is sent in a call to an upstream.
type Item struct {
	RequestID  string
	Stage      int
	PieceIndex int
	// Timeout is the time until the deadline of the piece's job.
	Timeout time.Duration
	Key     string
	Inputs  []string
}

// Reason is why an upstream did not run a piece.
type Reason int

const (
	// ReasonNone means that the piece was run.
	ReasonNone Reason = iota
	// ReasonDeadlineExceeded means that the deadline had passed when the
	// upstream came to the piece.
	ReasonDeadlineExceeded
	// ReasonInputsGone means that an input no longer exists.
	ReasonInputsGone
	// ReasonNoMemory means that the upstream had no memory for the result.
	ReasonNoMemory
	// ReasonFailed means that running the piece failed.
	ReasonFailed
)

// Output is an upstream's answer for one Item.
type Output struct {
	Handle string
	Reason Reason
}

// Codec encodes requests to the upstreams and decodes their answers.
type Codec struct {
	// EncodeCall returns the request that runs items.
	EncodeCall func(t transport.Target, items []Item) (transport.Request, error)
	// DecodeOutputs reads the answer to such a request.
	DecodeOutputs func(body []byte) ([]Output, error)
	// EncodeRelease returns the request that releases results.
	EncodeRelease func(t transport.Target, handles []string) (transport.Request, error)
	// HolderAddress returns the address of the upstream that holds a result.
	HolderAddress func(handle string) string
}
