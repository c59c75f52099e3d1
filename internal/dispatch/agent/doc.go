// Package agent is the sidecar of one upstream; all calls to the upstream pass
// through it.
//
// One actor owns the queue, the deduplication of at-most-once calls and the
// fencing of orders. Each call is a stream from an entry, a process that accepts
// client requests. The call waits in the queue for a slot and runs on the
// upstream. Chunks of a streaming call are forwarded as they arrive, those of
// other calls together with the end of the call. A draining agent rejects new
// and queued calls at once and finishes the running ones. A repeatable call whose
// entry disconnects is canceled on the upstream; an at-most-once call runs to its
// end, and its outcome is kept for later queries.
//
// The headers Server-Leaving and Retry-After, which entries without agents heed, mean nothing
// here: the protocol of package upstream is the product's own and defines neither. An upstream
// leaves by the drain of its agent, which refuses calls at once and tells all entries. One that
// wants less work announces fewer slots: the agent is its only sender and never exceeds them,
// and the entries see the backlog in each queue report.
//
// # Usage
//
//	a := agent.Start(agent.Config{Name: name, System: system, ...})
//	a.Drain()
//	running := a.WaitIdle(ctx)
//	err := a.Close()
package agent
