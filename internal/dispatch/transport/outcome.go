package transport

import (
	"io"
	"net/http"

	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
)

// Target is one upstream at one address.
type Target struct {
	// ID is the identity of the upstream.
	ID string
	// Address has the form IP:port.
	Address string
	// StartTimeMs is the start of the upstream that the request is for, 0 if unknown.
	// What an answer says of its upstream belongs to this start.
	StartTimeMs int64
	// MaxConnections is the maximum number of connections to it from this
	// process; 0 means no limit.
	MaxConnections int
}

// Request is an HTTP request.
type Request struct {
	// ID identifies the request. The answer must carry the same ID. A request with neither
	// an ID nor Marked gets a connection of its own.
	ID string
	// Marked is set for a request without an ID whose answer holds marks that no other
	// answer has, see Answered.Identify.
	Marked bool
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Permit is called right before the request is written, after Config.Permit; an
	// error keeps it from being sent. nil permits it.
	Permit func() error
	// Cleanup is set for requests that free what earlier ones left at the upstream.
	Cleanup bool
}

// Reply is the information in the status and headers of an answer.
type Reply struct {
	// ID is the ID of the answered request, empty if the answer has none.
	ID string
	// Ambiguous is set if the answer has the IDs of several requests or several signatures. It
	// is no answer to any.
	Ambiguous bool
	// Unsigned is set if the answer is a success without the signature of an upstream. It is
	// an answer only to requests with Marked or Cleanup set.
	Unsigned bool
	// NotExecuted is set if the upstream states that it did not run the request.
	NotExecuted bool
	// Misdirected is set if another upstream now has the address.
	Misdirected bool
	// Load is nil if the upstream does not report it.
	Load *balance.Report
	// Signal is what the upstream says of itself: that it leaves, or that it wants no
	// requests for a while.
	Signal backoff.Signal
}

// Outcome is how a send ended: Answered, Rejected, NotSent or Unknown.
type Outcome interface{ isOutcome() }

// Answered is an answer whose body has not been read yet. It must be closed.
type Answered struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, negative if unknown.
	Length int64
	// Unframed is set if the body has neither a length nor chunks, and ends with its
	// connection.
	Unframed bool
	Reply    Reply
	// Body ends with io.EOF only if the answer is complete.
	Body    io.Reader
	release func(keep bool)
	// carried is that of the connection. marked is set once Identify has found marks.
	carried *carried
	marked  bool
}

// Rejected is an answer which states that the upstream did not run the request.
type Rejected struct {
	Status int
	Reply  Reply
}

// NotSent means that no byte of the request was sent.
type NotSent struct {
	Err error
	// Local is set if the upstream had no part in it.
	Local bool
}

// Unknown means that the upstream may have run the request.
type Unknown struct{ Err error }

func (*Answered) isOutcome() {}
func (Rejected) isOutcome()  {}
func (NotSent) isOutcome()   {}
func (Unknown) isOutcome()   {}
