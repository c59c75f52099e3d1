package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// maxAppend is the greatest number of entries in one message.
const maxAppend = 512

// maxBatches is the greatest number of messages sent ahead of an answer.
const maxBatches = 4

func (n *Node) lastIndex() uint64 {
	return n.snap.Index + uint64(len(n.entries))
}

// termAt returns the term of the entry at index i, and whether it is known.
func (n *Node) termAt(i uint64) (uint64, bool) {
	if i == n.snap.Index {
		return n.snap.Term, true
	}
	if i < n.snap.Index || i > n.lastIndex() {
		return 0, false
	}
	return n.entries[i-n.snap.Index-1].Term, true
}

func (n *Node) lastTerm() uint64 {
	t, _ := n.termAt(n.lastIndex())
	return t
}

// slice returns the entries in [from, to].
func (n *Node) slice(from, to uint64) []*statepb.Entry {
	lo := from - n.snap.Index - 1
	hi := to - n.snap.Index
	return n.entries[lo:hi:hi]
}

// findVoters takes the newest voters in the log, committed or not.
func (n *Node) findVoters() {
	n.voters, n.votersIndex = n.snap.Voters, n.snap.Index
	if n.voters == nil {
		n.voters = &statepb.Voters{}
	}
	for i := len(n.entries) - 1; i >= 0; i-- {
		if v := n.entries[i].Voters; v != nil {
			n.voters, n.votersIndex = v, n.entries[i].Index
			break
		}
	}
	n.trackPeers()
}

// trackPeers keeps one progress for each other replica while leading.
func (n *Node) trackPeers() {
	if n.role != Leader {
		return
	}
	known := n.peers
	n.peers = make(map[uint64]*progress)
	for _, id := range n.others() {
		p := known[id]
		if p == nil {
			p = &progress{next: n.lastIndex() + 1}
		}
		n.peers[id] = p
	}
}

// others returns the voters and learners but this one.
func (n *Node) others() []uint64 {
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

// appendOwn appends entries as the leader.
func (n *Node) appendOwn(entries []*statepb.Entry) {
	hasVoters := false
	for i, e := range entries {
		e.Index = n.lastIndex() + 1 + uint64(i)
		e.Term = n.term
		hasVoters = hasVoters || e.Voters != nil
	}
	n.entries = append(n.entries, entries...)
	n.persist(entries)
	if hasVoters {
		n.findVoters()
	}
	n.advance()
	n.replicateAll()
}

// replace puts entries into the log from their first index on.
func (n *Node) replace(entries []*statepb.Entry) {
	keep := entries[0].Index - n.snap.Index - 1
	n.entries = append(n.entries[:keep:keep], entries...)
	n.persist(entries)
	n.findVoters()
}

func (n *Node) commitTo(i uint64) {
	if i > n.lastIndex() {
		i = n.lastIndex()
	}
	if i <= n.commit {
		return
	}
	n.commit = i
	n.emit(Apply{Entries: n.slice(n.applied+1, i)})
	n.applied = i
}

// advance commits what a majority holds, if it is of the leader's own term.
func (n *Node) advance() {
	if n.role != Leader {
		return
	}
	i := n.quorumIndex(n.matchOf)
	if t, ok := n.termAt(i); !ok || t != n.term {
		return
	}
	n.commitTo(i)
}

func (n *Node) matchOf(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.lastIndex()
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// ownTermCommitted reports whether the leader committed an entry of its term.
func (n *Node) ownTermCommitted() bool {
	t, ok := n.termAt(n.commit)
	return ok && t == n.term
}

func (n *Node) compact(in Compact) {
	if in.Index <= n.snap.Index || in.Index > n.applied {
		return
	}
	t, ok := n.termAt(in.Index)
	if !ok {
		return
	}
	voters := n.votersAt(in.Index)
	tail := append([]*statepb.Entry(nil), n.entries[in.Index-n.snap.Index:]...)
	n.snap = &statepb.Snapshot{Index: in.Index, Term: t, Voters: voters, State: in.State}
	n.entries = tail
	n.emit(SaveSnapshot{Snapshot: n.snap, Hard: n.hard(), Tail: tail})
}

// votersAt returns the voters in force at index i.
func (n *Node) votersAt(i uint64) *statepb.Voters {
	voters := n.snap.Voters
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
