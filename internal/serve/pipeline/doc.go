// Package pipeline runs a request through the stages of its pipeline.
//
// Each stage has a share of the time that is left, goes to the upstream with
// the earliest expected end, and is tried elsewhere when an upstream fails.
// A stage that takes longer than nearly all of its like is hedged: a second
// upstream gets it too, the first answer counts and the other is cancelled.
// Retries and hedges are kept to a share of the calls. Once-only stages go
// through package once and are neither retried nor hedged here.
//
// A reply is matched by request, stage and attempt and by the digest of the
// input; one that does not match is dropped and counted. A stage's result is
// used only when its end says that all its chunks were there. A streamed stage
// goes on at the next chunk when its upstream is lost.
//
// # Usage
//
//	x := pipeline.NewExecutor(pipeline.Config{Table: table, Pool: pool, Once: runner, ...})
//	answer, err := x.Run(ctx, request) // err is a *refuse.Error
package pipeline
