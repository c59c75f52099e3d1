// Package pipeline runs a request through the stages of its pipeline.
//
// Each stage gets a share of the remaining time, runs on the upstream with the
// earliest expected completion, and is retried on another upstream after a
// failure. A stage that takes longer than almost all comparable calls is
// hedged: a second upstream gets the same call, the first result is used and
// the other attempt is cancelled. Budgets limit retries and hedges to a share
// of the calls. At-most-once stages go through package once and are neither
// retried nor hedged here.
//
// A reply is matched by request, stage, attempt and the digest of the input;
// one that does not match is dropped and counted. The result of a stage is used
// only if its end message confirms that all chunks have arrived. A streamed
// stage whose upstream is lost resumes at the next chunk on another upstream.
//
// # Usage
//
//	x := pipeline.NewExecutor(pipeline.Config{Table: table, Pool: pool, Once: runner, ...})
//	response, err := x.Run(ctx, request) // err is a *refuse.Error
package pipeline
