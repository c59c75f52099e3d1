package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// Input is an event that a Node processes.
type Input interface{ isInput() }

// Tick reports that one tick of the host's monotonic clock has passed.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message *statepb.Message }

// Propose asks the leader to append commands to the log. A Node that is not
// the leader answers with ProposalsDropped.
type Propose struct{ Commands []*statepb.Command }

// ReadIndex starts a linearizable read: it asks for confirmation that this Node
// is still the leader. ID is returned in ReadConfirmed or ReadRejected.
type ReadIndex struct{ ID uint64 }

// Join asks the leader to add the replica with disk identity ID as a learner,
// under an instance name.
type Join struct {
	Name string
	ID   uint64
}

// Leave asks the leader to replace a member that is about to stop. It is repeated until
// the member has been removed or stops anyway.
type Leave struct{ ID uint64 }

// TransferLeadership asks the leader to transfer leadership to the voter whose
// log is the most up to date.
type TransferLeadership struct{}

// Form begins the log with a snapshot that all first voters have in common, so that each
// of them can begin it by itself. A replica that has a log or gets one from a leader ignores it.
type Form struct{ Snapshot *statepb.Snapshot }

// Compact replaces the log up to and including Index with a snapshot of the
// state at Index.
type Compact struct {
	Index uint64
	State []byte
}

func (Tick) isInput()               {}
func (Receive) isInput()            {}
func (Propose) isInput()            {}
func (ReadIndex) isInput()          {}
func (Join) isInput()               {}
func (Leave) isInput()              {}
func (TransferLeadership) isInput() {}
func (Form) isInput()               {}
func (Compact) isInput()            {}
