// Package route chooses the upstream for a call.
//
// A Table holds what an entry knows about each upstream: the entry's own calls
// in flight, the agent's latest load report, and the upstream's slowness
// compared with its peers on similar work. Pick takes a small random sample of
// the upstreams and chooses the one that is expected to finish the call first.
// Sampling prevents many entries from choosing the same upstream at the same
// time. The sample is drawn from a subset of the upstreams that is chosen by
// rendezvous hashing, with upstreams of the entry's own zone first.
//
// # Usage
//
//	t := route.NewTable(route.Config{Entry: "entry-1", Zone: zone, Random: rand.IntN})
//	t.Update(members)
//	info := route.PickInfo{Pool: route.Pool{Kind: "encode"}, Size: 10}
//	u, ok := t.Pick(now, info, routing)
//	call := t.Begin(now, u, info)
//	t.Done(now, call, route.DoneInfo{ServiceUs: us, Report: report})
package route
