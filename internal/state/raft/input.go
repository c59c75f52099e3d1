package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// Input is one thing that happens to a Node.
type Input interface{ isInput() }

// Tick tells that one tick of the host's monotonic clock has passed.
type Tick struct{}

// Receive delivers a message of another replica.
type Receive struct{ Message *statepb.Message }

// Propose asks the leader to append commands. A Node that is not the leader
// answers with Dropped.
type Propose struct{ Commands []*statepb.Command }

// ReadIndex asks for a confirmation that this Node is still the leader. ID is
// returned in Readable or Unreadable.
type ReadIndex struct{ ID uint64 }

// Join asks the leader to admit a disk identity under an instance name.
type Join struct {
	Name string
	ID   uint64
}

// Transfer asks the leader to hand leadership to its most advanced follower.
type Transfer struct{}

// Compact replaces the log up to Index with the state at Index.
type Compact struct {
	Index uint64
	State []byte
}

func (Tick) isInput()      {}
func (Receive) isInput()   {}
func (Propose) isInput()   {}
func (ReadIndex) isInput() {}
func (Join) isInput()      {}
func (Transfer) isInput()  {}
func (Compact) isInput()   {}
