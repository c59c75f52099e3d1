// Package dedup decides at an agent whether an attempt of an at-most-once call
// may start.
//
// An attempt starts at most once in the lifetime of the agent process, whose
// incarnation every claim names. Querying an attempt that has not started bars
// it for good, so that the answer "not run" stays true even if the call arrives
// later. Outcomes are kept for later queries by any entry. When old outcomes
// are evicted, claims that are no newer than an evicted one are rejected from
// then on.
//
// # Usage
//
//	t := dedup.New(dedup.Config{Incarnation: incarnation})
//	if err := t.Admit(claim); err != nil { ... }
//	if t.Start(claim.ID) { ... run ... }
//	t.Finish(claim.ID, statepb.Outcome_OUTCOME_DONE, result)
package dedup
