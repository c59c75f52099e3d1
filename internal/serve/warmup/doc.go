// Package warmup limits the requests of one entry to cold upstreams, which tolerate only
// a few requests a second from all entries together.
//
// Each entry has a fixed share of what a cold upstream tolerates, which is safe whatever
// the other entries do: the entries do not talk to each other. The shares of all entries
// that know of each other add up to the tolerance; rendezvous hashing decides who gets
// what is left over by the division, so that of many entries a few may send one request
// a second each. An entry counts another one for a while after that is gone, as it may
// only have lost its contact. An entry that has been without contact for so long that
// others may no longer count it falls back to its share of the margin between the
// tolerance and the bound, which no entry in contact uses. See docs/design/warmup.md.
//
// A Limiter is a state machine without a clock: now is a time since any start that also
// counts while the machine is suspended. It is not safe for concurrent use.
//
// # Usage
//
//	l := warmup.New(warmup.Config{Self: name, Over: 1.5, Slack: 5})
//	l.SetEntries(now, names)   // whenever the list changes
//	l.SetContact(now, contact) // at each News and before each decision
//	if wait := l.Wait(now, upstream); wait > 0 { ... } // choose another one
//	if wait := l.Take(now, upstream); wait > 0 { ... } // right before a request is written
package warmup
