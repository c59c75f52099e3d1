// Package pace decides when the work on a request begins.
//
// The load it answers is a crest: for some seconds more requests come than the
// upstreams of a chain of stages can serve on time. Requests that are begun all
// the same fill the queues between the stages, so that each of them ends late,
// and results that wait there expire and are made again. A request that can no
// longer be on time is held back before its first stage, where it costs
// nothing, until the queues are short; one that can still be on time begins at
// once, the more urgent ones up to a longer queue. What would end only after
// its caller has given up is refused at once, with the time after which it can
// be served.
//
// # Usage
//
//	switch d := pace.Decide(pace.Request{...}).(type) {
//	case pace.Begin:
//	case pace.Hold: // decide again after d.For
//	case pace.Refuse: // the caller may come back after d.Retry
//	}
package pace
