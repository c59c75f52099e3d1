package watch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 10 * time.Second

var auth = link.Auth{Key: []byte("a key for the tests")}

// controller is one control instance.
type controller struct {
	hub    *Hub
	table  *catalog.Table
	server *link.Server
	// stop ends it, once.
	stop func()
}

func newController(t *testing.T) *controller {
	t.Helper()
	return newControllerAt(t, "127.0.0.1:0")
}

func newControllerAt(t *testing.T, at string) *controller {
	t.Helper()
	c := &controller{table: catalog.New(catalog.Config{})}
	var err error
	ready := make(chan struct{})
	c.server, err = link.Listen(link.ServerConfig{Address: at, Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
		<-ready
		c.hub.Serve(ctx, st, first.GetWatch())
	}})
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := c.server.Address()
	c.hub = NewHub(HubConfig{
		Self:   func() *fleetpb.Peer { return &fleetpb.Peer{Name: address, Role: RoleControl, Link: address} },
		Table:  c.table,
		Voters: func() []string { return nil },
		Log:    zap.NewNop(),
	})
	close(ready)
	c.stop = sync.OnceFunc(func() {
		c.server.Close()
		c.hub.Close()
	})
	t.Cleanup(c.stop)
	return c
}

// entry is a process that follows control instances.
type entry struct {
	*Follower
	table *catalog.Table
	mu    sync.Mutex
	// slow delays the acknowledgement of news.
	slow    time.Duration
	version uint64
}

func newEntry(t *testing.T, name string, seeds ...string) *entry {
	t.Helper()
	e := &entry{table: catalog.New(catalog.Config{})}
	pool := link.NewPool(link.PoolConfig{Auth: auth, HeartbeatInterval: 50 * time.Millisecond, HeartbeatTimeout: 500 * time.Millisecond})
	e.Follower = NewFollower(FollowerConfig{
		Pool:  pool,
		Seeds: seeds,
		Watch: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: name, Role: RoleEntry, Link: name}}
		},
		Take: func(n *fleetpb.News) {
			e.mu.Lock()
			slow := e.slow
			e.version = max(e.version, n.Adopted.GetVersion())
			e.mu.Unlock()
			time.Sleep(slow)
			for _, w := range n.Upstreams {
				e.table.Merge(catalog.FromProto(w, time.Now()))
			}
			TakeHeard(e.table, n, time.Now())
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		e.Close()
		pool.Close()
	})
	return e
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func upstream(id string, state catalog.State, seq uint64) catalog.Upstream {
	return catalog.Upstream{ID: id, Service: "s", Address: id + ":1", State: state, StartTimeMs: 1, Seq: seq, LastSeen: time.Now()}
}

func (e *entry) state(id string) catalog.State {
	u, _ := e.table.Get(id)
	return u.State
}

// Once a word that an upstream drains has been accepted, every entry that can
// be reached knows it.
func TestDrainIsKnownWhenAccepted(t *testing.T) {
	c := newController(t)
	entries := []*entry{newEntry(t, "e1", c.server.Address()), newEntry(t, "e2", c.server.Address())}
	eventually(t, "two watchers", func() bool { return c.hub.Watchers() == 2 })
	entries[1].mu.Lock()
	entries[1].slow = 50 * time.Millisecond
	entries[1].mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	c.hub.Announce(ctx, upstream("u", catalog.Ready, 1))
	c.hub.Announce(ctx, upstream("u", catalog.Draining, 2))
	for i, e := range entries {
		if got, want := e.state("u"), catalog.Draining; got != want {
			t.Errorf("entry %d: %s, want %s", i, got, want)
		}
	}
}

// A watcher that does not answer holds up an announcement no longer than its
// context.
func TestSilentWatcherDoesNotBlock(t *testing.T) {
	c := newController(t)
	e := newEntry(t, "e1", c.server.Address())
	eventually(t, "a watcher", func() bool { return c.hub.Watchers() == 1 })
	e.mu.Lock()
	e.slow = 300 * time.Millisecond
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	c.hub.Announce(ctx, upstream("u", catalog.Ready, 1))
	if took := time.Since(began); took > 250*time.Millisecond {
		t.Errorf("the announcement took %v, want about 50 ms", took)
	}
}

func TestLateWatcherLearnsAll(t *testing.T) {
	c := newController(t)
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	c.hub.Adopt(&statepb.Adopted{Version: 7})
	c.hub.Adopt(&statepb.Adopted{Version: 3})
	e := newEntry(t, "e1", c.server.Address())
	eventually(t, "the upstream", func() bool { return e.state("u") == catalog.Ready })
	e.mu.Lock()
	defer e.mu.Unlock()
	if got, want := e.version, uint64(7); got != want {
		t.Errorf("version %d, want %d", got, want)
	}
}

