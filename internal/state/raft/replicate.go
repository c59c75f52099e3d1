package raft

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func (n *Node) receive(m *statepb.Message) {
	if m.To != n.cfg.ID {
		return
	}
	switch m.Kind {
	case statepb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		n.handlePreVote(m)
		return
	case statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if m.Reject && m.Term > n.term {
			n.becomeFollower(NewerTerm, m.Term, 0)
			return
		}
		n.handlePreVoteReply(m)
		return
	}
	if !n.checkTerm(m) {
		return
	}
	switch m.Kind {
	case statepb.MessageKind_MESSAGE_KIND_VOTE:
		n.handleVote(m)
	case statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.handleVoteReply(m)
	case statepb.MessageKind_MESSAGE_KIND_APPEND:
		n.followLeader(m)
		n.handleAppend(m)
	case statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.handleAppendReply(m)
	case statepb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.followLeader(m)
		n.handleSnapshot(m)
	case statepb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if n.isVoter(n.cfg.ID) && n.role != Leader {
			n.campaign(true)
		}
	default:
		panic(fmt.Sprintf("raft: unhandled message %v", m.Kind))
	}
}

// checkTerm compares the term of a message with the current one, adopts a newer
// term, and reports whether the message should be handled. A vote request does
// not take effect while a leader is active, unless a voter was told by the leader to
// take over. A replica that was removed meanwhile must not end the leader's term. A
// leader of an older term gets a rejection, from which it learns the newer term.
func (n *Node) checkTerm(m *statepb.Message) bool {
	isVote := m.Kind == statepb.MessageKind_MESSAGE_KIND_VOTE
	if m.Term > n.term {
		if isVote && n.leaderActive() && (!m.Forced || !n.isVoter(m.From)) {
			return false
		}
		n.becomeFollower(NewerTerm, m.Term, 0)
		return true
	}
	if m.Term == n.term {
		return true
	}
	if m.Kind == statepb.MessageKind_MESSAGE_KIND_APPEND || m.Kind == statepb.MessageKind_MESSAGE_KIND_SNAPSHOT {
		n.send(&statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	}
	return false
}

// followLeader accepts the sender as the leader of the current term. It ends a
// short startup election timeout.
func (n *Node) followLeader(m *statepb.Message) {
	if n.role != Follower {
		n.becomeFollower(LeaderHeard, m.Term, m.From)
	}
	n.leader = m.From
	n.electionElapsed = 0
	if n.electionTimeout < n.cfg.ElectionTicks {
		n.resetElectionTimeout()
	}
}

// handleAppend checks that the log matches the leader's before the new entries,
// and stores those that it lacks. Entries covered by the snapshot are skipped. A
// rejection carries the hint for the leader in its Commit field.
func (n *Node) handleAppend(m *statepb.Message) {
	reply := &statepb.Message{
		Kind:  statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:    m.From,
		Round: m.Round,
	}
	entries := m.Entries
	prev, prevTerm := m.LogIndex, m.LogTerm
	for len(entries) > 0 && prev < n.snapshot.Index {
		prev, prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if prev < n.snapshot.Index {
		reply.LogIndex = n.snapshot.Index
		n.send(reply)
		return
	}
	if t, ok := n.termAt(prev); !ok || t != prevTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Commit = n.rejectHint(prev)
		n.send(reply)
		return
	}
	last := prev + uint64(len(entries))
	for i, e := range entries {
		if t, ok := n.termAt(e.Index); !ok || t != e.Term {
			n.replaceFrom(entries[i:])
			break
		}
	}
	n.commitTo(min(m.Commit, last))
	reply.LogIndex = last
	n.send(reply)
}

// rejectHint returns the index at which the leader should next look for a match,
// after a log mismatch at prev. It skips all entries of the conflicting term, but
// none that are committed.
func (n *Node) rejectHint(prev uint64) uint64 {
	if prev > n.lastIndex() {
		return n.lastIndex()
	}
	t, _ := n.termAt(prev)
	for prev > n.snapshot.Index+1 {
		if before, ok := n.termAt(prev - 1); !ok || before != t {
			break
		}
		prev--
	}
	if prev > 0 {
		prev--
	}
	return max(prev, n.commitIndex)
}

func (n *Node) handleSnapshot(m *statepb.Message) {
	s := m.Snapshot
	if s.Index > n.commitIndex {
		n.installSnapshot(s)
	}
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:       m.From,
		LogIndex: n.commitIndex,
		Round:    m.Round,
	})
}

func (n *Node) installSnapshot(s *statepb.Snapshot) {
	var tail []*statepb.Entry
	if t, ok := n.termAt(s.Index); ok && t == s.Term && s.Index > n.snapshot.Index {
		tail = append(tail, n.entries[s.Index-n.snapshot.Index:]...)
	}
	n.snapshot = s
	n.entries = tail
	n.commitIndex, n.lastApplied = s.Index, s.Index
	n.updateVoters()
	n.emit(SaveSnapshot{Snapshot: s, Hard: n.hardState(), Tail: tail})
	n.emit(Restore{Snapshot: s})
}

