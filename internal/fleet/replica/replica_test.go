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
	"syscall"
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

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 20 * time.Second

const firstDocument = `[teams.all]
key_sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
sections = ["routing"]

[routing]
candidates = 2
`

// member is one replica with its links.
type member struct {
	name    string
	dir     string
	address string
	pool    *link.Pool
	server  *link.Server
	replica *Replica
	system  *actor.ActorSystem
	full    atomic.Bool
}

// limited is a data folder on a disk that can be full.
type limited struct {
	disk.FS
	full *atomic.Bool
}

type limitedFile struct {
	disk.File
	full *atomic.Bool
}

func (l limited) Create(name string) (disk.File, error) {
	f, err := l.FS.Create(name)
	return limitedFile{f, l.full}, err
}

func (l limited) Append(name string) (disk.File, error) {
	f, err := l.FS.Append(name)
	return limitedFile{f, l.full}, err
}

// Write refuses every byte while the disk is full.
func (f limitedFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(b)
}

// group is three replicas in one process, on loopback.
type group struct {
	t       testing.TB
	peers   []control.Address
	members []*member
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
		g.members = append(g.members, &member{name: name, dir: filepath.Join(root, name), address: ln.Addr().String()})
		g.peers = append(g.peers, control.Address{Name: name, Link: ln.Addr().String()})
		ln.Close()
	}
	for _, m := range g.members {
		g.start(m)
	}
	t.Cleanup(g.close)
	return g
}

func (g *group) start(m *member) {
	g.t.Helper()
	folder, err := disk.DirFS(m.dir)
	if err != nil {
		g.t.Fatal(err)
	}
	g.run(m, Config{Files: limited{folder, &m.full}})
}

// run starts a member with what cfg says beside what all have.
func (g *group) run(m *member, cfg Config) {
	g.t.Helper()
	auth := link.Auth{Key: fleetKey}
	local := link.Local{Name: m.name}
	m.pool = link.NewPool(link.PoolConfig{Local: local, Auth: auth})
	m.system = actor.NewActorSystem()
	cfg.Name, cfg.DataDir, cfg.Document, cfg.Peers = m.name, m.dir, firstDocument, g.peers
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

func (m *member) stop() {
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
	for _, m := range g.members {
		m.stop()
	}
}

// await waits until ok holds.
func (g *group) await(what string, ok func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			g.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (g *group) leader() *member {
	g.t.Helper()
	var found *member
	g.await("a leader", func() bool {
		for _, m := range g.members {
			if m.replica != nil && m.replica.View().Role == raft.Leader {
				found = m
				return true
			}
		}
		return false
	})
	return found
}

func (g *group) follower() *member {
	leader := g.leader()
	for _, m := range g.members {
		if m != leader && m.replica != nil {
			return m
		}
	}
	g.t.Fatal("no follower")
	return nil
}

// client returns a client of its own pool.
func (g *group) client() *control.Client {
	p := link.NewPool(link.PoolConfig{Local: link.Local{Name: "client"}, Auth: link.Auth{Key: fleetKey}})
	g.t.Cleanup(func() { _ = p.Close() })
	return control.NewClient(control.ClientConfig{Pool: p, Peers: g.peers})
}

func claim(key, owner string) *statepb.Command {
	return &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "x", Key: key, Owner: owner, Target: &statepb.Target{Agent: "a", Incarnation: 1},
	}}}
}

func (g *group) mustClaim(c *control.Client, n int) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	key := fmt.Sprintf("%d-%d", time.Now().UnixMilli(), n)
	if _, err := c.Propose(ctx, claim(key, "e/1")); err != nil {
		g.t.Fatal(err)
	}
}

func (m *member) isVoter() bool {
	v := m.replica.View()
	for _, id := range v.Voters.GetVoters() {
		if id == v.ID {
			return len(v.Voters.GetVoters()) == 3
		}
	}
	return false
}

