// Package member keeps the list of the living processes by probing and gossip.
//
// Each period a process probes one other, asks a few to probe on its behalf
// where no answer comes, and then suspects it; a suspicion that is not refuted
// in time ends in death. Every datagram carries the newest changes, and a
// periodic exchange of digests finds what gossip missed. The cost a process
// and second does not depend on the size of the fleet.
//
// Only probes decide whether a process lives; the state of its connections
// plays no part. Leaving is announced by the leaving process itself. A process
// that returns does so under a new incarnation.
//
// Table is the pure state machine, Service its host with a UDP socket, on
// which each datagram is authenticated with the fleet's key.
//
// # Usage
//
//	svc, err := member.Start(member.ServiceConfig{Address: addr, Key: key, Self: self, Seeds: seeds, System: system})
//	for _, m := range svc.Members() { ... }
//	svc.Leave()
//
// The protocol follows A. Das et al., "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol" (2002).
package member
