package gateway

import (
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// PromptSegment is a part of a prompt that other requests may share.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Credential is what a request shows of its client account: NoKey, Key or AmbiguousKey.
type Credential interface{ isCredential() }

// NoKey is the credential of a request that carries no API key.
type NoKey struct{}

// Key is an API key. An account may hold it or not.
type Key struct{ Value string }

// AmbiguousKey stands for credentials that contradict each other.
type AmbiguousKey struct{}

func (NoKey) isCredential()        {}
func (Key) isCredential()          {}
func (AmbiguousKey) isCredential() {}

// Attributes holds what the headers of a request say.
type Attributes struct {
	// ID identifies this attempt of the caller.
	ID string
	// Left is the time until the caller's deadline, 0 if it has set none.
	Left time.Duration
	// Credential is what the caller shows of its client account.
	Credential Credential
	// Prompt lists the segments of the prompt in order.
	Prompt []PromptSegment
	// OutputTokens is the greatest number of tokens to generate, 0 if it is not known.
	OutputTokens int
	// Pieces is the number of pieces of each stage.
	Pieces []int
	// PieceKey is the key that upstreams get with the pieces of stages without
	// inputs.
	PieceKey string
}

// UpstreamAttributes holds what the gateway states in the headers of a request
// that it forwards.
type UpstreamAttributes struct {
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// Upstream is the ID of the upstream that the request is meant for.
	Upstream string
	// Account is the client account, empty if the request has none.
	Account string
	// Inputs are the handles of the results of the final stages.
	Inputs []string
	// Rank is the priority of the request.
	Rank site.Rank
	// Engine is set if the upstream is a model engine.
	Engine bool
	// LastEventID is the ID of the last event that the caller has received. If
	// it is empty, the caller's own header is left as it is.
	LastEventID string
}

// HeaderCodec parses and writes the headers of requests and responses.
type HeaderCodec struct {
	// Parse reads the headers of a request.
	Parse func(h http.Header) (Attributes, error)
	// ToUpstream returns the headers of a forwarded request: the caller's,
	// without hop-by-hop headers and those that only the gateway may set, and
	// the gateway's own.
	ToUpstream func(h http.Header, a UpstreamAttributes) http.Header
	// ToCaller returns the headers of a response without hop-by-hop headers.
	ToCaller func(h http.Header) http.Header
}
