package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// Effect is one thing that the host carries out for a Node.
type Effect interface{ isEffect() }

// Persist writes the term and vote, and entries that replace whatever the log
// holds from the first entry's index on.
type Persist struct {
	Hard    *statepb.HardState
	Entries []*statepb.Entry
}

// SaveSnapshot writes a snapshot, after which earlier entries are not needed.
// Tail holds the entries that follow it.
type SaveSnapshot struct {
	Snapshot *statepb.Snapshot
	Hard     *statepb.HardState
	Tail     []*statepb.Entry
}

// Send hands a message to the network. It may be lost.
type Send struct{ Message *statepb.Message }

// Apply hands committed entries to the state machine, in order, each once.
type Apply struct{ Entries []*statepb.Entry }

// Restore replaces the state machine by a snapshot received from the leader.
type Restore struct{ Snapshot *statepb.Snapshot }

// Readable answers ReadIndex: a query may be answered from the state that
// includes Index.
type Readable struct{ ID, Index uint64 }

// Unreadable answers ReadIndex where this Node cannot confirm leadership.
type Unreadable struct{ ID uint64 }

// Dropped names proposals that this Node will not commit as a leader. They may
// still be committed by another.
type Dropped struct{ Nonces []uint64 }

// Confirmed tells that a quorum has confirmed this leader in a heartbeat round.
type Confirmed struct{ Round uint64 }

func (Persist) isEffect()      {}
func (SaveSnapshot) isEffect() {}
func (Send) isEffect()         {}
func (Apply) isEffect()        {}
func (Restore) isEffect()      {}
func (Readable) isEffect()     {}
func (Unreadable) isEffect()   {}
func (Dropped) isEffect()      {}
func (Confirmed) isEffect()    {}
