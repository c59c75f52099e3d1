// Package once runs calls that must execute at most once.
//
// A call is claimed in the ledger before anything is sent; the claim names the
// only agent, incarnation and attempt that may execute it. The outcome is
// recorded in the ledger before the caller is told. If the reply of an attempt
// is lost, the agent named in the claim is queried; the query permanently
// blocks an attempt that has not started. A call is sent to another upstream
// only when its previous attempt is known never to start. If the agent or its
// upstream was lost while it had the call, the outcome is unknown for good.
//
// # Usage
//
//	r := once.NewRunner(once.Config{Table: table, Pool: pool, Ledger: client, FindAgent: find})
//	result, err := r.Run(ctx, call)     // err is a *refuse.Error
//	claim, err := r.Resolve(ctx, claim) // for a claim that another entry left unresolved
package once
