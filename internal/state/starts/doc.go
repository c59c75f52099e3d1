// Package starts is the part of the replicated state that holds which starts of upstreams
// have ended.
//
// An upstream may start again under its ID, and what an earlier start sent may arrive
// later. An ended start takes no calls any more. It is named by its ID and by the time of
// its start, which the upstream reads from its own clock. A clock may go back, so a start
// that says that it was born earlier than the ended one may still be the later one: then
// the replaced starts are recorded one by one, and the order of the others is that of
// their times.
//
// Records are forgotten once each message of an ended start must have arrived. The
// proposer of a later command measures that with a clock of its own, as the package has
// none. The package does no I/O.
//
// # Usage
//
//	s := starts.Restore(snapshot.EndedStarts)
//	result := s.Apply(index, &statepb.EndStart{Upstream: id, BornMs: born})
//	for _, u := range s.Proto().Upstreams {
//		ended := starts.FromProto(u)
//	}
package starts
