package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/state/disk"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

var fleetKey = []byte("a fleet key for the tests")

// waitTimeout bounds each wait for an event.
const waitTimeout = 20 * time.Second

const initialDocument = `[teams.all]
key_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
sections = ["routing"]

[routing]
candidates = 2
`

// testReplica is one replica with its link server, its pool and its disk.
type testReplica struct {
	name    string
	dir     string
	address string
	pool    *link.Pool
	server  *link.Server
	replica *Replica
	system  *actor.ActorSystem
	// diskFull makes all writes fail with ENOSPC.
	diskFull  atomic.Bool
	openFiles atomic.Int64
}

// group is a group of replicas in one process that communicate over loopback.
type group struct {
	t        testing.TB
	peers    []control.Address
	replicas []*testReplica
}

func newGroup(t testing.TB) *group {
	t.Helper()
	g := &group{t: t}
	root := t.TempDir()
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprintf("c%d", i+1)
		g.replicas = append(g.replicas, &testReplica{name: name, dir: filepath.Join(root, name), address: ln.Addr().String()})
		g.peers = append(g.peers, control.Address{Name: name, Link: ln.Addr().String()})
		ln.Close()
	}
	for _, m := range g.replicas {
		g.start(m)
	}
	t.Cleanup(g.close)
	return g
}

func (g *group) start(m *testReplica) {
	g.t.Helper()
	g.startWith(m, Config{})
}

// startWith starts a replica with cfg, completed by the settings that all
// replicas share.
func (g *group) startWith(m *testReplica, cfg Config) {
	g.t.Helper()
	folder, err := disk.DirFS(m.dir)
	if err != nil {
		g.t.Fatal(err)
	}
	cfg.FS = fillableFS{folder, &m.diskFull, &m.openFiles}
	auth := link.Auth{Key: fleetKey}
	local := link.Local{Name: m.name}
	m.pool = link.NewPool(link.PoolConfig{Local: local, Auth: auth})
	m.system = actor.NewActorSystem()
	cfg.Name, cfg.DataDir, cfg.InitialDocument, cfg.Peers = m.name, m.dir, initialDocument, g.peers
	cfg.Tick, cfg.SnapshotEntries = 10*time.Millisecond, 200
	cfg.Pool, cfg.System = m.pool, m.system
	cfg.Timeline, cfg.Log = timeline.NewRecorder(timeline.Config{Process: m.name}), zap.NewNop()
	cfg.Fatal = func(err error) { g.t.Errorf("%s: %v", m.name, err) }
	r, err := Start(cfg)
	if err != nil {
		g.t.Fatal(err)
	}
	m.replica = r
	m.server, err = link.Listen(link.ServerConfig{Address: m.address, Local: local, Auth: auth, Handle: r.Serve})
	if err != nil {
		g.t.Fatal(err)
	}
}

func (m *testReplica) stop() {
	if m.replica == nil {
		return
	}
	_ = m.server.Close()
	_ = m.replica.Close()
	_ = m.pool.Close()
	m.system.Shutdown()
	m.replica = nil
}

func (g *group) close() {
	for _, m := range g.replicas {
		m.stop()
	}
}

// waitFor fails the test unless ok returns true within waitTimeout.
func (g *group) waitFor(what string, ok func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (g *group) leader() *testReplica {
	g.t.Helper()
	var found *testReplica
	g.waitFor("a leader", func() bool {
		for _, m := range g.replicas {
			if m.replica != nil && m.replica.Status().Role == raft.Leader {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) follower() *testReplica {
	leader := g.leader()
	for _, m := range g.replicas {
		if m != leader && m.replica != nil {
			return m
		}
	}
	g.t.Fatal("no follower")
	return nil
}

// client returns a client with a pool of its own.
func (g *group) client() *control.Client {
	p := link.NewPool(link.PoolConfig{Local: link.Local{Name: "client"}, Auth: link.Auth{Key: fleetKey}})
	g.t.Cleanup(func() { _ = p.Close() })
	return control.NewClient(control.ClientConfig{Pool: p, Peers: g.peers})
}

func claimCommand(key, owner string) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "x", Key: key, Owner: owner, Target: &statepb.Target{Agent: "a", Incarnation: 1},
	}}}
}

func (g *group) mustClaim(c *control.Client, n int) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
	if _, err := c.Propose(ctx, claimCommand(key, "e/1")); err != nil {
		g.t.Fatal(err)
	}
}

// isVoter reports whether the replica is one of three voters.
func (m *testReplica) isVoter() bool {
	v := m.replica.Status()
	for _, id := range v.Voters.GetVoters() {
		if id == v.ID {
			return len(v.Voters.GetVoters()) == 3
		}
	}
	return false
}

