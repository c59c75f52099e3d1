// Package dedup decides at an agent which once-only attempt may start.
//
// An attempt starts at most once in the life of the agent process, whose
// incarnation every claim names. Asking for the outcome of an attempt that has
// not started bars it for good, so that the answer "not run" stays true even
// when the call itself arrives later. Outcomes are kept so that any entry can
// ask for them; when old ones are dropped, claims that are as old as a dropped
// one are refused from then on.
//
// # Usage
//
//	g := dedup.New(dedup.Config{Incarnation: incarnation})
//	if err := g.Admit(claim); err != nil { ... }
//	if g.Start(claim.ID) { ... run ... }
//	g.Finish(claim.ID, statepb.Outcome_OUTCOME_DONE, result)
package dedup
