// Package failure names the kinds of the typed refusals between processes.
//
// # Usage
//
//	f := failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")
package failure

import "hawthornhub.example/hawthornhub/internal/wire/fleetpb"

// The kinds that an agent answers with.
const (
	Leaving     = "leaving"
	NoUpstream  = "no_upstream"
	Deadline    = "deadline"
	Stale       = "stale_document"
	Lapsed      = "document_lapsed"
	Barred      = "barred"
	Repeat      = "repeated_attempt"
	Incarnation = "other_incarnation"
	Upstream    = "upstream_lost"
	Stopped     = "service_stopped"
	Cancelled   = "cancelled"
	Stall       = "upstream_stalled"
	BadRequest  = "bad_request"
	Unreachable = "unreachable"
)

// The kinds that a control instance answers with.
const (
	NotLeader = "not_leader"
	Dropped   = "dropped"
)

// The values of a Failure's ran field.
const (
	RanNo      = "no"
	RanYes     = "yes"
	RanUnknown = "unknown"
)

// New returns a refusal.
func New(kind, ran, detail, remedy string) *fleetpb.Failure {
	return &fleetpb.Failure{Kind: kind, Ran: ran, Detail: detail, Remedy: remedy}
}
