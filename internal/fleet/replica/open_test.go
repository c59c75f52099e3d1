package replica

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// newOpenGroup starts replicas that are called by their addresses, of which
// the first ones and the relays are seeds.
func newOpenGroup(t *testing.T, members, seeds int, relays ...string) *group {
	t.Helper()
	g := &group{t: t}
	root := t.TempDir()
	for i := range members {
		address := freeAddress(t)
		g.members = append(g.members, &member{name: address, dir: filepath.Join(root, address), address: address})
		if i < seeds {
			g.peers = append(g.peers, control.Address{Name: address, Link: address})
		}
	}
	for _, r := range relays {
		g.peers = append(g.peers, control.Address{Name: r, Link: r})
	}
	for _, m := range g.members {
		g.startOpen(m, true)
	}
	t.Cleanup(g.close)
	return g
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (g *group) startOpen(m *member, first bool) {
	g.t.Helper()
	g.run(m, Config{Open: true, Joins: !first, Voters: len(g.members), Found: g.addresses})
}

// addresses returns where all members are, as News tell it.
func (g *group) addresses() []string {
	var out []string
	for _, m := range g.members {
		out = append(out, m.address)
	}
	return out
}

// voters returns the number of voters that a replica knows, 0 where it is none
// of them.
func (m *member) voters() int {
	v := m.replica.View()
	if !slices.Contains(v.Voters.GetVoters(), v.ID) {
		return 0
	}
	return len(v.Voters.GetVoters())
}

func (g *group) awaitVoters(n int) {
	g.t.Helper()
	g.await("all vote", func() bool {
		for _, m := range g.members {
			if m.voters() != n {
				return false
			}
		}
		return true
	})
}

// startRelay answers introductions as an instance without a disk does.
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

// An instance without a disk among the seeds does not hold up the forming of
// the fleet, and the seeds with a disk form it alone.
func TestFleetFormsBesideRelays(t *testing.T) {
	relay := freeAddress(t)
	startRelay(t, relay)
	g := newOpenGroup(t, 3, 2, relay)
	g.awaitVoters(3)
}

func adopt(version uint64) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Adopt{Adopt: &statepb.Adopt{Version: version, Text: []byte("text")}}}
}

// Five instances, three of them seeds, bear the loss of two disks while the
// others lose power right after a document was accepted.
func TestTwoLostDisksOfFiveAreSurvived(t *testing.T) {
	g := newOpenGroup(t, 5, 3)
	g.awaitVoters(5)
	leader := g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if _, err := leader.replica.Propose(ctx, adopt(7)); err != nil {
		t.Fatalf("adopt: %v", err)
	}
	wiped := []*member{leader, g.follower()}
	for _, m := range g.members {
		m.stop()
	}
	for _, m := range wiped {
		if err := os.RemoveAll(m.dir); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range g.members {
		g.startOpen(m, false)
	}
	g.awaitVoters(5)
	var version uint64
	g.await("a confirmed read", func() bool {
		return g.leader().replica.Read(ctx, func(m *fsm.Machine) { version = m.SiteDocument().GetVersion() }) == nil
	})
	if got, want := version, uint64(7); got != want {
		t.Errorf("version %d after the loss, want %d", got, want)
	}
}
