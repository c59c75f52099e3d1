// Package once runs the calls that may not be repeated.
//
// A call is claimed in the ledger before anything leaves the entry; the claim
// names the one agent, incarnation and attempt that may run it. Its outcome is
// recorded before the caller is told. Where an answer is lost, the agent named
// by the claim is asked, which bars the attempt if it has not started. Only an
// attempt that is known never to start is followed by another elsewhere. Where
// the agent or its upstream was lost, the outcome is unknown, for good.
//
// # Usage
//
//	r := once.NewRunner(once.Config{Table: table, Pool: pool, Ledger: client, Find: find})
//	result, err := r.Run(ctx, call)   // err is a *refuse.Error
//	claim, err := r.Settle(ctx, claim) // for a claim that another entry left
package once
