// Package raft is a replicated log with leader election, written as a state
// machine without clock, network or disk.
//
// A Node takes one Input at a time and answers with Effects for its host to
// carry out. The elections have a pre-vote; a leader that hears no quorum for
// an election timeout steps down; queries are confirmed by a heartbeat round
// (read-index); a leader commits an entry of its own term before it answers a
// query or changes the voters; the voters change one at a time, behind a
// learner that has caught up.
//
// A replica is identified by its disk, not by its name. An instance that lost
// its folder returns under a new identity and can therefore never vote twice
// in one term; it joins as a learner and replaces its former identity.
//
// # Usage
//
// The host collects the effects of a batch of inputs and carries them out in
// three passes: first every Persist and SaveSnapshot, followed by one sync of
// the disk, then the rest in order.
//
//	n := raft.New(raft.Config{ID: id, Name: "c1", ElectionTicks: 10, HeartbeatTicks: 2}, restored)
//	effects := n.Step(raft.Receive{Message: m})
//
// The design follows D. Ongaro and J. Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), and Ongaro's thesis for
// pre-vote, read-index and leadership transfer.
package raft
