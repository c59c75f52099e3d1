// Package route chooses the upstream for a call.
//
// Table holds what an entry knows of each upstream: its own outstanding calls,
// the agent's latest word on its queue, and how slow the upstream has been
// against its peers on like work. Pick compares a few upstreams chosen at
// random by the expected time at which the call would end there; a small
// random sample keeps many entries from running to the same one. The candidates
// are a subset chosen by rendezvous hashing, the entry's own zone first.
//
// # Usage
//
//	t := route.NewTable(route.Config{Entry: "entry-1", Zone: zone, Random: rand.IntN})
//	t.Update(members)
//	u, ok := t.Pick(now, route.Need{Kind: "encode", Size: 10}, routing)
//	call := t.Begin(now, u.Name, need)
//	t.End(now, call, route.Ended{ServiceUs: us, Word: word})
package route
