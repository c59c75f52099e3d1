package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

func (n *Node) tick() {
	if n.role == Leader {
		n.leaderTick()
		return
	}
	n.elapsed++
	if n.elapsed < n.timeout {
		return
	}
	if !n.isVoter(n.cfg.ID) {
		n.elapsed = 0
		n.lead = 0
		return
	}
	n.preCampaign()
}

func (n *Node) leaderTick() {
	n.elapsed++
	n.beat++
	for _, p := range n.peers {
		p.quiet++
		if p.snapshotWait > 0 {
			p.snapshotWait--
		}
	}
	if !n.quorumOf(func(id uint64) bool { return id == n.cfg.ID || n.Heard(id) }) {
		n.becomeFollower(n.term, 0)
		return
	}
	if n.handing > 0 {
		n.handing--
		if n.handing == 0 {
			n.transfer = 0
		}
	}
	if n.beat >= n.cfg.HeartbeatTicks {
		n.heartbeat()
	}
	n.promote()
	n.retire()
}

func (n *Node) becomeFollower(term, lead uint64) {
	wasLeader := n.role == Leader
	changed := term != n.term
	if changed {
		n.term = term
		n.vote = 0
	}
	n.role = Follower
	n.lead = lead
	n.votes = nil
	n.transfer = 0
	n.handing = 0
	n.resetTimeout()
	if changed {
		n.persist(nil)
	}
	if wasLeader {
		n.dropReads()
		n.emit(Dropped{Nonces: n.uncommittedNonces()})
		n.peers = nil
	}
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.emit(Unreadable{ID: r.id})
	}
	n.reads = nil
}

func (n *Node) uncommittedNonces() []uint64 {
	var out []uint64
	for i := n.commit + 1; i <= n.lastIndex(); i++ {
		if c := n.entries[i-n.snap.Index-1].Command; c != nil {
			out = append(out, c.Nonce)
		}
	}
	return out
}

func (n *Node) preCampaign() {
	n.role = PreCandidate
	n.lead = 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetTimeout()
	if n.voteWon() {
		n.campaign(false)
		return
	}
	n.askVotes(statepb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

func (n *Node) campaign(forced bool) {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.lead = 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetTimeout()
	n.persist(nil)
	if n.voteWon() {
		n.becomeLeader()
		return
	}
	n.askVotes(statepb.MessageKind_MESSAGE_KIND_VOTE, n.term, forced)
}

func (n *Node) voteWon() bool {
	return n.quorumOf(func(id uint64) bool { return n.votes[id] })
}

func (n *Node) askVotes(kind statepb.MessageKind, term uint64, forced bool) {
	for _, id := range n.voters.GetVoters() {
		if id == n.cfg.ID {
			continue
		}
		n.send(&statepb.Message{
			Kind:     kind,
			To:       id,
			Term:     term,
			LogIndex: n.lastIndex(),
			LogTerm:  n.lastTerm(),
			Forced:   forced,
		})
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.lead = n.cfg.ID
	n.elapsed = 0
	n.beat = 0
	n.peers = make(map[uint64]*progress)
	n.trackPeers()
	n.appendOwn([]*statepb.Entry{{}})
}

// leaderAlive reports whether a leader was heard within an election timeout.
func (n *Node) leaderAlive() bool {
	return n.role == Leader || n.lead != 0 && n.elapsed < n.cfg.ElectionTicks
}

func (n *Node) upToDate(m *statepb.Message) bool {
	if m.LogTerm != n.lastTerm() {
		return m.LogTerm > n.lastTerm()
	}
	return m.LogIndex >= n.lastIndex()
}

// preVote answers without a change of state.
func (n *Node) preVote(m *statepb.Message) {
	grant := m.Term > n.term && n.upToDate(m) && !n.leaderAlive()
	term := m.Term
	if !grant {
		term = n.term
	}
	n.send(&statepb.Message{
		Kind:   statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY,
		To:     m.From,
		Term:   term,
		Reject: !grant,
	})
}

func (n *Node) giveVote(m *statepb.Message) {
	grant := m.Term == n.term && (n.vote == 0 || n.vote == m.From) && n.upToDate(m)
	if grant {
		n.vote = m.From
		n.elapsed = 0
		n.persist(nil)
	}
	n.send(&statepb.Message{
		Kind:   statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.From,
		Reject: !grant,
	})
}

func (n *Node) countPreVote(m *statepb.Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.voteWon() {
		n.campaign(false)
	}
}

func (n *Node) countVote(m *statepb.Message) {
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.voteWon() {
		n.becomeLeader()
	}
}

func (n *Node) startTransfer() {
	if n.role != Leader {
		return
	}
	best := uint64(0)
	for _, id := range n.voters.GetVoters() {
		if id == n.cfg.ID || !n.Heard(id) {
			continue
		}
		if best == 0 || n.peers[id].match > n.peers[best].match {
			best = id
		}
	}
	if best == 0 {
		return
	}
	n.transfer = best
	n.handing = n.cfg.ElectionTicks
	n.finishTransfer()
}

func (n *Node) finishTransfer() {
	p := n.peers[n.transfer]
	if p == nil || p.match != n.lastIndex() {
		return
	}
	n.send(&statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: n.transfer})
}