func (n *Node) handleAppendReply(m *statepb.Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.idleTicks = 0
	p.ackedRound = max(p.ackedRound, m.Round)
	n.confirmReads()
	if m.Reject {
		if m.LogIndex > p.match {
			p.resend(max(p.match+1, min(m.LogIndex, m.Commit+1)))
			n.replicate(m.From)
		}
		return
	}
	if m.LogIndex > p.match {
		p.recordMatch(m.LogIndex)
		p.snapshotRetryTicks = 0
	}
	p.next = max(p.next, p.match+1)
	n.advanceCommit()
	if n.transferTarget == m.From {
		n.maybeSendTimeoutNow()
	}
	if p.next <= n.lastIndex() {
		n.replicate(m.From)
	}
}

func (n *Node) heartbeat() {
	n.heartbeatElapsed = 0
	n.heartbeatRound++
	for _, id := range n.otherMembers() {
		n.sendAppend(id)
	}
	n.confirmReads()
}

func (n *Node) replicateAll() {
	for _, id := range n.otherMembers() {
		n.replicate(id)
	}
}

// replicate sends the entries that a peer lacks, up to the in-flight limit.
func (n *Node) replicate(id uint64) {
	p := n.peers[id]
	for p.next <= n.lastIndex() && !p.inflightFull() {
		if !n.sendAppend(id) {
			return
		}
	}
}

// sendAppend sends one append message, or a snapshot if the entries are
// compacted, and reports whether more appends may follow. The message is empty,
// and serves as a heartbeat, if there is nothing to send or the in-flight limit
// is reached.
func (n *Node) sendAppend(id uint64) bool {
	p := n.peers[id]
	if p.next <= n.snapshot.Index {
		n.sendSnapshot(id, p)
		return false
	}
	to, bytes := n.appendEnd(p)
	t, _ := n.termAt(p.next - 1)
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_APPEND,
		To:       id,
		LogIndex: p.next - 1,
		LogTerm:  t,
		Commit:   n.commitIndex,
		Entries:  n.slice(p.next, to),
		Round:    n.heartbeatRound,
	})
	p.recordSent(to, bytes)
	return true
}

// appendEnd returns the index of the last entry of the next append to a peer, and the
// size of its entries in bytes.
func (n *Node) appendEnd(p *progress) (to uint64, bytes int) {
	to = p.next - 1
	if p.inflightFull() {
		return to, 0
	}
	for _, e := range n.slice(p.next, min(n.lastIndex(), p.next+maxAppendEntries-1)) {
		size := proto.Size(e)
		if bytes > 0 && bytes+size > maxAppendBytes {
			break
		}
		to, bytes = e.Index, bytes+size
	}
	return to, bytes
}

// sendSnapshot sends the snapshot, or only a heartbeat until it may be sent
// again.
func (n *Node) sendSnapshot(id uint64, p *progress) {
	if p.snapshotRetryTicks > 0 {
		n.send(&statepb.Message{
			Kind:    statepb.MessageKind_MESSAGE_KIND_APPEND,
			To:      id,
			Commit:  0,
			Round:   n.heartbeatRound,
			LogTerm: 0,
		})
		return
	}
	p.snapshotRetryTicks = n.cfg.ElectionTicks
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       id,
		Snapshot: n.snapshot,
		Round:    n.heartbeatRound,
	})
}

func (n *Node) propose(commands []*statepb.Command) {
	if n.role != Leader || n.transferTarget != 0 {
		nonces := make([]uint64, 0, len(commands))
		for _, c := range commands {
			nonces = append(nonces, c.Nonce)
		}
		n.emit(ProposalsDropped{Nonces: nonces})
		return
	}
	entries := make([]*statepb.Entry, 0, len(commands))
	for _, c := range commands {
		entries = append(entries, &statepb.Entry{Command: c})
	}
	n.appendAsLeader(entries)
}

// readIndex queues a read for the next heartbeat round, so that the round
// begins after the read. Reads that arrive while a round is in flight share the
// next one.
func (n *Node) readIndex(id uint64) {
	if n.role != Leader || !n.committedInCurrentTerm() {
		n.emit(ReadRejected{ID: id})
		return
	}
	inFlight := len(n.pendingReads) > 0 && n.pendingReads[0].round <= n.heartbeatRound
	n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: n.commitIndex, round: n.heartbeatRound + 1})
	if !inFlight {
		n.heartbeat()
	}
}

// confirmReads confirms the reads whose heartbeat round a quorum has answered,
// and starts the next round if reads wait for it.
func (n *Node) confirmReads() {
	confirmed := n.quorumValue(func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.heartbeatRound
		}
		if p := n.peers[id]; p != nil {
			return p.ackedRound
		}
		return 0
	})
	if n.committedInCurrentTerm() && confirmed > n.confirmedRound {
		n.confirmedRound = confirmed
		n.emit(LeadershipConfirmed{Round: confirmed})
	}
	var kept []pendingRead
	for _, r := range n.pendingReads {
		if r.round <= confirmed {
			n.emit(ReadConfirmed{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	n.pendingReads = kept
	if len(kept) > 0 && kept[0].round > n.heartbeatRound {
		n.heartbeat()
	}
}