// An instance that lost its folder returns under a new identity, catches up
// and votes again; then another disk may be lost.
func TestLostDiskIsRepairedAndASecondLossIsSurvived(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	for n := range 30 {
		g.mustClaim(c, n)
	}
	for range 2 {
		lost := g.leader()
		was := lost.replica.View().ID
		lost.stop()
		if err := os.RemoveAll(lost.dir); err != nil {
			t.Fatal(err)
		}
		g.start(lost)
		g.await(lost.name+" votes again", lost.isVoter)
		if got := lost.replica.View().ID; got == was {
			t.Errorf("%s has its former identity after its disk was lost", lost.name)
		}
		for n := range 5 {
			g.mustClaim(c, 100+n)
		}
	}
	var claims int
	g.await("a confirmed read", func() bool {
		return g.leader().replica.Read(context.Background(), func(m *fsm.Machine) { claims = m.ClaimCount() }) == nil
	})
	if got, want := claims, 40; got != want {
		t.Errorf("%d claims after two lost disks, want %d", got, want)
	}
}

func TestRestartedReplicaCatchesUpOverASnapshot(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	away := g.follower()
	away.stop()
	for n := range 500 {
		g.mustClaim(c, n+1)
	}
	g.start(away)
	g.await("caught up", func() bool { return away.replica.View().Claims == 501 })
}

// registerInput is a claim in a history: who asks for the key.
type registerInput struct{ key, owner string }

// registerModel is a set of keys that each belong to their first claimant.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(registerInput).key
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
			owner = input.(registerInput).owner
		}
		return output.(string) == owner, owner
	},
}

// Claims of the same keys from many callers, while leaders are stopped, have
// one order: the first claimant owns the key for all.
func TestClaimsAreLinearizable(t *testing.T) {
	g := newGroup(t)
	g.leader()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	made := time.Now().UnixMilli()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for caller := range 6 {
		c := g.client()
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 40 {
				in := registerInput{key: fmt.Sprintf("%d-%d", made, n), owner: fmt.Sprintf("e%d/1", caller)}
				began := time.Now().UnixNano()
				r, err := c.Propose(ctx, claim(in.key, in.owner))
				if err != nil {
					t.Errorf("claim: %v", err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: caller, Input: in, Call: began, Output: r.Claim.Owner, Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		}()
	}
	for range 2 {
		m := g.leader()
		m.stop()
		g.start(m)
		g.await("its return", func() bool { return m.replica.View().Leader != 0 })
	}
	wg.Wait()
	if got, want := porcupine.CheckOperations(registerModel, history), true; got != want {
		t.Errorf("linearizable %v, want %v, over %d claims", got, want, len(history))
	}
}

// A leader that is cut off neither commits nor answers queries, and its
// confirmation grows old.
func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	old := g.leader()
	for _, m := range g.members {
		if m != old {
			m.stop()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if r, err := old.replica.Propose(ctx, claim(fmt.Sprintf("%d-z", time.Now().UnixMilli()), "e/1")); err == nil {
		t.Errorf("an isolated leader committed: %v", r)
	}
	err := old.replica.Read(ctx, func(*fsm.Machine) { t.Error("an isolated leader answered a query") })
	if err == nil {
		t.Error("an isolated leader confirmed a read")
	}
	g.await("it steps down", func() bool { return old.replica.View().Role != raft.Leader })
	var notLeader *NotLeaderError
	if _, err := old.replica.Propose(context.Background(), claim("1-1", "e/1")); !errors.As(err, &notLeader) {
		t.Errorf("proposal after stepping down: %v, want a NotLeaderError", err)
	}
}

// A peer that closes a stream, as one does that is still starting, is sent to
// over a new one.
func TestMessagesGoOnAfterAPeerClosedTheStream(t *testing.T) {
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
		s.to("c2", &statepb.Message{To: 2})
		select {
		case <-got:
			return
		case <-deadline:
			t.Fatal("no message arrived after the peer had closed the first stream")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// A leader whose disk is full is replaced, does not end, and takes part again
// once there is room; nothing that was accepted is lost.
func TestFullDiskOfTheLeader(t *testing.T) {
	g := newGroup(t)
	c := g.client()
	g.mustClaim(c, 0)
	full := g.leader()
	full.full.Store(true)
	for n := range 5 {
		g.mustClaim(c, 1+n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var stalled *StalledError
	if err := full.replica.Read(ctx, func(*fsm.Machine) {}); !errors.As(err, &stalled) {
		t.Errorf("a read on the full instance: %v, want a StalledError", err)
	}
	full.full.Store(false)
	g.await("the instance catches up", func() bool { return full.replica.View().Claims == 6 })
}
