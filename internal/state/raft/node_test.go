package raft

import (
	"testing"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func voters(ids ...uint64) *statepb.Voters {
	v := &statepb.Voters{Names: make(map[uint64]string)}
	for _, id := range ids {
		v.Voters = append(v.Voters, id)
		v.Names[id] = string(rune('a' + id - 1))
	}
	return v
}

func withLog(id uint64, v *statepb.Voters, term uint64, entryTerms ...uint64) *Node {
	r := Restored{
		Hard:     &statepb.HardState{Term: term},
		Snapshot: &statepb.Snapshot{Index: 1, Term: 1, Voters: v},
	}
	for i, t := range entryTerms {
		r.Entries = append(r.Entries, &statepb.Entry{Index: uint64(i + 2), Term: t, Command: &statepb.Command{Nonce: uint64(i)}})
	}
	return New(Config{ID: id, ElectionTicks: 3, HeartbeatTicks: 1}, r)
}

// elect makes a node the leader by the votes of the others.
func elect(n *Node, from ...uint64) {
	for n.State().Role == Follower {
		n.Step(Tick{})
	}
	for _, id := range from {
		n.Step(Receive{Message: &statepb.Message{
			Kind: statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: id, To: n.cfg.ID, Term: n.term + 1,
		}})
	}
	for _, id := range from {
		n.Step(Receive{Message: &statepb.Message{
			Kind: statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: id, To: n.cfg.ID, Term: n.term,
		}})
	}
}

func ack(n *Node, from, index uint64) {
	n.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: from, To: n.cfg.ID, Term: n.term, LogIndex: index, Round: n.round,
	}})
}

// An entry of an older term is not committed by counting its copies, as in
// figure 8 of the paper; it is committed with the first of the own term.
func TestOlderTermIsNotCommittedByCount(t *testing.T) {
	n := withLog(1, voters(1, 2, 3, 4, 5), 3, 2)
	elect(n, 2, 3)
	if got, want := n.State().Role, Leader; got != want {
		t.Fatalf("role %v, want %v", got, want)
	}
	ack(n, 2, 2)
	ack(n, 3, 2)
	if got, want := n.State().Commit, uint64(1); got != want {
		t.Errorf("commit %d after a majority holds an entry of an older term, want %d", got, want)
	}
	ack(n, 2, 3)
	ack(n, 3, 3)
	if got, want := n.State().Commit, uint64(3); got != want {
		t.Errorf("commit %d after a majority holds an entry of the own term, want %d", got, want)
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	v := voters(1, 2)
	v.Learners, v.Names[7] = []uint64{7}, "c"
	n := withLog(1, v, 3, 2, 2, 2)
	elect(n, 2)
	ack(n, 2, 5)
	ack(n, 7, 2)
	for range 2 {
		n.Step(Tick{})
		ack(n, 2, 5)
	}
	if got, want := len(n.State().Voters.Voters), 2; got != want {
		t.Fatalf("%d voters while the learner lacks entries, want %d", got, want)
	}
	ack(n, 7, 5)
	n.Step(Tick{})
	if got, want := len(n.State().Voters.Voters), 3; got != want {
		t.Errorf("%d voters after the learner has caught up, want %d", got, want)
	}
}

func TestNoChangeOfVotersBeforeAnEntryOfTheOwnTerm(t *testing.T) {
	n := withLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	n.Step(Join{Name: "d", ID: 9})
	if got, want := len(n.State().Voters.Learners), 0; got != want {
		t.Errorf("%d learners before the own term has committed, want %d", got, want)
	}
	ack(n, 2, 2)
	n.Step(Join{Name: "d", ID: 9})
	n.Step(Join{Name: "e", ID: 10})
	if got, want := len(n.State().Voters.Learners), 1; got != want {
		t.Errorf("%d learners with one change open, want %d", got, want)
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	n := withLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	n.Step(ReadIndex{ID: 1})
	var unreadable bool
	for range 4 {
		for _, e := range n.Step(Tick{}) {
			_, is := e.(Unreadable)
			unreadable = unreadable || is
		}
	}
	if got, want := n.State().Role, Leader; got == want {
		t.Errorf("role %v without a quorum for an election timeout", got)
	}
}

func TestReadWaitsForARoundThatBeganAfterIt(t *testing.T) {
	n := withLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	ack(n, 2, 2)
	readable := func(effects []Effect) bool {
		for _, e := range effects {
			if _, ok := e.(Readable); ok {
				return true
			}
		}
		return false
	}
	if readable(n.Step(ReadIndex{ID: 5})) {
		t.Fatal("a read was answered without a quorum")
	}
	stale := &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: n.term, LogIndex: 2, Round: n.round - 1}
	if readable(n.Step(Receive{Message: stale})) {
		t.Error("a read was answered by a round that began before it")
	}
	fresh := &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: n.term, LogIndex: 2, Round: n.round}
	if !readable(n.Step(Receive{Message: fresh})) {
		t.Error("a read was not answered by a quorum's round")
	}
}

