package transport

import (
	"io"
	"net/http"

	"hawthornhub.example/hawthornhub/internal/serve/balance"
)

// Target is one upstream at one address.
type Target struct {
	// ID is the upstream's identity.
	ID string
	// Address is IP:port.
	Address string
	// MaxConnections is the greatest number of connections to it from this
	// process; 0 is no limit.
	MaxConnections int
}

// Request is a request as it goes over the wire.
type Request struct {
	// ID identifies the request; the answer must bear it.
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Reply is what the headers of an answer say.
type Reply struct {
	// ID is the request that it answers, empty where none is named.
	ID string
	// NotRun is set where the upstream says that it did not run the request.
	NotRun bool
	// Misdirected is set where another upstream has the address.
	Misdirected bool
	// Load is nil where the upstream does not tell it.
	Load *balance.Report
}

// Outcome is how a send ended: Answered, Rejected, NotSent or Unknown.
type Outcome interface{ isOutcome() }

// Answered has an answer whose body is still to be read. It must be closed.
type Answered struct {
	Status int
	Header http.Header
	// Length is the length of the body, negative where it is not known.
	Length int64
	Reply  Reply
	// Body ends with io.EOF only where the answer is whole.
	Body io.Reader
	done func(keep bool)
}

// Rejected is an answer by which the upstream did not run the request.
type Rejected struct {
	Status int
	Reply  Reply
}

// NotSent says that no byte of the request left.
type NotSent struct{ Err error }

// Unknown says that the request may have run.
type Unknown struct{ Err error }

func (*Answered) isOutcome() {}
func (Rejected) isOutcome()  {}
func (NotSent) isOutcome()   {}
func (Unknown) isOutcome()   {}
