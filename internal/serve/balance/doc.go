// Package balance chooses the upstream for a request among upstreams that run
// without a sidecar agent. Package route does so for upstreams with an agent.
//
// Each entry knows only its own calls in flight; it learns of the calls of other
// entries from load reports, which arrive late. If all entries chose the least
// loaded upstream by report, they would all send to the same one. So a Balancer
// draws two upstreams at random and takes the one with the lower score, which
// combines the entry's own calls in flight with the report, whose weight decays
// with its age. Requests that share a prompt prefix go to the upstream that the
// prefix hashes to, unless its load is much higher than that of the alternative.
// Upstreams that fail calls, or that report being slow, get a worse score. Those
// that are unresponsive or in a cooldown are chosen only if no others are left.
//
// With Config.Model, a Balancer chooses by the learned capacity of package capacity: the
// upstream with the least expected time of some drawn at random, of those that the prompt's
// prefix was sent to, and of the one that the prefix hashes to. A popular prefix goes
// elsewhere once the queue costs more time than the cache saves.
//
// # Usage
//
//	b := balance.New(balance.Config{Zone: zone, Random: rand.IntN, Model: model})
//	c, ok := b.Choose(now, balance.PickInfo{Prefix: prefix, Prompt: segments}, candidates)
//	b.Begun(firstEvent, c)
//	b.End(end, c, balance.DoneInfo{Report: report})
package balance
