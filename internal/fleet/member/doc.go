// Package member keeps a list of the live processes with the SWIM membership
// protocol: failure detection by probes, dissemination by gossip.
//
// In each probe period a process pings one other process. If no ack comes, it
// asks a few processes to ping on its behalf, and if that fails too, it marks the
// process as suspect. A suspicion that is not refuted in time turns into death.
// Every datagram piggybacks the latest membership changes, and a periodic
// anti-entropy exchange of digests finds what gossip missed. The cost per process
// and second does not depend on the size of the fleet.
//
// Only probes decide whether a process is alive; the state of its connections is
// not considered. A process announces its own leaving. A process that restarts
// uses a new incarnation.
//
// Table is the protocol's state machine without I/O. Service runs it on a
// UDP socket and authenticates each datagram with the fleet key.
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
