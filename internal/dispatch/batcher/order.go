package batcher

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Order asks for the pieces of one stage of one request.
type Order struct {
	Request string
	Service string
	Stage   int
	Pieces  int
	// Key is set for stages without inputs.
	Key    string
	Inputs []string
	// Left is the time until the caller gives up, Objective until the answer
	// is late.
	Left, Objective time.Duration
	// Rest is the expected time of what follows the stage.
	Rest time.Duration
	Rank site.Rank
	Zone string
	// ResultBytes is the size of the result of a piece.
	ResultBytes int64
	// InputBytes is the size of all inputs together.
	InputBytes int64
	// Dispatched is told when the last piece has gone to an upstream, which
	// fetches its inputs at once; nil is told nothing. It must not block.
	Dispatched func()
}

// Result is how an Order ended: Made, Refused or Failed.
type Result interface{ isResult() }

// Made has the results in the order of the pieces.
type Made struct {
	Handles []string
	// Queued is the time until the last piece was handed out.
	Queued time.Duration
	// Calls is the number of calls over which the pieces were spread.
	Calls int
	// Backlog is what waits at the owner now.
	Backlog batching.Backlog
}

// Refused says that the pieces cannot be made in time.
type Refused struct {
	// Retry is when there is expected to be room.
	Retry time.Duration
	// Backlog is what waits at the owner now.
	Backlog batching.Backlog
}

// Failed says that the pieces could not be made.
type Failed struct {
	// InputsGone is set where an input no longer exists.
	InputsGone bool
	Err        error
}

func (Made) isResult()    {}
func (Refused) isResult() {}
func (Failed) isResult()  {}

// Item is one piece in a call to an upstream.
type Item struct {
	Request string
	Stage   int
	Piece   int
	Left    time.Duration
	Key     string
	Inputs  []string
}

// Reason is why an upstream did not make a piece.
type Reason int

// The reasons.
const (
	// None is the reason of a piece that was made.
	None Reason = iota
	// Late pieces had no time left at their turn.
	Late
	// Gone pieces lack an input.
	Gone
	// NoRoom pieces found no memory for their result.
	NoRoom
	// Broken pieces failed.
	Broken
)

// Output is an upstream's answer for one Item.
type Output struct {
	Handle string
	Reason Reason
}

// Wire is how upstreams are spoken to.
type Wire struct {
	// Run returns the request for a call with items.
	Run func(t transport.Target, items []Item) (transport.Request, error)
	// Outputs reads the answer to it.
	Outputs func(body []byte) ([]Output, error)
	// Free returns the request that gives results back.
	Free func(t transport.Target, handles []string) (transport.Request, error)
	// Holder returns the address of the upstream that holds a result.
	Holder func(handle string) string
}