// A word given to one control instance reaches the entries of another, and
// entries find the control instances that they were not told of.
func TestControlsTellEachOther(t *testing.T) {
	a, b := newController(t), newController(t)
	between := newEntry(t, "between", b.server.Address())
	between.cfg.Take = func(n *fleetpb.News) { a.hub.Merge(n) }
	e := newEntry(t, "e1", a.server.Address())
	eventually(t, "the streams", func() bool { return a.hub.Watchers() >= 1 && b.hub.Watchers() >= 1 })
	b.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "the word", func() bool { return e.state("u") == catalog.Ready })
}

// What control has forgotten, as after the loss of all its processes, entries
// hand back.
func TestEntriesHandBack(t *testing.T) {
	c := newController(t)
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	gone := upstream("u", catalog.Left, 3)
	f := NewFollower(FollowerConfig{
		Pool: pool, Seeds: []string{c.server.Address()},
		Watch: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Link: "e"}, Upstreams: []*fleetpb.UpstreamWord{gone.Proto(time.Now())}}
		},
		Take: func(*fleetpb.News) {}, Log: zap.NewNop(),
	})
	defer pool.Close()
	defer f.Close()
	eventually(t, "a watcher", func() bool { return c.hub.Watchers() == 1 })
	if got, want := c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 2)), catalog.Stale; got != want {
		t.Errorf("a late word after a restart is %s, want %s", got, want)
	}
}

func TestPeers(t *testing.T) {
	c := newController(t)
	e1 := newEntry(t, "e1", c.server.Address())
	e2 := newEntry(t, "e2", c.server.Address())
	names := func() string {
		out := map[string]bool{}
		for _, p := range e1.Peers(RoleEntry) {
			out[p.Name] = !p.Leaving
		}
		return fmt.Sprint(out)
	}
	eventually(t, "both entries", func() bool { return names() == "map[e1:true e2:true]" })
	eventually(t, "the connection", func() bool { return e2.Connected() == 1 })
	e2.Tell(&fleetpb.Peer{Name: "e2", Role: RoleEntry, Link: "e2", Leaving: true})
	eventually(t, "the leave", func() bool { return names() == "map[e1:true e2:false]" })
	e2.Close()
	eventually(t, "the end", func() bool { return names() == "map[e1:true]" })
	c.server.Close()
	eventually(t, "the loss", func() bool { return e1.Connected() == 0 })
	if got, want := names(), "map[e1:true]"; got != want {
		t.Errorf("without control, peers are %s, want the last list %s", got, want)
	}
}

// A process that is frozen acknowledges nothing and is soon not listed any
// more, although its connection is open.
func TestFrozenWatcherIsNotListed(t *testing.T) {
	c := newController(t)
	e1 := newEntry(t, "e1", c.server.Address())
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	defer pool.Close()
	st, err := pool.OpenStream(context.Background(), c.server.Address())
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	frozen := &fleetpb.Watch{Self: &fleetpb.Peer{Name: "frozen", Role: RoleEntry, Link: "frozen"}}
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: frozen}}); err != nil {
		t.Fatalf("watch: %v", err)
	}
	eventually(t, "both watchers", func() bool { return len(e1.Peers(RoleEntry)) == 2 })
	began := time.Now()
	eventually(t, "the drop", func() bool { return len(e1.Peers(RoleEntry)) == 1 })
	if took := time.Since(began); took > silence+2*refreshEvery+time.Second {
		t.Errorf("dropped after %v, want about %v", took, silence)
	}
}

// While nothing changes, watchers hear that an upstream lives.
func TestLivingUpstreamIsHeard(t *testing.T) {
	c := newController(t)
	e := newEntry(t, "e1", c.server.Address())
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "the upstream", func() bool { return e.state("u") == catalog.Ready })
	first, _ := e.table.Get("u")
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 2))
	eventually(t, "the next word", func() bool {
		u, _ := e.table.Get("u")
		return u.Seq == 2 && u.LastSeen.After(first.LastSeen) && u.Service == "s"
	})
}

// When a control instance comes back, its watchers join it one by one. Those
// that were there before count at once, so that all processes go on choosing
// the same owners; those that do not come back are dropped soon.
func TestPeersStayWhileControlComesBack(t *testing.T) {
	c := newController(t)
	address := c.server.Address()
	e1 := newEntry(t, "e1", address)
	e2 := newEntry(t, "e2", address)
	eventually(t, "both entries", func() bool { return len(e1.Peers(RoleEntry)) == 2 && len(e2.Peers(RoleEntry)) == 2 })
	c.stop()
	eventually(t, "the loss", func() bool { return e1.Connected() == 0 })
	e2.Close()
	back := newControllerAt(t, address)
	eventually(t, "the return", func() bool { return e1.Connected() == 1 && back.hub.Watchers() == 1 })
	if got, want := len(e1.Peers(RoleEntry)), 2; got != want {
		t.Errorf("%d entries right after control came back, want %d", got, want)
	}
	eventually(t, "the drop of the entry that is gone", func() bool { return len(e1.Peers(RoleEntry)) == 1 })
}
