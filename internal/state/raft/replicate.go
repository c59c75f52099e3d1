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
		n.preVote(m)
		return
	case statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if m.Reject && m.Term > n.term {
			n.becomeFollower(m.Term, 0)
			return
		}
		n.countPreVote(m)
		return
	}
	if !n.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case statepb.MessageKind_MESSAGE_KIND_VOTE:
		n.giveVote(m)
	case statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		n.countVote(m)
	case statepb.MessageKind_MESSAGE_KIND_APPEND:
		n.follow(m)
		n.takeAppend(m)
	case statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		n.appendReply(m)
	case statepb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		n.follow(m)
		n.takeSnapshot(m)
	case statepb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if n.isVoter(n.cfg.ID) && n.role != Leader {
			n.campaign(true)
		}
	default:
		panic(fmt.Sprintf("raft: unhandled message %v", m.Kind))
	}
}

// adoptTerm compares terms and reports whether the message is to be handled.
func (n *Node) adoptTerm(m *statepb.Message) bool {
	isVote := m.Kind == statepb.MessageKind_MESSAGE_KIND_VOTE
	if m.Term > n.term {
		if isVote && !m.Forced && n.leaderAlive() {
			return false
		}
		n.becomeFollower(m.Term, 0)
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

func (n *Node) follow(m *statepb.Message) {
	if n.role != Follower {
		n.becomeFollower(m.Term, m.From)
	}
	n.lead = m.From
	n.elapsed = 0
	if n.timeout < n.cfg.ElectionTicks {
		n.resetTimeout()
	}
}

func (n *Node) takeAppend(m *statepb.Message) {
	reply := &statepb.Message{
		Kind:  statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:    m.From,
		Round: m.Round,
	}
	entries := m.Entries
	prev, prevTerm := m.LogIndex, m.LogTerm
	for len(entries) > 0 && prev < n.snap.Index {
		prev, prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	if prev < n.snap.Index {
		reply.LogIndex = n.snap.Index
		n.send(reply)
		return
	}
	if t, ok := n.termAt(prev); !ok || t != prevTerm {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.Commit = n.hint(prev)
		n.send(reply)
		return
	}
	last := prev + uint64(len(entries))
	for i, e := range entries {
		if t, ok := n.termAt(e.Index); !ok || t != e.Term {
			n.replace(entries[i:])
			break
		}
	}
	n.commitTo(min(m.Commit, last))
	reply.LogIndex = last
	n.send(reply)
}

// hint returns an index at which the leader may try again after a mismatch.
func (n *Node) hint(prev uint64) uint64 {
	if prev > n.lastIndex() {
		return n.lastIndex()
	}
	t, _ := n.termAt(prev)
	for prev > n.snap.Index+1 {
		if before, ok := n.termAt(prev - 1); !ok || before != t {
			break
		}
		prev--
	}
	if prev > 0 {
		prev--
	}
	return max(prev, n.commit)
}

func (n *Node) takeSnapshot(m *statepb.Message) {
	s := m.Snapshot
	if s.Index > n.commit {
		n.installSnapshot(s)
	}
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY,
		To:       m.From,
		LogIndex: n.commit,
		Round:    m.Round,
	})
}

func (n *Node) installSnapshot(s *statepb.Snapshot) {
	var tail []*statepb.Entry
	if t, ok := n.termAt(s.Index); ok && t == s.Term && s.Index > n.snap.Index {
		tail = append(tail, n.entries[s.Index-n.snap.Index:]...)
	}
	n.snap = s
	n.entries = tail
	n.commit, n.applied = s.Index, s.Index
	n.findVoters()
	n.emit(SaveSnapshot{Snapshot: s, Hard: n.hard(), Tail: tail})
	n.emit(Restore{Snapshot: s})
}

func (n *Node) appendReply(m *statepb.Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.quiet = 0
	p.round = max(p.round, m.Round)
	n.confirmReads()
	if m.Reject {
		if m.LogIndex > p.match {
			p.next = max(p.match+1, min(m.LogIndex, m.Commit+1))
			n.replicate(m.From)
		}
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.snapshotWait = 0
	}
	p.next = max(p.next, p.match+1)
	n.advance()
	if n.transfer == m.From {
		n.finishTransfer()
	}
	if p.next <= n.lastIndex() {
		n.replicate(m.From)
	}
}

func (n *Node) heartbeat() {
	n.beat = 0
	n.round++
	for _, id := range n.others() {
		n.sendAppend(id)
	}
	n.confirmReads()
}

func (n *Node) replicateAll() {
	for _, id := range n.others() {
		n.replicate(id)
	}
}

// replicate sends what the peer lacks, a bounded number of messages ahead.
func (n *Node) replicate(id uint64) {
	p := n.peers[id]
	for p.next <= n.lastIndex() && !p.full() {
		if !n.sendAppend(id) {
			return
		}
	}
}

// sendAppend sends one message of entries and reports whether more may follow.
func (n *Node) sendAppend(id uint64) bool {
	p := n.peers[id]
	if p.next <= n.snap.Index {
		n.sendSnapshot(id, p)
		return false
	}
	to := min(n.lastIndex(), p.next+maxAppend-1)
	if p.full() {
		to = p.next - 1
	}
	t, _ := n.termAt(p.next - 1)
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_APPEND,
		To:       id,
		LogIndex: p.next - 1,
		LogTerm:  t,
		Commit:   n.commit,
		Entries:  n.slice(p.next, to),
		Round:    n.round,
	})
	p.next = to + 1
	return true
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	if p.snapshotWait > 0 {
		n.send(&statepb.Message{
			Kind:    statepb.MessageKind_MESSAGE_KIND_APPEND,
			To:      id,
			Commit:  0,
			Round:   n.round,
			LogTerm: 0,
		})
		return
	}
	p.snapshotWait = n.cfg.ElectionTicks
	n.send(&statepb.Message{
		Kind:     statepb.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       id,
		Snapshot: n.snap,
		Round:    n.round,
	})
}