// A vote is made lasting before the answer that gives it, so that a crash
// cannot lead to a second vote in the same term.
func TestVoteIsPersistedBeforeItIsGiven(t *testing.T) {
	n := withLog(1, voters(1, 2, 3), 3)
	effects := n.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: 2, To: 1, Term: 4, LogIndex: 9, LogTerm: 3,
	}})
	var lasting uint64
	for _, e := range effects {
		if p, ok := e.(Persist); ok {
			lasting = p.Hard.Vote
		}
	}
	if got, want := lasting, uint64(2); got != want {
		t.Fatalf("vote on disk %d, want %d", got, want)
	}
	restarted := withLog(1, voters(1, 2, 3), 4)
	restarted.vote = lasting
	for _, e := range restarted.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 1, Term: 4, LogIndex: 9, LogTerm: 3,
	}}) {
		if s, ok := e.(Send); ok && !s.Message.Reject {
			t.Error("a second vote was given in the same term")
		}
	}
}

// A learner is promoted however often the leader is read from: each read
// begins a heartbeat round of its own.
func TestReadsDoNotStarvePromotion(t *testing.T) {
	v := voters(1, 2)
	v.Learners, v.Names[7] = []uint64{7}, "c"
	n := withLog(1, v, 3)
	n.cfg.HeartbeatTicks = 2
	elect(n, 2)
	ack(n, 2, 2)
	ack(n, 7, 2)
	for i := range uint64(5) {
		n.Step(ReadIndex{ID: i + 1})
		ack(n, 2, 2)
		ack(n, 7, 2)
		n.Step(Tick{})
	}
	if got, want := len(n.State().Voters.Voters), 3; got != want {
		t.Errorf("%d voters, want %d", got, want)
	}
}

// With more voters than wanted, one that has been silent for long is removed,
// one at a time; without more, none is.
func TestSilentVoterTooManyIsRetired(t *testing.T) {
	for _, tt := range []struct {
		wanted int
		want   int
	}{{3, 3}, {0, 4}, {5, 4}} {
		voters := &statepb.Voters{Voters: []uint64{1, 2, 3, 4}, Names: map[uint64]string{1: "a", 2: "b", 3: "c", 4: "d"}}
		n := New(Config{ID: 1, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, Voters: tt.wanted, RetireTicks: 30, Jitter: func(int) int { return 0 }},
			Restored{Hard: &statepb.HardState{Term: 1}, Snapshot: &statepb.Snapshot{Index: 1, Term: 1, Voters: voters}})
		answer := func(effects []Effect) {
			for len(effects) > 0 {
				var next []Effect
				for _, e := range effects {
					send, ok := e.(Send)
					if !ok || send.Message.To == 4 {
						continue
					}
					m := send.Message
					reply := &statepb.Message{From: m.To, To: m.From, Term: m.Term, Round: m.Round}
					switch m.Kind {
					case statepb.MessageKind_MESSAGE_KIND_PRE_VOTE:
						reply.Kind = statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
					case statepb.MessageKind_MESSAGE_KIND_VOTE:
						reply.Kind = statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY
					case statepb.MessageKind_MESSAGE_KIND_APPEND:
						reply.Kind = statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY
						reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
					default:
						continue
					}
					next = append(next, n.Step(Receive{Message: reply})...)
				}
				effects = next
			}
		}
		for range 80 {
			answer(n.Step(Tick{}))
		}
		if got := n.State().Role; got != Leader {
			t.Fatalf("wanted %d: role %s, want leader", tt.wanted, got)
		}
		if got := len(n.State().Voters.GetVoters()); got != tt.want {
			t.Errorf("wanted %d: %d voters, want %d", tt.wanted, got, tt.want)
		}
	}
}

// After a start the first election comes early, and those that hear a leader
// refuse it.
func TestFirstElectionAfterAStartIsEarly(t *testing.T) {
	voters := &statepb.Voters{Voters: []uint64{1, 2, 3}}
	started := func(id uint64) *Node {
		return New(Config{ID: id, ElectionTicks: 10, FirstTicks: 2, HeartbeatTicks: 1},
			Restored{Hard: &statepb.HardState{Term: 3}, Snapshot: &statepb.Snapshot{Index: 1, Term: 3, Voters: voters}})
	}
	preVotes := func(n *Node, ticks int) []*statepb.Message {
		var out []*statepb.Message
		for range ticks {
			for _, e := range n.Step(Tick{}) {
				if s, ok := e.(Send); ok && s.Message.Kind == statepb.MessageKind_MESSAGE_KIND_PRE_VOTE {
					out = append(out, s.Message)
				}
			}
		}
		return out
	}
	asked := preVotes(started(1), 2)
	if got, want := len(asked), 2; got != want {
		t.Fatalf("%d pre-votes asked for after 2 ticks, want %d", got, want)
	}
	other := started(2)
	other.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND, From: 3, To: 2, Term: 3, LogIndex: 1, LogTerm: 3}})
	for _, e := range other.Step(Receive{Message: asked[0]}) {
		if s, ok := e.(Send); ok && !s.Message.Reject {
			t.Errorf("a voter that hears a leader grants: %v", s.Message)
		}
	}
	if got := len(preVotes(other, 9)); got != 0 {
		t.Errorf("a voter that heard a leader asks for %d pre-votes within 9 ticks, want none", got)
	}
}
