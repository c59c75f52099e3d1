package site

import "time"

// Kind says whether the requests of a route may be retried.
type Kind int

// The kinds of route.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent and may be retried.
	Safe
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// String returns the name of the kind in the configuration.
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

// Document is one version of the configuration. It must not be modified after it
// was validated.
type Document struct {
	// Version is assigned by the operator. The highest version is in force.
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route configures the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash. It is compared with the path as it was sent.
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request, answer included. Callers
	// may set a shorter one.
	Timeout time.Duration
	// Objective is the latency objective: the time to the answer or, for
	// streams, to the first event.
	Objective time.Duration
	// GapObjective is the objective for the time between two events of a
	// stream.
	GapObjective time.Duration
	// AbandonAfter is the time without a first event after which callers of a
	// stream are expected to disconnect, or 0 if it is not known.
	AbandonAfter time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// Split distributes the requests among services.
	Split []WeightedService
	// Service is a service that the route names besides a Split. It gets no requests by that.
	Service string
	// MaxAttempts is the maximum number of times that a request is sent to an
	// upstream, the first included.
	MaxAttempts int
	// Stages must complete before a request can run. A stage is identified by
	// its index.
	Stages []Stage
	// AllowAnonymous admits requests without an API key.
	AllowAnonymous bool
	// Resumable is set if another upstream can continue a stream after its last
	// event.
	Resumable bool
	// Sticky is set if requests share prompt prefixes. Those with the same
	// prefix are preferably routed to the same upstream.
	Sticky bool
}

// WeightedService is a service that gets a fraction of a route's requests, which
// is its weight divided by the sum of the route's weights.
type WeightedService struct {
	Service string
	Weight  float64
}

// Stage is work that must complete before a request runs. It consists of pieces
// that can run in parallel and in batches.
type Stage struct {
	Service string
	// DependsOn are the indices of the stages whose results are the inputs of
	// this one.
	DependsOn []int
	// ResultBytes is the approximate size of the result of one piece.
	ResultBytes int64
}

// Service is a pool of upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one upstream from
	// all entry instances together; 0 is no limit.
	MaxConnections int
	// Engine is set if the upstreams are model engines.
	Engine *Engine
	// Batching is set if the upstreams process the pieces of stages.
	Batching *Batching
	// ColdPerSecond is the number of requests that an upstream tolerates in a second
	// while it is cold, 0 if it is never cold. ColdStartSeconds is how long it stays cold
	// after a start.
	ColdPerSecond, ColdStartSeconds float64
}

// Engine describes each model engine of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// KVCacheTokens is the capacity of the KV cache, in tokens.
	KVCacheTokens int64
}

// Batching describes each upstream of a service that processes pieces. One call
// carries a batch of pieces.
type Batching struct {
	// Slots is the number of calls that run at once, Queue the number of calls
	// that may wait for a slot.
	Slots, Queue int
	// MaxBatch is the maximum number of pieces in one call.
	MaxBatch int
	// CallOverhead is the fixed part of the duration of a call, PieceTime the
	// part that each piece adds.
	CallOverhead, PieceTime time.Duration
	// ResultMemoryBytes is the memory for results.
	ResultMemoryBytes int64
	// ResultTTL is how long a result is kept.
	ResultTTL time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority is the priority of the account's requests, which takes precedence
	// over the route's; nil if the account has none.
	Priority *int
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
