// Package balance chooses the upstream for a request among those that have no
// agent beside them.
//
// The load it answers is requests from several entries that see each other's
// calls only through what the upstreams report late: choosing the least loaded
// by report would send all entries to the same one. So a choice is made
// between two drawn at random, by the own calls in flight and the report,
// which fades. Requests that share a prompt go to the engine that the shared
// part hashes to, unless it is much fuller than its peers. Upstreams that fail
// or are slow against their peers, and those that have been silent, are chosen
// when nothing better is left.
//
// # Usage
//
//	t := balance.New(balance.Config{Zone: zone, Random: rand.IntN})
//	u, ok := t.Pick(now, balance.Need{Prefix: part}, candidates)
//	t.Ended(now, u.ID, balance.End{Load: load})
package balance