func (n *Node) propose(commands []*statepb.Command) {
	if n.role != Leader || n.transfer != 0 {
		nonces := make([]uint64, 0, len(commands))
		for _, c := range commands {
			nonces = append(nonces, c.Nonce)
		}
		n.emit(Dropped{Nonces: nonces})
		return
	}
	entries := make([]*statepb.Entry, 0, len(commands))
	for _, c := range commands {
		entries = append(entries, &statepb.Entry{Command: c})
	}
	n.appendOwn(entries)
}

func (n *Node) readIndex(id uint64) {
	if n.role != Leader || !n.ownTermCommitted() {
		n.emit(Unreadable{ID: id})
		return
	}
	inFlight := len(n.reads) > 0 && n.reads[0].round <= n.round
	n.reads = append(n.reads, read{id: id, index: n.commit, round: n.round + 1})
	if !inFlight {
		n.heartbeat()
	}
}

// confirmReads answers the queries whose round a majority has answered.
func (n *Node) confirmReads() {
	confirmed := n.quorumIndex(func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.round
		}
		if p := n.peers[id]; p != nil {
			return p.round
		}
		return 0
	})
	if n.ownTermCommitted() && confirmed > n.confirmed {
		n.confirmed = confirmed
		n.emit(Confirmed{Round: confirmed})
	}
	var kept []read
	for _, r := range n.reads {
		if r.round <= confirmed {
			n.emit(Readable{ID: r.id, Index: r.index})
		} else {
			kept = append(kept, r)
		}
	}
	n.reads = kept
	if len(kept) > 0 && kept[0].round > n.round {
		n.heartbeat()
	}
}

// join admits a new disk identity as a learner. Where the name already had an
// identity that is silent, the change removes the former one as well.
func (n *Node) join(in Join) {
	if n.role != Leader || n.isMember(in.ID) || !n.mayChangeVoters() {
		return
	}
	next := proto.Clone(n.voters).(*statepb.Voters)
	for id, name := range n.voters.GetNames() {
		if name != in.Name {
			continue
		}
		if id == n.cfg.ID || n.Heard(id) {
			return
		}
		next.Voters = without(next.Voters, id)
		next.Learners = without(next.Learners, id)
		delete(next.Names, id)
	}
	next.Learners = append(next.Learners, in.ID)
	if next.Names == nil {
		next.Names = make(map[uint64]string)
	}
	next.Names[in.ID] = in.Name
	n.appendOwn([]*statepb.Entry{{Voters: next}})
}

// promote makes one caught-up learner a voter.
func (n *Node) promote() {
	if !n.mayChangeVoters() {
		return
	}
	for _, id := range n.voters.GetLearners() {
		p := n.peers[id]
		if p == nil || p.match < n.commit || !n.Heard(id) {
			continue
		}
		next := proto.Clone(n.voters).(*statepb.Voters)
		next.Learners = without(next.Learners, id)
		next.Voters = append(next.Voters, id)
		n.appendOwn([]*statepb.Entry{{Voters: next}})
		return
	}
}

// retire removes one voter that has been silent for long, while there are more
// voters than wanted.
func (n *Node) retire() {
	if n.cfg.Voters == 0 || len(n.voters.GetVoters()) <= n.cfg.Voters || !n.mayChangeVoters() {
		return
	}
	for _, id := range n.voters.GetVoters() {
		if id == n.cfg.ID || n.peers[id] == nil || n.peers[id].quiet < n.cfg.RetireTicks {
			continue
		}
		next := proto.Clone(n.voters).(*statepb.Voters)
		next.Voters = without(next.Voters, id)
		delete(next.Names, id)
		n.appendOwn([]*statepb.Entry{{Voters: next}})
		return
	}
}

func (n *Node) mayChangeVoters() bool {
	return n.ownTermCommitted() && n.votersIndex <= n.commit && n.transfer == 0
}

func (n *Node) isMember(id uint64) bool {
	_, ok := n.voters.GetNames()[id]
	return ok
}

func without(ids []uint64, id uint64) []uint64 {
	var out []uint64
	for _, x := range ids {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}
