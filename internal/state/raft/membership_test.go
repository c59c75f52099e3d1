package raft

import (
	"slices"
	"testing"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// newGroupLeader returns the leader 1 of the voters 1 to 3 with the learner 4, which
// aims for three voters.
func newGroupLeader() *Node {
	v := voters(1, 2, 3)
	v.Learners, v.Names[4] = []uint64{4}, "d"
	n := newNodeWithLog(1, v, 3)
	n.cfg.TargetVoters, n.cfg.VoterRemovalTicks = 3, 9
	elect(n, 2)
	ackAll(n, 2, 3, 4)
	return n
}

// ackAll acknowledges the whole log from peers.
func ackAll(n *Node, from ...uint64) {
	for _, id := range from {
		ackAppend(n, id, n.lastIndex())
	}
}

// configurations lets the group run while only the given peers answer, and returns each
// set of voters that it had.
func configurations(n *Node, ticks int, in Input, alive ...uint64) [][]uint64 {
	out := [][]uint64{n.State().Voters.Voters}
	for range ticks {
		if in != nil {
			n.Step(in)
		}
		n.Step(Tick{})
		if now := n.State().Voters.Voters; !slices.Equal(now, out[len(out)-1]) {
			out = append(out, now)
		}
		ackAll(n, alive...)
	}
	return out
}

// A lost voter must be replaced without a larger group in between: it would need one
// live voter more, and the next loss would leave no leader for good.
func TestLostVoterIsReplacedWithoutLargerGroup(t *testing.T) {
	got := configurations(newGroupLeader(), 20, nil, 2, 4)
	want := [][]uint64{{1, 2, 3}, {1, 2}, {1, 2, 4}}
	if !slices.EqualFunc(got, want, slices.Equal[[]uint64]) {
		t.Errorf("voters %v, want %v", got, want)
	}
}

// Without a learner that is ready, a silent voter stays: a smaller group gains nothing,
// and the voter may be back.
func TestSilentVoterStaysWithoutReplacement(t *testing.T) {
	got := configurations(newGroupLeader(), 20, nil, 2)
	if want := [][]uint64{{1, 2, 3}}; !slices.EqualFunc(got, want, slices.Equal[[]uint64]) {
		t.Errorf("voters %v, want %v", got, want)
	}
}

// A voter that leaves stays until its replacement votes. Otherwise a loss in between
// would leave too few voters.
func TestLeavingVoterStaysUntilReplaced(t *testing.T) {
	n := newGroupLeader()
	got := configurations(n, 6, Leave{ID: 3}, 2, 3, 4)
	want := [][]uint64{{1, 2, 3, 4}, {1, 2, 4}}
	if !slices.EqualFunc(got[len(got)-2:], want, slices.Equal[[]uint64]) {
		t.Errorf("voters %v, want to end with %v", got, want)
	}
	if _, member := n.State().Voters.Names[3]; member {
		t.Error("the voter that left is still a member")
	}
}

// A voter that leaves does not make the group larger while another voter is silent: the
// larger group would need all others.
func TestLeavingVoterWaitsForSilentVoter(t *testing.T) {
	n := newGroupLeader()
	configurations(n, n.cfg.ElectionTicks, nil, 3, 4)
	for _, c := range configurations(n, 20, Leave{ID: 3}, 3, 4) {
		if got, want := len(c), 3; got > want {
			t.Errorf("voters %v while one is silent, want at most %d", c, want)
		}
	}
}

// A request to leave that is not repeated expires. An instance that has started again
// must not be removed.
func TestRequestToLeaveExpires(t *testing.T) {
	n := newGroupLeader()
	n.Step(Leave{ID: 4})
	if _, member := n.State().Voters.Names[4]; member {
		t.Fatal("a learner that leaves is still a member")
	}
	n = newGroupLeader()
	n.votersIndex = n.commitIndex + 1 // Another change is in progress.
	n.Step(Leave{ID: 4})
	for range n.cfg.ElectionTicks + 1 {
		n.Step(Tick{})
		ackAll(n, 2, 3, 4)
	}
	n.votersIndex = 1
	n.Step(Tick{})
	if _, member := n.State().Voters.Names[4]; !member {
		t.Error("a learner was removed by a request to leave that had expired")
	}
}

// A replica that was removed must not end the term of an active leader, even if a late
// message tells it to take over.
func TestForcedVoteOfRemovedReplicaIsIgnored(t *testing.T) {
	n := newNodeWithLog(2, voters(1, 2, 3), 3)
	n.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 3, LogIndex: 1, LogTerm: 1}})
	forced := func(from uint64) uint64 {
		n.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: from, To: 2, Term: 4, LogIndex: 9, LogTerm: 3, Forced: true}})
		return n.State().Term
	}
	if got, want := forced(9), uint64(3); got != want {
		t.Errorf("term %d after a forced vote request of a removed replica, want %d", got, want)
	}
	if got, want := forced(3), uint64(4); got != want {
		t.Errorf("term %d after a forced vote request of a voter, want %d", got, want)
	}
}

// A replica that knows no leader asks to join, although it is a voter by its own log:
// nobody tells a removed replica of its removal.
func TestVoterWithoutLeaderAsksToJoin(t *testing.T) {
	n := newNodeWithLog(3, voters(1, 2, 3), 3)
	n.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 3, Term: 3, LogIndex: 1, LogTerm: 1}})
	if got, want := n.State().WantsToJoin(), false; got != want {
		t.Errorf("a voter that hears from its leader wants to join: %v, want %v", got, want)
	}
	for range 4 {
		n.Step(Tick{})
	}
	if got, want := n.State().WantsToJoin(), true; got != want {
		t.Errorf("a voter whose leader is silent wants to join: %v, want %v", got, want)
	}
}

// More live voters than the target are reduced, one at a time. Each further voter makes
// the quorum larger.
func TestSurplusVotersBecomeLearners(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3, 4, 5), 3)
	n.cfg.TargetVoters, n.cfg.VoterRemovalTicks = 3, 9
	elect(n, 2, 3)
	ackAll(n, 2, 3, 4, 5)
	sizes := []int{}
	for _, c := range configurations(n, 6, nil, 2, 3, 4, 5) {
		sizes = append(sizes, len(c))
	}
	if got, want := sizes, []int{5, 4, 3}; !slices.Equal(got, want) {
		t.Errorf("sizes of the group %v, want %v", got, want)
	}
	if got, want := len(n.State().Voters.Learners), 2; got != want {
		t.Errorf("%d learners, want %d", got, want)
	}
}
