package raft

import (
	"testing"

	"google.golang.org/protobuf/proto"

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

// newNodeWithLog returns a node whose log holds a snapshot at index 1 and an
// entry of each of entryTerms from index 2 on.
func newNodeWithLog(id uint64, v *statepb.Voters, term uint64, entryTerms ...uint64) *Node {
	r := InitialState{
		Hard:     &statepb.HardState{Term: term},
		Snapshot: &statepb.Snapshot{Index: 1, Term: 1, Voters: v},
	}
	for i, t := range entryTerms {
		r.Entries = append(r.Entries, &statepb.Entry{Index: uint64(i + 2), Term: t, Command: &statepb.Command{Nonce: uint64(i)}})
	}
	return New(Config{ID: id, ElectionTicks: 3, HeartbeatTicks: 1}, r)
}

// elect makes n the leader with the votes of voterIDs.
func elect(n *Node, voterIDs ...uint64) {
	for n.State().Role == Follower {
		n.Step(Tick{})
	}
	for _, id := range voterIDs {
		n.Step(Receive{Message: &statepb.Message{
			Kind: statepb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: id, To: n.cfg.ID, Term: n.term + 1,
		}})
	}
	for _, id := range voterIDs {
		n.Step(Receive{Message: &statepb.Message{
			Kind: statepb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: id, To: n.cfg.ID, Term: n.term,
		}})
	}
}

// ackAppend acknowledges the log up to index and the current heartbeat round.
func ackAppend(n *Node, from, index uint64) {
	n.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: from, To: n.cfg.ID, Term: n.term, LogIndex: index, Round: n.heartbeatRound,
	}})
}

// A leader must not commit an entry of an older term merely because a majority
// stores it: a later leader could still overwrite it (figure 8 of the Raft
// paper). It commits such entries with the first entry of its own term.
func TestOlderTermEntryIsNotCommittedByCounting(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3, 4, 5), 3, 2)
	elect(n, 2, 3)
	if got, want := n.State().Role, Leader; got != want {
		t.Fatalf("role %v, want %v", got, want)
	}
	ackAppend(n, 2, 2)
	ackAppend(n, 3, 2)
	if got, want := n.State().Commit, uint64(1); got != want {
		t.Errorf("commit %d when a majority stores an entry of an older term, want %d", got, want)
	}
	ackAppend(n, 2, 3)
	ackAppend(n, 3, 3)
	if got, want := n.State().Commit, uint64(3); got != want {
		t.Errorf("commit %d when a majority stores an entry of the current term, want %d", got, want)
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	v := voters(1, 2)
	v.Learners, v.Names[7] = []uint64{7}, "c"
	n := newNodeWithLog(1, v, 3, 2, 2, 2)
	elect(n, 2)
	ackAppend(n, 2, 5)
	ackAppend(n, 7, 2)
	for range 2 {
		n.Step(Tick{})
		ackAppend(n, 2, 5)
	}
	if got, want := len(n.State().Voters.Voters), 2; got != want {
		t.Fatalf("%d voters while the learner is behind, want %d", got, want)
	}
	ackAppend(n, 7, 5)
	n.Step(Tick{})
	if got, want := len(n.State().Voters.Voters), 3; got != want {
		t.Errorf("%d voters after the learner has caught up, want %d", got, want)
	}
}

func TestNoVoterChangeBeforeCommitInCurrentTerm(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	n.Step(Join{Name: "d", ID: 9})
	if got, want := len(n.State().Voters.Learners), 0; got != want {
		t.Errorf("%d learners before an entry of the current term is committed, want %d", got, want)
	}
	ackAppend(n, 2, 2)
	n.Step(Join{Name: "d", ID: 9})
	n.Step(Join{Name: "e", ID: 10})
	if got, want := len(n.State().Voters.Learners), 1; got != want {
		t.Errorf("%d learners with one membership change in progress, want %d", got, want)
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	n.Step(ReadIndex{ID: 1})
	var rejected bool
	for range 4 {
		for _, e := range n.Step(Tick{}) {
			_, is := e.(ReadRejected)
			rejected = rejected || is
		}
	}
	if got, want := n.State().Role, Leader; got == want {
		t.Errorf("role %v without a quorum for an election timeout", got)
	}
}

func TestReadWaitsForLaterHeartbeatRound(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	ackAppend(n, 2, 2)
	confirmed := func(effects []Effect) bool {
		for _, e := range effects {
			if _, ok := e.(ReadConfirmed); ok {
				return true
			}
		}
		return false
	}
	if confirmed(n.Step(ReadIndex{ID: 5})) {
		t.Fatal("read confirmed without a quorum")
	}
	stale := &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: n.term, LogIndex: 2, Round: n.heartbeatRound - 1}
	if confirmed(n.Step(Receive{Message: stale})) {
		t.Error("read confirmed by a heartbeat round that began before it")
	}
	fresh := &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: n.term, LogIndex: 2, Round: n.heartbeatRound}
	if !confirmed(n.Step(Receive{Message: fresh})) {
		t.Error("read not confirmed after a quorum answered the heartbeat round")
	}
}

