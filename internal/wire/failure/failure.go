// Package failure names the kinds of the typed failures that processes reply to
// each other with.
//
// # Usage
//
//	f := failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")
package failure

import "hawthornhub.example/hawthornhub/internal/wire/fleetpb"

// The kinds of failure of a call to an upstream. Unreachable comes from the
// caller's side, all others from the upstream's agent.
const (
	// Leaving means that the upstream takes no new calls.
	Leaving = "leaving"
	// NoUpstream means that no upstream has announced itself to the agent.
	NoUpstream = "no_upstream"
	// Deadline means that the deadline passed before the call was dispatched.
	Deadline = "deadline"
	// StaleDocument means that the call was made under another document than the
	// one that the agent applies.
	StaleDocument = "stale_document"
	// DocumentLapsed means that the agent's document was not confirmed by a quorum
	// recently enough.
	DocumentLapsed = "document_lapsed"
	// Barred means that the attempt must never start, because it has been reported
	// as not run.
	Barred = "barred"
	// RepeatedAttempt means that the agent already has an attempt with this
	// identity.
	RepeatedAttempt = "repeated_attempt"
	// OtherIncarnation means that the call is bound to another incarnation of the
	// agent.
	OtherIncarnation = "other_incarnation"
	// UpstreamLost means that the upstream failed, the connection to it broke, or
	// the caller cancelled the call after it was dispatched.
	UpstreamLost = "upstream_lost"
	// ServiceStopped means that the insurer's conditions stop the service.
	ServiceStopped = "service_stopped"
	// Cancelled means that the caller withdrew the call before it was dispatched.
	Cancelled = "cancelled"
	// UpstreamStalled means that the upstream made no progress within the stall
	// timeout.
	UpstreamStalled = "upstream_stalled"
	// BadRequest means that the call is malformed.
	BadRequest = "bad_request"
	// Unreachable means that the call could not be sent to the agent.
	Unreachable = "unreachable"
)

// The kinds of failure of a request to a control instance.
const (
	// NotLeader means that the instance is not the leader, which may be named in
	// the failure.
	NotLeader = "not_leader"
	// Dropped means that a proposal or read failed for another reason. It may be
	// sent again.
	Dropped = "dropped"
)

// The values of Failure.Ran: whether the call was dispatched to the upstream.
const (
	RanNo      = "no"
	RanYes     = "yes"
	RanUnknown = "unknown"
)

// New returns a Failure. detail says what went wrong and remedy what to do.
func New(kind, ran, detail, remedy string) *fleetpb.Failure {
	return &fleetpb.Failure{Kind: kind, Ran: ran, Detail: detail, Remedy: remedy}
}
