// Package raft implements the Raft consensus algorithm as a deterministic
// state machine that does no I/O and reads no clock.
//
// A Node processes one Input at a time and returns the Effects that its host
// must execute. Elections use pre-vote. A leader that receives no messages
// from a quorum for an election timeout steps down. Linearizable reads are
// confirmed by a round of heartbeats (ReadIndex). A leader commits an entry of
// its own term before it serves a read or changes the set of voters. Voters
// change one at a time, and a new replica is a learner until it has caught up.
//
// A replica is identified by its disk and not by its instance name. An
// instance that lost its data folder returns with a new identity, so it can
// never vote twice in one term. It joins as a learner, and its former identity is
// removed once a learner can replace it.
//
// The leader aims for a fixed number of voters. Further replicas are learners and
// replace voters that are lost or leave, in an order that leaves a quorum at each
// moment (docs/design/voters.md).
//
// A log begins with a snapshot that all first voters have in common (Form). It is
// forming until as many voters as the target hold it; the host proposes no commands
// before.
//
// # Usage
//
// The host collects the effects of a batch of inputs and executes them in
// three steps: first every Persist and SaveSnapshot, then one sync of the
// disk, then the remaining effects in order.
//
//	n := raft.New(raft.Config{ID: id, Name: "c1", ElectionTicks: 10, HeartbeatTicks: 2}, initial)
//	effects := n.Step(raft.Receive{Message: m})
//
// The design follows D. Ongaro and J. Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), and Ongaro's thesis for
// pre-vote, read-index and leadership transfer.
package raft
