package gateway

import (
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Attributes is what the headers of a request say.
type Attributes struct {
	// ID identifies this attempt of the caller.
	ID string
	// Left is how long the caller waits, 0 where it does not say.
	Left time.Duration
	// Key is the account's key, empty for none.
	Key string
	// Prompt lists the parts of the prompt in order.
	Prompt []Part
	// Pieces is the number of pieces of each stage.
	Pieces []int
	// PieceKey is the key of pieces without inputs.
	PieceKey string
}

// Forwarding is what the system says of a request that it passes on.
type Forwarding struct {
	// Left is the time until the answer is of no use.
	Left time.Duration
	// Upstream is the identity of the upstream that it is meant for.
	Upstream string
	// Account is empty where the request has none.
	Account string
	// Inputs are the results of the last stages.
	Inputs []string
	// Rank orders the request among others.
	Rank site.Rank
	// Engine is set where a model engine takes the request.
	Engine bool
	// After is the id of the last event that the caller has, empty to leave
	// what the caller said.
	After string
}

// Wire reads and writes the headers of requests.
type Wire struct {
	// Attributes reads the headers of a request.
	Attributes func(h http.Header) (Attributes, error)
	// Forward returns the headers with which a request is passed on: the
	// caller's without those of the connection and those that only the system
	// may set, and the system's own.
	Forward func(h http.Header, f Forwarding) http.Header
	// Return returns the headers of an answer without those of the connection.
	Return func(h http.Header) http.Header
}
