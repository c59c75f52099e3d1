package refuse

import (
	"fmt"
	"time"
)

// Kind names why a request was refused or ended without an answer.
type Kind string

// The kinds.
const (
	BadRequest     Kind = "bad_request"
	UnknownName    Kind = "unknown_pipeline"
	Unauthorised   Kind = "unauthorised"
	MissingKey     Kind = "missing_idempotency_key"
	KeyConflict    Kind = "key_conflict"
	KeyExpired     Kind = "key_expired"
	TooLarge       Kind = "too_large"
	Deadline       Kind = "deadline"
	Overload       Kind = "overload"
	OverShare      Kind = "over_share"
	OverLimit      Kind = "over_limit"
	Condition      Kind = "insurer_condition"
	NoUpstream     Kind = "no_upstream"
	UpstreamFailed Kind = "upstream_failed"
	Lapsed         Kind = "document_lapsed"
	Draining       Kind = "draining"
	Cancelled      Kind = "cancelled"
	Unavailable    Kind = "ledger_unavailable"
	Pending        Kind = "pending"
	Unknown        Kind = "unknown"
)

// Ran tells whether anything was dispatched for the request.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Error is a refusal.
type Error struct {
	Kind   Kind
	Ran    Ran
	Detail string
	Remedy string
	// RetryAfter is the time after which a new try may succeed, 0 for none.
	RetryAfter time.Duration
}

// New returns a refusal without a time to retry.
func New(kind Kind, ran Ran, detail, remedy string) *Error {
	return &Error{Kind: kind, Ran: ran, Detail: detail, Remedy: remedy}
}

// WithRetryAfter returns the refusal with a time to retry.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return &e
}

// Error names the kind, the detail and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s; %s", e.Kind, e.Ran, e.Detail, e.Remedy)
}
