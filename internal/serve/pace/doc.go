// Package pace decides when the work on a request starts.
//
// During a load peak, requests arrive faster for some seconds than the
// upstreams of a chain of stages can serve them on time. If all of them started
// at once, the queues between the stages would grow, every request would be
// late, and intermediate results would expire in the queues and have to be
// computed again. So a request that can no longer be on time is held before its
// first stage, where it uses no resources, until the queues are short. A
// request that can still be on time starts at once; more urgent ones do so at
// longer queues. A request that would end only after its deadline is refused at
// once, with the time after which to retry.
//
// Decide adds up the waits in all queues. DecideChain predicts the end of each stage instead:
// a later queue is worked off while the earlier stages run, and results expire while they
// wait for the next stage. It needs backlogs that include what admitted requests will still
// send, see batching.Queue.
//
// # Usage
//
//	switch d := pace.Decide(pace.Request{...}).(type) {
//	case pace.Start:
//	case pace.Hold: // decide again after d.For
//	case pace.Refuse: // the caller may retry after d.RetryAfter
//	}
//
//	out := pace.DecideChain(pace.Chain{Stages: []pace.Stage{...}, ...})
//	// out.Decision as above; out.OnTime.Stages are the predicted spans
package pace
