package site

import "time"

// Kind tells what of a request may be repeated.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests are answered by a series of events and run at most
	// once, unless the route is resumable.
	Streaming
)

// String names the kind.
func (k Kind) String() string {
	switch k {
	case Unsafe:
		return "unsafe"
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Document is one version of the configuration. It is immutable once
// validated.
type Document struct {
	// Version is the operator's number; the highest stands.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time; for streams,
	// the time to the first event.
	Objective time.Duration
	// GapObjective is the longest pause between events that is on time.
	GapObjective time.Duration
	// Patience is the time to the first event after which callers of a stream
	// give up, 0 where it is not known.
	Patience time.Duration
	// Priority is the rank of the requests, 0 first.
	Priority int
	// Split are the services with their shares of the requests.
	Split []Share
	// Attempts is the greatest number of upstreams for one request.
	Attempts int
	// Stages are the work before a request can run, in order of their numbers.
	Stages []Stage
	// Anonymous lets requests without a key through.
	Anonymous bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
	// Sticky requests share parts of their prompts.
	Sticky bool
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Stage is work by pieces that a request needs first.
type Stage struct {
	Service string
	// After are the stages whose results are the inputs of this one.
	After []int
	// ResultBytes is the approximate size of the result of a piece.
	ResultBytes int64
}

// Service is a pool of upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts
	// from all callers together, 0 for no limit.
	MaxConnections int
	// Engine is set for pools of model engines.
	Engine *Engine
	// Pieces is set for services that stages use.
	Pieces *Pieces
}

// Engine describes each engine of a pool.
type Engine struct {
	Slots int
	// Tokens is the memory for prompts and results, in tokens.
	Tokens int64
}

// Pieces describes each upstream of a service that works on pieces.
type Pieces struct {
	// Slots is the number of calls in progress at once, Queue of those that
	// may wait.
	Slots, Queue int
	// Batch is the greatest number of pieces in one call.
	Batch int
	// Call is the time of a call without its pieces, Item that of one piece.
	Call, Item time.Duration
	// RoomBytes is the memory for results.
	RoomBytes int64
	// Hold is how long a result is kept.
	Hold time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's where it is set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
