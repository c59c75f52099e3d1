package refuse

import (
	"fmt"
	"time"
)

// Kind is the reason why a request was refused or ended without a result.
type Kind string

// The kinds of refusal, as callers receive them.
const (
	BadRequest Kind = "bad_request"
	// UnknownName refuses a pipeline or request that the entry does not know.
	UnknownName  Kind = "unknown_pipeline"
	Unauthorised Kind = "unauthorised"
	MissingKey   Kind = "missing_idempotency_key"
	KeyConflict  Kind = "key_conflict"
	KeyExpired   Kind = "key_expired"
	TooLarge     Kind = "too_large"
	Deadline     Kind = "deadline"
	Overload     Kind = "overload"
	// OverShare refuses an account that already holds its fair share of the work.
	OverShare Kind = "over_share"
	// OverLimit refuses an account whose rate limit is used up.
	OverLimit Kind = "over_limit"
	// InsurerCondition refuses a call that a condition of the insurer forbids.
	InsurerCondition Kind = "insurer_condition"
	NoUpstream       Kind = "no_upstream"
	UpstreamFailed   Kind = "upstream_failed"
	// DocumentLapsed refuses a request because no quorum has recently confirmed
	// the entry's copy of the configuration document.
	DocumentLapsed    Kind = "document_lapsed"
	Draining          Kind = "draining"
	Cancelled         Kind = "cancelled"
	LedgerUnavailable Kind = "ledger_unavailable"
	// OutcomePending reports that the outcome may still be determined.
	OutcomePending Kind = "pending"
	// OutcomeUnknown reports that the outcome can no longer be determined.
	OutcomeUnknown Kind = "unknown"
)

// Ran reports whether any work was dispatched for the request.
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
	// Remedy advises the caller what to do about it.
	Remedy string
	// RetryAfter is the delay after which a retry may succeed, 0 for none.
	RetryAfter time.Duration
}

// New returns a refusal without a retry delay.
func New(kind Kind, ran Ran, detail, remedy string) *Error {
	return &Error{Kind: kind, Ran: ran, Detail: detail, Remedy: remedy}
}

// WithRetryAfter returns a copy of the refusal with a retry delay.
func (e Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return &e
}

// Error returns the kind, Ran, the detail and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (ran: %s): %s; %s", e.Kind, e.Ran, e.Detail, e.Remedy)
}
