package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

const (
	// maxAppendEntries is the maximum number of entries in one append message, and
	// maxAppendBytes that of their bytes. A larger entry has a message of its own.
	maxAppendEntries = 512
	maxAppendBytes   = 64 << 10
	// maxInflightAppends limits the entries sent to a peer but not yet acknowledged,
	// in append messages of maxAppendEntries, and maxInflightBytes their bytes.
	// Without the latter, answers and heartbeats would wait behind entries for longer
	// than the election timeout.
	maxInflightAppends = 4
	maxInflightBytes   = 256 << 10
)

func (n *Node) lastIndex() uint64 {
	return n.snapshot.Index + uint64(len(n.entries))
}

// termAt returns the term of the entry at index i, and false if the entry is
// compacted or beyond the end of the log.
func (n *Node) termAt(i uint64) (uint64, bool) {
	if i == n.snapshot.Index {
		return n.snapshot.Term, true
	}
	if i < n.snapshot.Index || i > n.lastIndex() {
		return 0, false
	}
	return n.entries[i-n.snapshot.Index-1].Term, true
}

func (n *Node) lastTerm() uint64 {
	t, _ := n.termAt(n.lastIndex())
	return t
}

// slice returns the entries in [from, to].
func (n *Node) slice(from, to uint64) []*statepb.Entry {
	lo := from - n.snapshot.Index - 1
	hi := to - n.snapshot.Index
	return n.entries[lo:hi:hi]
}

// updateVoters adopts the newest membership in the log, whether or not it is
// committed.
func (n *Node) updateVoters() {
	n.voters, n.votersIndex = n.snapshot.Voters, n.snapshot.Index
	if n.voters == nil {
		n.voters = &statepb.Voters{}
	}
	for i := len(n.entries) - 1; i >= 0; i-- {
		if v := n.entries[i].Voters; v != nil {
			n.voters, n.votersIndex = v, n.entries[i].Index
			break
		}
	}
	n.updatePeers()
}

// updatePeers makes the leader track the progress of exactly the other members.
func (n *Node) updatePeers() {
	if n.role != Leader {
		return
	}
	previous := n.peers
	n.peers = make(map[uint64]*progress)
	for _, id := range n.otherMembers() {
		p := previous[id]
		if p == nil {
			p = &progress{next: n.lastIndex() + 1}
		}
		n.peers[id] = p
	}
}

// otherMembers returns all voters and learners except this replica.
func (n *Node) otherMembers() []uint64 {
	var out []uint64
	for _, id := range n.voters.GetVoters() {
		if id != n.cfg.ID {
			out = append(out, id)
		}
	}
	for _, id := range n.voters.GetLearners() {
		if id != n.cfg.ID {
			out = append(out, id)
		}
	}
	return out
}

// appendAsLeader assigns index and term to new entries, appends them and
// replicates them.
func (n *Node) appendAsLeader(entries []*statepb.Entry) {
	hasVoters := false
	for i, e := range entries {
		e.Index = n.lastIndex() + 1 + uint64(i)
		e.Term = n.term
		hasVoters = hasVoters || e.Voters != nil
	}
	n.entries = append(n.entries, entries...)
	n.persist(entries)
	if hasVoters {
		n.updateVoters()
	}
	n.advanceCommit()
	n.replicateAll()
}

// replaceFrom replaces the log from the index of the first entry on.
func (n *Node) replaceFrom(entries []*statepb.Entry) {
	keep := entries[0].Index - n.snapshot.Index - 1
	n.entries = append(n.entries[:keep:keep], entries...)
	n.persist(entries)
	n.updateVoters()
}

// commitTo advances the commit index to i, at most to the end of the log, and
// applies the newly committed entries.
func (n *Node) commitTo(i uint64) {
	if i > n.lastIndex() {
		i = n.lastIndex()
	}
	if i <= n.commitIndex {
		return
	}
	n.commitIndex = i
	n.emit(Apply{Entries: n.slice(n.lastApplied+1, i)})
	n.lastApplied = i
}

// advanceCommit commits up to the highest index that a majority stores. It
// commits entries of earlier terms only together with one of its own term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	i := n.quorumValue(n.matchIndex)
	if t, ok := n.termAt(i); !ok || t != n.term {
		return
	}
	n.commitTo(i)
}

func (n *Node) matchIndex(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.lastIndex()
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// committedInCurrentTerm reports whether an entry of the current term is
// committed.
func (n *Node) committedInCurrentTerm() bool {
	t, ok := n.termAt(n.commitIndex)
	return ok && t == n.term
}

func (n *Node) compact(in Compact) {
	if in.Index <= n.snapshot.Index || in.Index > n.lastApplied {
		return
	}
	t, ok := n.termAt(in.Index)
	if !ok {
		return
	}
	voters := n.votersAt(in.Index)
	tail := append([]*statepb.Entry(nil), n.entries[in.Index-n.snapshot.Index:]...)
	n.snapshot = &statepb.Snapshot{Index: in.Index, Term: t, Voters: voters, State: in.State}
	n.entries = tail
	n.emit(SaveSnapshot{Snapshot: n.snapshot, Hard: n.hardState(), Tail: tail})
}

// votersAt returns the membership in effect at index i.
func (n *Node) votersAt(i uint64) *statepb.Voters {
	voters := n.snapshot.Voters
	for _, e := range n.entries {
		if e.Index > i {
			break
		}
		if e.Voters != nil {
			voters = e.Voters
		}
	}
	return voters
}
