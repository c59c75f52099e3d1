package raft

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// tick starts an election when the election timeout expires. A replica that is
// not a voter only forgets the leader.
func (n *Node) tick() {
	if n.role == Leader {
		n.leaderTick()
		return
	}
	n.electionElapsed++
	if n.electionElapsed < n.electionTimeout {
		return
	}
	if !n.isVoter(n.cfg.ID) {
		n.electionElapsed = 0
		n.leader = 0
		return
	}
	n.preCampaign()
}

// leaderTick advances the leader's timers, sends heartbeats and changes the
// voters where needed. A leader without a recently active quorum steps down.
func (n *Node) leaderTick() {
	n.electionElapsed++
	n.heartbeatElapsed++
	n.formingTicks++
	for _, p := range n.peers {
		p.idleTicks++
		if p.snapshotRetryTicks > 0 {
			p.snapshotRetryTicks--
		}
	}
	if !n.hasQuorum(func(id uint64) bool { return id == n.cfg.ID || n.RecentlyActive(id) }) {
		n.becomeFollower(QuorumSilent, n.term, 0)
		return
	}
	if n.transferTicksLeft > 0 {
		n.transferTicksLeft--
		if n.transferTicksLeft == 0 {
			n.transferTarget = 0
		}
	}
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeat()
	}
	n.expireLeaving()
	n.changeVoters()
}

// becomeFollower enters a term as a follower; leader 0 is unknown. A former
// leader rejects its pending reads and drops its uncommitted proposals.
func (n *Node) becomeFollower(cause Cause, term, leader uint64) {
	wasLeader := n.role == Leader
	newTerm := term != n.term
	if newTerm {
		n.term = term
		n.votedFor = 0
	}
	n.role, n.cause = Follower, cause
	n.leader = leader
	n.votes = nil
	n.transferTarget = 0
	n.transferTicksLeft = 0
	n.resetElectionTimeout()
	if newTerm {
		n.persist(nil)
	}
	if wasLeader {
		n.rejectReads()
		n.emit(ProposalsDropped{Nonces: n.uncommittedNonces()})
		n.peers, n.leaving = nil, nil
	}
}

// rejectReads rejects all pending reads.
func (n *Node) rejectReads() {
	for _, r := range n.pendingReads {
		n.emit(ReadRejected{ID: r.id})
	}
	n.pendingReads = nil
}

func (n *Node) uncommittedNonces() []uint64 {
	var out []uint64
	for i := n.commitIndex + 1; i <= n.lastIndex(); i++ {
		if c := n.entries[i-n.snapshot.Index-1].Command; c != nil {
			out = append(out, c.Nonce)
		}
	}
	return out
}

// preCampaign asks the voters whether they would vote for this replica, without
// incrementing the term.
func (n *Node) preCampaign() {
	n.role, n.cause = PreCandidate, LeaderSilent
	n.leader = 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetElectionTimeout()
	if n.hasVoteQuorum() {
		n.campaign(false)
		return
	}
	n.requestVotes(statepb.MessageKind_MESSAGE_KIND_PRE_VOTE, n.term+1, false)
}

// campaign starts an election in a new term. A forced election is part of a
// leadership transfer; voters take part although the leader is active.
func (n *Node) campaign(forced bool) {
	n.role, n.cause = Candidate, VotesGranted
	if forced {
		n.cause = LeadershipOffered
	}
	n.term++
	n.votedFor = n.cfg.ID
	n.leader = 0
	n.votes = map[uint64]bool{n.cfg.ID: true}
	n.resetElectionTimeout()
	n.persist(nil)
	if n.hasVoteQuorum() {
		n.becomeLeader()
		return
	}
	n.requestVotes(statepb.MessageKind_MESSAGE_KIND_VOTE, n.term, forced)
}

func (n *Node) hasVoteQuorum() bool {
	return n.hasQuorum(func(id uint64) bool { return n.votes[id] })
}

func (n *Node) requestVotes(kind statepb.MessageKind, term uint64, forced bool) {
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

// becomeLeader takes over leadership and appends an empty entry; committing it
// also commits the entries of earlier terms.
func (n *Node) becomeLeader() {
	n.role, n.cause = Leader, VotesGranted
	n.leader = n.cfg.ID
	n.electionElapsed = 0
	n.heartbeatElapsed = 0
	n.formingTicks = 0
	n.peers = make(map[uint64]*progress)
	n.leaving = make(map[uint64]int)
	n.updatePeers()
	n.appendAsLeader([]*statepb.Entry{{}})
}

// leaderActive reports whether this replica is the leader or received a message
// from one within the minimum election timeout.
func (n *Node) leaderActive() bool {
	return n.role == Leader || n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// candidateUpToDate reports whether the log of the candidate that sent m is at
// least as up to date as this one.
func (n *Node) candidateUpToDate(m *statepb.Message) bool {
	if m.LogTerm != n.lastTerm() {
		return m.LogTerm > n.lastTerm()
	}
	return m.LogIndex >= n.lastIndex()
}

// handlePreVote answers a pre-vote request without changing any state.
func (n *Node) handlePreVote(m *statepb.Message) {
	grant := m.Term > n.term && n.candidateUpToDate(m) && !n.leaderActive()
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

func (n *Node) handleVote(m *statepb.Message) {
	grant := m.Term == n.term && (n.votedFor == 0 || n.votedFor == m.From) && n.candidateUpToDate(m)
	if grant {
		n.votedFor = m.From
		n.electionElapsed = 0
		n.persist(nil)
	}
	n.send(&statepb.Message{
		Kind:   statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY,
		To:     m.From,
		Reject: !grant,
	})
}

func (n *Node) handlePreVoteReply(m *statepb.Message) {
	if n.role != PreCandidate || m.Reject || m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.campaign(false)
	}
}

func (n *Node) handleVoteReply(m *statepb.Message) {
	if n.role != Candidate || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	if n.hasVoteQuorum() {
		n.becomeLeader()
	}
}

// startTransfer begins a leadership transfer to the voter with the most
// complete log among those recently active that do not leave.
func (n *Node) startTransfer() {
	if n.role != Leader {
		return
	}
	target := uint64(0)
	for _, id := range n.voters.GetVoters() {
		if id == n.cfg.ID || !n.RecentlyActive(id) || n.leaving[id] > 0 {
			continue
		}
		if target == 0 || n.peers[id].match > n.peers[target].match {
			target = id
		}
	}
	if target == 0 {
		return
	}
	n.transferTarget = target
	n.transferTicksLeft = n.cfg.ElectionTicks
	n.maybeSendTimeoutNow()
}

// maybeSendTimeoutNow tells the transfer target to start an election once it
// has the whole log.
func (n *Node) maybeSendTimeoutNow() {
	p := n.peers[n.transferTarget]
	if p == nil || p.match != n.lastIndex() {
		return
	}
	n.send(&statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: n.transferTarget})
}
