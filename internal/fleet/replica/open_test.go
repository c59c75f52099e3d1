package replica

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// newUnlistedGroup starts replicas that are named by their addresses. Only the
// first ones, as many as seeds, and the relays are listed as peers.
func newUnlistedGroup(t *testing.T, size, seeds int, relays ...string) *group {
	t.Helper()
	g := &group{t: t}
	g.addUnlisted(size, seeds)
	for _, r := range relays {
		g.peers = append(g.peers, control.Address{Name: r, Link: r})
	}
	for _, m := range g.replicas {
		g.startUnlisted(m, true)
	}
	t.Cleanup(g.close)
	return g
}

// addUnlisted adds replicas that are named by their addresses, the first ones as peers.
func (g *group) addUnlisted(size, seeds int) {
	g.t.Helper()
	root := g.t.TempDir()
	for i := range size {
		address := freeAddress(g.t)
		g.replicas = append(g.replicas, &testReplica{name: address, dir: filepath.Join(root, address), address: address})
		if i < seeds {
			g.peers = append(g.peers, control.Address{Name: address, Link: address})
		}
	}
}

func freeAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (g *group) startUnlisted(m *testReplica, mayBootstrap bool) {
	g.t.Helper()
	var formation Formation = JoinOnly{}
	if mayBootstrap {
		formation = FormAtFirstStart{}
	}
	g.startWith(m, Config{AcceptUnlisted: true, Formation: formation, TargetVoters: len(g.replicas), Discovered: g.addresses})
}

// addresses returns the addresses of all replicas. It stands in for discovery.
func (g *group) addresses() []string {
	var out []string
	for _, m := range g.replicas {
		out = append(out, m.address)
	}
	return out
}

// voterCount returns the number of voters that the replica knows, or 0 if it is
// not a voter itself.
func (m *testReplica) voterCount() int {
	v := m.replica.Status()
	if !slices.Contains(v.Voters.GetVoters(), v.ID) {
		return 0
	}
	return len(v.Voters.GetVoters())
}

func (g *group) waitForVoters(n int) {
	g.t.Helper()
	g.waitFor("all replicas to be voters", func() bool {
		for _, m := range g.replicas {
			if m.voterCount() != n {
				return false
			}
		}
		return true
	})
}

// startRelay answers hello messages like a relay, which has no disk identity.
func startRelay(t *testing.T, address string) {
	t.Helper()
	server, err := link.Listen(link.ServerConfig{
		Address: address, Local: link.Local{Name: address}, Auth: link.Auth{Key: fleetKey},
		Handle: func(_ context.Context, st *link.Stream, _ *fleetpb.Envelope) {
			_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_HelloReply{HelloReply: &fleetpb.HelloReply{Name: address}}})
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
}

// A relay among the seeds, which has no disk, must not block bootstrapping: the
// seeds with a disk bootstrap the fleet without it.
func TestBootstrapIgnoresRelaysAmongSeeds(t *testing.T) {
	relay := freeAddress(t)
	startRelay(t, relay)
	g := newUnlistedGroup(t, 3, 2, relay)
	g.waitForVoters(3)
}

func adoptCommand(version uint64) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Version: version, Text: []byte("text")}}}
}

// A site document committed just before all five instances stop survives the
// loss of two disks, one of them the leader's. Three instances are seeds.
func TestCommitSurvivesLossOfTwoDisksOfFive(t *testing.T) {
	g := newUnlistedGroup(t, 5, 3)
	g.waitForVoters(5)
	leader := g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, adoptCommand(7)); err != nil {
		t.Fatalf("adopt: %v", err)
	}
	wiped := []*testReplica{leader, g.follower()}
	for _, m := range g.replicas {
		m.stop()
	}
	for _, m := range wiped {
		if err := os.RemoveAll(m.dir); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range g.replicas {
		g.startUnlisted(m, false)
	}
	g.waitForVoters(5)
	var version uint64
	g.waitFor("a linearizable read", func() bool {
		return g.leader().replica.Read(ctx, func(m *fsm.Machine) { version = m.SiteDocument().GetVersion() }) == nil
	})
	if got, want := version, uint64(7); got != want {
		t.Errorf("site document version %d after the loss of two disks, want %d", got, want)
	}
}

func TestDocumentSentAgainIsAppendedAgain(t *testing.T) {
	g := newGroup(t)
	leader := g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	propose := func() {
		if _, err := leader.replica.Propose(ctx, adoptCommand(7)); err != nil {
			t.Errorf("adopt: %v", err)
		}
	}
	propose()
	before := leader.replica.Status().LastIndex
	for range 5 {
		propose()
	}
	if got, want := leader.replica.Status().LastIndex, before; got != want {
		t.Errorf("the log ends at %d after the same document was sent again, want %d", got, want)
	}
	next := adoptCommand(8)
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			if _, err := leader.replica.Propose(ctx, proto.Clone(next).(*statepb.Command)); err != nil {
				t.Errorf("adopt: %v", err)
			}
		})
	}
	wg.Wait()
	if got, want := leader.replica.Status().LastIndex, before+1; got != want {
		t.Errorf("the log ends at %d after one document was sent five times at once, want %d", got, want)
	}
}
