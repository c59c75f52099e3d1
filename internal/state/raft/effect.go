package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// Effect is an action that the host must execute for a Node.
type Effect interface{ isEffect() }

// Persist writes the term and vote, and replaces the log from the index of the
// first entry on with Entries.
type Persist struct {
	Hard    *statepb.HardState
	Entries []*statepb.Entry
}

// SaveSnapshot writes a snapshot and discards the log entries that it covers.
// Tail holds the entries after the snapshot.
type SaveSnapshot struct {
	Snapshot *statepb.Snapshot
	Hard     *statepb.HardState
	Tail     []*statepb.Entry
}

// Send sends a message to another replica. Delivery is not guaranteed.
type Send struct{ Message *statepb.Message }

// Apply passes committed entries to the replicated state machine, in log order
// and each exactly once.
type Apply struct{ Entries []*statepb.Entry }

// Restore replaces the state of the replicated state machine with a snapshot
// received from the leader.
type Restore struct{ Snapshot *statepb.Snapshot }

// ReadConfirmed answers ReadIndex: the read may be served from any state that
// includes Index.
type ReadConfirmed struct{ ID, Index uint64 }

// ReadRejected answers ReadIndex on a Node that cannot confirm its leadership.
type ReadRejected struct{ ID uint64 }

// ProposalsDropped lists proposals that this Node will not commit as leader.
// Another leader may still commit them.
type ProposalsDropped struct{ Nonces []uint64 }

// LeadershipConfirmed reports that a quorum has answered a heartbeat round of
// this leader.
type LeadershipConfirmed struct{ Round uint64 }

func (Persist) isEffect()             {}
func (SaveSnapshot) isEffect()        {}
func (Send) isEffect()                {}
func (Apply) isEffect()               {}
func (Restore) isEffect()             {}
func (ReadConfirmed) isEffect()       {}
func (ReadRejected) isEffect()        {}
func (ProposalsDropped) isEffect()    {}
func (LeadershipConfirmed) isEffect() {}