// An instance that lost its data folder returns with a new identity, catches up
// and becomes a voter again, after which the group tolerates the loss of
// another disk.
func TestDisksLostOneAfterAnother(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	for n := range 30 {
		g.mustClaim(c, n)
	}
	for range 2 {
		lost := g.leader()
		oldID := lost.replica.Status().ID
		lost.stop()
		if err := os.RemoveAll(lost.dir); err != nil {
			t.Fatal(err)
		}
		g.start(lost)
		g.waitFor(lost.name+" to be a voter again", lost.isVoter)
		if got := lost.replica.Status().ID; got == oldID {
			t.Errorf("%s kept its disk identity after losing its disk", lost.name)
		}
		for n := range 5 {
			g.mustClaim(c, 100+n)
		}
	}
	var claims int
	g.waitFor("a linearizable read", func() bool {
		return g.leader().replica.Read(context.Background(), func(m *fsm.Machine) { claims = m.ClaimCount() }) == nil
	})
	if got, want := claims, 40; got != want {
		t.Errorf("%d claims after two lost disks, want %d", got, want)
	}
}

// A replica that was down past a log compaction catches up from a snapshot.
func TestRestartedReplicaCatchesUpFromSnapshot(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	restarted := g.follower()
	restarted.stop()
	for n := range 500 {
		g.mustClaim(c, n+1)
	}
	g.start(restarted)
	g.waitFor("the restarted replica to catch up", func() bool { return restarted.replica.Status().ClaimCount == 501 })
}

// claimInput is the input of a claim operation.
type claimInput struct{ key, owner string }

// claimModel is a set of keys, each owned by its first claimant.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(claimInput).key
			byKey[k] = append(byKey[k], o)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		owner := state.(string)
		if owner == "" {
			owner = input.(claimInput).owner
		}
		return output.(string) == owner, owner
	},
}

// Concurrent claims of the same keys are linearizable while leaders are
// restarted: all callers see the same first claimant of a key.
func TestClaimsAreLinearizable(t *testing.T) {
	g := newGroup(t)
	g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	startMs := time.Now().UnixMilli()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for caller := range 6 {
		c := g.client()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 40 {
				in := claimInput{key: fmt.Sprintf("%d-%d", startMs, n), owner: fmt.Sprintf("e%d/1", caller)}
				callNs := time.Now().UnixNano()
				r, err := c.Propose(ctx, claimCommand(in.key, in.owner))
				if err != nil {
					t.Errorf("claim: %v", err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: caller, Input: in, Call: callNs, Output: r.Claim.Owner, Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		}()
	}
	for range 2 {
		m := g.leader()
		m.stop()
		g.start(m)
		g.waitFor("the restarted replica to know a leader", func() bool { return m.replica.Status().Leader != 0 })
	}
	wg.Wait()
	if got, want := porcupine.CheckOperations(claimModel, history), true; got != want {
		t.Errorf("linearizable %v, want %v, over %d claims", got, want, len(history))
	}
}

// A leader without a quorum neither commits proposals nor answers reads, and
// steps down.
func TestIsolatedLeaderRejectsProposalsAndReads(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	isolated := g.leader()
	for _, m := range g.replicas {
		if m != isolated {
			m.stop()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if r, err := isolated.replica.Propose(ctx, claimCommand(fmt.Sprintf("%d-z", time.Now().UnixMilli()), "e/1")); err == nil {
		t.Errorf("an isolated leader committed: %v", r)
	}
	err := isolated.replica.Read(ctx, func(*fsm.Machine) { t.Error("an isolated leader answered a read") })
	if err == nil {
		t.Error("an isolated leader confirmed a read")
	}
	g.waitFor("the isolated leader to step down", func() bool { return isolated.replica.Status().Role != raft.Leader })
	var notLeader *NotLeaderError
	if _, err := isolated.replica.Propose(context.Background(), claimCommand("1-1", "e/1")); !errors.As(err, &notLeader) {
		t.Errorf("proposal after stepping down: %v, want a NotLeaderError", err)
	}
}

// Messages are sent over a new stream after the peer has closed the first one,
// as a peer that is still starting does.
func TestSenderReopensStreamClosedByPeer(t *testing.T) {
	var streams atomic.Int64
	got := make(chan *statepb.Message, 1024)
	server, err := link.Listen(link.ServerConfig{
		Address: "127.0.0.1:0", Local: link.Local{Name: "c2"}, Auth: link.Auth{Key: fleetKey},
		Handle: func(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
			if streams.Add(1) == 1 {
				return
			}
			for e := first; ; {
				got <- e.GetReplica()
				next, err := st.Recv()
				if err != nil {
					return
				}
				e = next
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	pool := link.NewPool(link.PoolConfig{Local: link.Local{Name: "c1"}, Auth: link.Auth{Key: fleetKey}})
	s := newSenders(Config{Name: "c1", Pool: pool, Peers: []control.Address{{Name: "c1"}, {Name: "c2", Link: server.Address()}}})
	defer func() {
		s.close()
		_ = pool.Close()
		_ = server.Close()
	}()
	deadline := time.After(5 * time.Second)
	for {
		s.send("c2", &statepb.Message{To: 2})
		select {
		case <-got:
			return
		case <-deadline:
			t.Fatal("no message arrived after the peer closed the first stream")
		case <-time.After(5 * time.Millisecond):
		}
	}
}
