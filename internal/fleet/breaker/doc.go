// Package breaker keeps a circuit breaker for each segment of prompts that ends the
// upstreams it is sent to.
//
// An upstream may end because it began to respond to a prompt with a certain segment.
// The next upstream that gets a prompt with it ends too, and each takes with it the
// responses that it had in progress. A single entry sees few of these ends, so entries
// report to the control instances which segments were waited for, without an event of
// a response, on an upstream when it ended. A Board on each control instance gathers
// the reports, decides, and has entries told through package watch. A Guard on each
// entry reports, and is asked before a request is sent.
//
// # Telling a bad segment from the others
//
// All segments that were waited for on an upstream that ended are suspected alike.
// What tells them apart:
//
//   - A response to a prompt with the segment that begins and goes on acquits the
//     segment of all ends before.
//   - Ends count as separate only if they do not overlap: the request that waited on
//     the later one was sent after the earlier one. Upstreams that end together, for a
//     reason of their own, take requests of every kind with them, but whatever is sent
//     afterwards is served.
//   - Where upstreams respond to no prompt at all, no breaker opens. Entries report a
//     response to any prompt after each end.
//   - A segment that was responded to before is an unlikely cause, and where many
//     upstreams end, a few ends under a segment are chance. Both take more ends.
//   - An end at which a segment with an open breaker was waited for says nothing about
//     the others.
//
// A segment is suspected from its second end on, and entries are asked whether a response
// has begun since. Its breaker opens once separate ends without any response in between
// are enough. It is half-open before, and again when its term is over: then one request
// at a time is sent as a trial, by the entry that the segment hashes to.
//
// # Usage
//
//	board := breaker.NewBoard()
//	board.Report(now, seen)
//	changes, forgotten := board.Decide(now)
//
//	g := breaker.NewGuard(breaker.GuardConfig{Report: follower.Report, Owns: owns, Log: log})
//	g.Apply(news)
//	if err := g.Start(segments); err != nil { } // *breaker.OpenError: do not send
//	g.Begun(segments, at)
package breaker
