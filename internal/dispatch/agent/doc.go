// Package agent is the sidecar of one upstream; all calls to the upstream pass
// through it.
//
// One actor owns the queue, the deduplication of at-most-once calls and the
// fencing of orders. Each call is a stream from an entry: it waits in the queue
// for a slot, runs on the upstream, and its chunks are forwarded as they
// arrive. A draining agent rejects new and queued calls at once and finishes
// the running ones. A repeatable call whose entry disconnects is cancelled on
// the upstream; an at-most-once call runs to its end, and its outcome is kept
// for later queries.
//
// # Usage
//
//	a := agent.Start(agent.Config{Name: name, System: system, ...})
//	a.Drain()
//	running := a.WaitIdle(ctx)
//	err := a.Close()
package agent
