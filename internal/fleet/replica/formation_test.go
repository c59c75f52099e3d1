package replica

import (
	"context"
	"os"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Guards against a fleet that never has a leader because one of three instances with a disk is
// lost at the first start (review/9), and a new one that takes its place and does not vote.
func TestFirstStartWithoutOneSeed(t *testing.T) {
	for lost := range 3 {
		g := stoppedGroup(t, 3, 3)
		for i, m := range g.replicas {
			if i != lost {
				g.startUnlisted(m, true)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		g.adopt(ctx, 7)
		g.replicas[lost] = &testReplica{name: freeAddress(t), dir: t.TempDir()}
		g.replicas[lost].address = g.replicas[lost].name
		g.startUnlisted(g.replicas[lost], false)
		g.waitForVoters(3)
	}
}

// Guards against an acknowledgement by fewer voters than bear the losses: the first document of
// five instances, three of them seeds, must survive the loss of two disks right after it
// (review/11).
func TestFirstCommandSurvivesLossOfTwoDisks(t *testing.T) {
	g := stoppedGroup(t, 5, 3)
	for _, m := range g.replicas {
		g.startUnlisted(m, true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	leader := g.adopt(ctx, 7)
	lost := []*testReplica{leader, g.replicas[0]}
	if leader == lost[1] {
		lost[1] = g.replicas[1]
	}
	for _, m := range lost {
		m.stop()
		if err := os.RemoveAll(m.dir); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range lost {
		g.startUnlisted(m, false)
	}
	var version uint64
	g.waitFor("a linearizable read", func() bool {
		read, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		for _, m := range g.replicas {
			if m.replica.Read(read, func(m *fsm.Machine) { version = m.SiteDocument().GetVersion() }) == nil {
				return true
			}
		}
		return false
	})
	if got, want := version, uint64(7); got != want {
		t.Errorf("site document version %d, want %d", got, want)
	}
}

// stoppedGroup returns replicas like newUnlistedGroup and starts none.
func stoppedGroup(t *testing.T, size, seeds int) *group {
	t.Helper()
	g := &group{t: t}
	g.addUnlisted(size, seeds)
	t.Cleanup(g.close)
	return g
}

// adopt proposes a site document until it is committed, and returns the leader that has
// committed it.
func (g *group) adopt(ctx context.Context, version uint64) *testReplica {
	g.t.Helper()
	var leader *testReplica
	g.waitFor("a commit", func() bool {
		for _, m := range g.replicas {
			if m.replica == nil {
				continue
			}
			if _, err := m.replica.Propose(ctx, adoptCommand(version)); err == nil {
				leader = m
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against an instance that takes part in a new log although it has lost its folder, or
// that votes twice under an identity that it had: only a first start gives an identity that
// follows from the name, and only to the peers.
func TestIdentityFollowsFromNameAtFirstStartAlone(t *testing.T) {
	g := stoppedGroup(t, 4, 3)
	seed, other := g.replicas[0].name, g.replicas[3].name
	for _, tt := range []struct {
		name      string
		formation Formation
		want      bool
	}{
		{seed, FormAtFirstStart{}, true},
		{seed, JoinOnly{}, false},
		{seed, FormWhenAllEmpty{}, false},
		{seed, nil, false},
		{other, FormAtFirstStart{}, false},
	} {
		cfg := Config{Name: tt.name, Peers: g.peers, Formation: tt.formation}
		if got := cfg.newIdentity() == firstIdentity(tt.name); got != tt.want {
			t.Errorf("%s with %T has the identity of its name: %v, want %v", tt.name, tt.formation, got, tt.want)
		}
	}
}

// Guards against relays that become voters, against a log that is begun beside another one, and
// against one of two instances that does not begin it.
func TestFirstVoters(t *testing.T) {
	const self, b, c = "10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"
	empty := func(name string) *fleetpb.HelloReply {
		return &fleetpb.HelloReply{Name: name, Identity: uint64(name[len(name)-3]), Empty: true}
	}
	relay := func(name string) *fleetpb.HelloReply { return &fleetpb.HelloReply{Name: name} }
	hasLog := &fleetpb.HelloReply{Name: b, Identity: 9}
	for _, tt := range []struct {
		name   string
		b, c   *fleetpb.HelloReply
		waited bool
		// first and all are the voters at a first start and of peers that are all empty.
		first, all int
	}{
		{"both empty", empty(b), empty(c), false, 3, 3},
		{"one silent", empty(b), nil, false, 0, 0},
		{"one silent for long", empty(b), nil, true, 3, 0},
		{"both silent for long", nil, nil, true, 3, 0},
		{"a relay", relay(b), empty(c), false, 2, 2},
		{"two relays", relay(b), relay(c), false, 1, 1},
		{"a relay and one silent for long", relay(b), nil, true, 2, 0},
		{"one has a log", hasLog, empty(c), true, 0, 0},
		{"another instance answers", empty(c), empty(c), true, 0, 0},
	} {
		peers := []peerState{{name: self, kind: emptyPeer, identity: 5}, peerStateOf(b, tt.b), peerStateOf(c, tt.c)}
		s := Status{}
		s.ID = 5
		r := &Replica{cfg: Config{Name: self, Formation: FormAtFirstStart{}}, started: time.Now()}
		if tt.waited {
			r.started = time.Now().Add(-relayWait)
		}
		if got := len(r.firstVoters(s, peers)); got != tt.first {
			t.Errorf("%s, first start: %d voters, want %d", tt.name, got, tt.first)
		}
		r.cfg.Formation = FormWhenAllEmpty{}
		if got := len(r.firstVoters(s, peers)); got != tt.all {
			t.Errorf("%s, all empty: %d voters, want %d", tt.name, got, tt.all)
		}
		r.cfg.Formation = JoinOnly{}
		if got := r.firstVoters(s, peers); got != nil {
			t.Errorf("%s, join only: voters %v, want none", tt.name, got)
		}
	}
	higher := &Replica{cfg: Config{Name: c}}
	if got := higher.firstVoters(Status{}, []peerState{peerStateOf(b, empty(b))}); got != nil {
		t.Errorf("an instance that does not have the lowest name forms %v", got)
	}
}
