package replica

import (
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// newStandbyGroup returns three voters and one learner that stands by.
func newStandbyGroup(t *testing.T) *group {
	t.Helper()
	g := newUnlistedGroup(t, 3, 3)
	g.waitForVoters(3)
	address := freeAddress(t)
	standby := &testReplica{name: address, address: address, dir: filepath.Join(t.TempDir(), "standby")}
	g.replicas = append(g.replicas, standby)
	g.startOfThree(standby)
	g.waitFor("the fourth instance to be a learner", standby.isLearner)
	return g
}

// startOfThree starts an instance that aims for three voters.
func (g *group) startOfThree(m *testReplica) {
	g.startWith(m, Config{AcceptUnlisted: true, Formation: JoinOnly{}, TargetVoters: 3, Discovered: g.addresses})
}

func (m *testReplica) isLearner() bool {
	s := m.replica.Status()
	return slices.Contains(s.Voters.GetLearners(), s.ID) && s.Leader != 0
}

// An instance that stops as planned is replaced before it stops, the leader too. If it
// stayed a voter, the next loss would leave two of four or one of three.
func TestStoppingReplicaIsReplacedFirst(t *testing.T) {
	for _, role := range []string{"leader", "follower"} {
		t.Run(role, func(t *testing.T) {
			g := newStandbyGroup(t)
			c := g.client()
			g.mustClaim(c, 0)
			leaving := g.leader()
			if role == "follower" {
				leaving = g.replicas[slices.IndexFunc(g.replicas, func(m *testReplica) bool { return m != leaving && m.voterCount() > 0 })]
			}
			id := leaving.replica.Status().ID
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			leaving.replica.TransferLeadership(ctx)
			leaving.replica.Leave(ctx)
			leaving.stop()
			s := g.leader().replica.Status()
			if s.IsVoter(id) || len(s.Voters.Voters) != 3 {
				t.Errorf("voters %v after %d has stopped, want three others", s.Voters.Voters, id)
			}
			g.mustClaim(c, 1)
		})
	}
}

// Three new instances start, and the three old ones stop one after another. If the old
// ones remained voters, the new ones, which hold all data, would have no leader for good.
func TestAllReplicasReplacedOneAfterAnother(t *testing.T) {
	g := newUnlistedGroup(t, 3, 3)
	g.waitForVoters(3)
	g.mustClaim(g.client(), 0)
	old := g.replicas
	for range 3 {
		address := freeAddress(t)
		m := &testReplica{name: address, address: address, dir: filepath.Join(t.TempDir(), "new")}
		g.replicas = append(g.replicas, m)
		g.startOfThree(m)
		g.waitFor("a new instance to be a learner", m.isLearner)
	}
	for _, m := range old {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		m.replica.TransferLeadership(ctx)
		m.replica.Leave(ctx)
		cancel()
		m.stop()
	}
	g.replicas = g.replicas[len(old):]
	g.waitForVoters(3)
	var claims int
	g.waitFor("a linearizable read", func() bool {
		return g.leader().replica.Read(context.Background(), func(m *fsm.Machine) { claims = m.ClaimCount() }) == nil
	})
	if got, want := claims, 1; got != want {
		t.Errorf("%d claims after all instances were replaced, want %d", got, want)
	}
}

// A stop does not wait for a replacement if nobody can replace the instance, which then
// remains a voter.
func TestLeaveEndsWithoutSuccessor(t *testing.T) {
	g := newUnlistedGroup(t, 3, 3)
	g.waitForVoters(3)
	leaving := g.follower()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	start := time.Now()
	leaving.replica.Leave(ctx)
	if took, limit := time.Since(start), waitTimeout/2; took > limit {
		t.Errorf("the instance waited %v for a replacement that cannot come, want less than %v", took, limit)
	}
	if got, want := leaving.voterCount(), 3; got != want {
		t.Errorf("%d voters, want %d", got, want)
	}
}

// An instance that was removed while it was away, and is a voter by its own log, comes
// back by itself.
func TestRemovedReplicaComesBack(t *testing.T) {
	g := newStandbyGroup(t)
	away := g.follower()
	id := away.replica.Status().ID
	away.stop()
	g.waitFor("the instance to be removed", func() bool {
		_, member := g.leader().replica.Status().Voters.GetNames()[id]
		return !member
	})
	g.startOfThree(away)
	g.waitFor("the removed instance to be a learner", away.isLearner)
	if got, want := away.replica.Status().ID, id; got != want {
		t.Errorf("identity %d, want %d", got, want)
	}
}

// An instance that leaves asks all members if it does not know the leader: one that was
// removed while the leader changed would otherwise wait for the whole time.
func TestLeavingReplicaAsksAllMembers(t *testing.T) {
	names := map[uint64]string{1: "a", 2: "b", 3: "c"}
	r := &Replica{cfg: Config{Name: "a", AcceptUnlisted: true}}
	for leader, want := range map[string][]string{"": {"b", "c"}, "c": {"c", "b"}} {
		s := Status{State: raft.State{Voters: &statepb.Voters{Names: names}}, LeaderName: leader}
		if got := r.leaveAddresses(s); !slices.Equal(got, want) {
			t.Errorf("with the leader %q it asks %v, want %v", leader, got, want)
		}
	}
}