// A vote is persisted before the reply that grants it is sent. Otherwise a
// replica that crashes in between could vote twice in the same term.
func TestVoteIsPersistedBeforeReply(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3), 3)
	effects := n.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: 2, To: 1, Term: 4, LogIndex: 9, LogTerm: 3,
	}})
	var persistedVote uint64
	for _, e := range effects {
		if p, ok := e.(Persist); ok {
			persistedVote = p.Hard.Vote
		}
	}
	if got, want := persistedVote, uint64(2); got != want {
		t.Fatalf("persisted vote %d, want %d", got, want)
	}
	restarted := newNodeWithLog(1, voters(1, 2, 3), 4)
	restarted.votedFor = persistedVote
	for _, e := range restarted.Step(Receive{Message: &statepb.Message{
		Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 1, Term: 4, LogIndex: 9, LogTerm: 3,
	}}) {
		if s, ok := e.(Send); ok && !s.Message.Reject {
			t.Error("granted a second vote in the same term")
		}
	}
}

// A learner is promoted even if every tick brings a read. Each read begins a
// heartbeat round, which must not delay the promotion.
func TestReadsDoNotStarvePromotion(t *testing.T) {
	v := voters(1, 2)
	v.Learners, v.Names[7] = []uint64{7}, "c"
	n := newNodeWithLog(1, v, 3)
	n.cfg.HeartbeatTicks = 2
	elect(n, 2)
	ackAppend(n, 2, 2)
	ackAppend(n, 7, 2)
	for i := range uint64(5) {
		n.Step(ReadIndex{ID: i + 1})
		ackAppend(n, 2, 2)
		ackAppend(n, 7, 2)
		n.Step(Tick{})
	}
	if got, want := len(n.State().Voters.Voters), 3; got != want {
		t.Errorf("%d voters, want %d", got, want)
	}
}

// The leader removes an unresponsive voter only while there are more voters
// than the target; target 0 disables the removal.
func TestUnresponsiveSurplusVoterIsRemoved(t *testing.T) {
	for _, tt := range []struct {
		target int
		want   int
	}{{3, 3}, {0, 4}, {5, 4}} {
		voters := &statepb.Voters{Voters: []uint64{1, 2, 3, 4}, Names: map[uint64]string{1: "a", 2: "b", 3: "c", 4: "d"}}
		n := New(Config{ID: 1, Name: "a", ElectionTicks: 10, HeartbeatTicks: 2, TargetVoters: tt.target, VoterRemovalTicks: 30, Jitter: func(int) int { return 0 }},
			InitialState{Hard: &statepb.HardState{Term: 1}, Snapshot: &statepb.Snapshot{Index: 1, Term: 1, Voters: voters}})
		deliverReplies := func(effects []Effect) {
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
			deliverReplies(n.Step(Tick{}))
		}
		if got := n.State().Role; got != Leader {
			t.Fatalf("target %d: role %s, want leader", tt.target, got)
		}
		if got := len(n.State().Voters.GetVoters()); got != tt.want {
			t.Errorf("target %d: %d voters, want %d", tt.target, got, tt.want)
		}
	}
}

// The first election after a start comes after the shorter startup timeout, and
// a voter that hears from a leader rejects its pre-vote.
func TestStartupElectionIsEarly(t *testing.T) {
	voters := &statepb.Voters{Voters: []uint64{1, 2, 3}}
	started := func(id uint64) *Node {
		return New(Config{ID: id, ElectionTicks: 10, StartupElectionTicks: 2, HeartbeatTicks: 1},
			InitialState{Hard: &statepb.HardState{Term: 3}, Snapshot: &statepb.Snapshot{Index: 1, Term: 3, Voters: voters}})
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
	requests := preVotes(started(1), 2)
	if got, want := len(requests), 2; got != want {
		t.Fatalf("%d pre-vote requests after 2 ticks, want %d", got, want)
	}
	other := started(2)
	other.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND, From: 3, To: 2, Term: 3, LogIndex: 1, LogTerm: 3}})
	for _, e := range other.Step(Receive{Message: requests[0]}) {
		if s, ok := e.(Send); ok && !s.Message.Reject {
			t.Errorf("a voter that hears from a leader grants the pre-vote: %v", s.Message)
		}
	}
	if got := len(preVotes(other, 9)); got != 0 {
		t.Errorf("a voter that heard from a leader sends %d pre-vote requests within 9 ticks, want none", got)
	}
}

func TestUnacknowledgedAppendsGrowWithoutBound(t *testing.T) {
	const entries, entryBytes, limit = 40, 100 << 10, 512 << 10
	n := newNodeWithLog(1, voters(1, 2, 3), 3)
	elect(n, 2)
	ackAppend(n, 2, n.lastIndex())
	sent := 0
	for range entries {
		command := &statepb.Command{Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Text: make([]byte, entryBytes)}}}
		for _, e := range n.Step(Propose{Commands: []*statepb.Command{command}}) {
			if s, ok := e.(Send); ok && s.Message.To == 2 {
				sent += proto.Size(s.Message)
			}
		}
	}
	if sent > limit {
		t.Errorf("%d bytes were sent to a peer that has acknowledged none of them, want at most %d", sent, limit)
	}
}
