package watch

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 10 * time.Second

var auth = link.Auth{Key: []byte("a key for the tests")}

// controlInstance is a control instance with its hub and link server.
type controlInstance struct {
	hub    *Hub
	table  *catalog.Table
	server *link.Server
	// stop closes the server and the hub; further calls do nothing.
	stop func()
}

func newControlInstance(t *testing.T) *controlInstance {
	t.Helper()
	return newControlInstanceAt(t, "127.0.0.1:0")
}

func newControlInstanceAt(t *testing.T, listenAddress string) *controlInstance {
	t.Helper()
	ln, err := net.Listen("tcp", listenAddress)
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	return newControlInstanceOn(t, ln)
}

func newControlInstanceOn(t *testing.T, ln net.Listener) *controlInstance {
	t.Helper()
	c := &controlInstance{table: catalog.New(catalog.Config{})}
	var err error
	ready := make(chan struct{})
	c.server, err = link.Listen(link.ServerConfig{Listener: ln, Auth: auth, Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
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
	// A replica publishes its state when it starts.
	c.hub.SetEvacuations(evacuationOf(1))
	close(ready)
	c.stop = sync.OnceFunc(func() {
		c.hub.Close()
		c.server.Close()
	})
	t.Cleanup(c.stop)
	return c
}

// entry is a process that follows control instances and keeps a table.
type entry struct {
	*Follower
	table *catalog.Table
	guard *breaker.Guard
	mu    sync.Mutex
	// ackDelay delays the acknowledgement of News.
	ackDelay time.Duration
	version  uint64
	// zones are the evacuated zones that the entry acts on, and zonesIndex is their log
	// index. zonesDelay delays that it acts on them.
	zones      []string
	zonesIndex uint64
	zonesDelay time.Duration
	// onNews is called with each News; nil ignores them.
	onNews func(*fleetpb.News)
}

func newEntry(t *testing.T, name string, seeds ...string) *entry {
	t.Helper()
	e := &entry{table: catalog.New(catalog.Config{})}
	e.guard = breaker.NewGuard(breaker.GuardConfig{
		Report: func(seen *fleetpb.NewsSeen) { e.Report(seen) },
		Rank:   func(string) int { return 1 },
		Log:    zap.NewNop(),
	})
	pool := link.NewPool(link.PoolConfig{Auth: auth, HeartbeatInterval: 50 * time.Millisecond, HeartbeatTimeout: 500 * time.Millisecond})
	e.Follower = NewFollower(FollowerConfig{
		Pool:  pool,
		Seeds: seeds,
		WatchRequest: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: name, Role: RoleEntry, Link: name}, Breakers: e.guard.Breakers()}
		},
		OnNews: func(n *fleetpb.News) {
			e.mu.Lock()
			delay, onNews := e.ackDelay, e.onNews
			e.mu.Unlock()
			time.Sleep(delay)
			if onNews != nil {
				onNews(n)
			}
			for _, u := range n.Upstreams {
				e.table.Merge(catalog.FromProto(u, time.Now()))
			}
			e.guard.Apply(n)
		},
		OnDocument: func(a *statepb.Adopted) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version = a.GetVersion()
			return nil
		},
		OnEvacuations: e.applyEvacuations,

		OnSilence: func(ids map[string]bool) { e.table.SetSilent(ids, time.Now()) },
		Digests:   e.table.Digests,
		Log:       zap.NewNop(),
	})
	t.Cleanup(func() {
		e.guard.Close()
		e.Close()
		pool.Close()
	})
	return e
}

func eventually(t *testing.T, event string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !done(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s in time", event)
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

// A control instance that knows from another one that an upstream drains tells its own
// watchers before it acknowledges that itself: the other one may have been lost before
// it told them.
func TestDrainLearntElsewhereIsToldBeforeAcknowledged(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "propagation of the upstream", func() bool { return e.state("u") == catalog.Ready })
	for _, state := range []catalog.State{catalog.Draining, catalog.Left} {
		learnt := upstream("u", state, uint64(state)+1)
		c.hub.Merge(&fleetpb.News{Upstreams: []*fleetpb.UpstreamWord{learnt.Proto(time.Now())}})
		c.hub.Announce(context.Background(), upstream("u", state, uint64(state)+2))
		if got, want := e.state("u"), state; got != want {
			t.Errorf("after the acknowledgement: %s, want %s", got, want)
		}
	}
}

// What one control instance has told its watchers, the others do not tell them again;
// the digest shows to a watcher what it has missed, and only that is sent.
func TestEachAnnouncementReachesWatchersOnce(t *testing.T) {
	a, b := newControlInstance(t), newControlInstance(t)
	bridge := newEntry(t, "bridge", b.server.Address())
	bridge.cfg.OnNews = func(n *fleetpb.News) { a.hub.Merge(n) }
	told := make(map[string]int)
	e := newEntry(t, "e1", a.server.Address(), b.server.Address())
	e.mu.Lock()
	e.onNews = func(n *fleetpb.News) {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, u := range n.Upstreams {
			told[u.Id]++
		}
	}
	e.mu.Unlock()
	eventually(t, "connection of the watchers", func() bool { return e.ConnectedCount() == 2 && b.hub.WatcherCount() == 2 })
	const n = 50
	for i := range n {
		b.hub.mergeAnnounced(upstream(fmt.Sprint("u", i), catalog.Ready, 1))
	}
	eventually(t, "propagation of the announcements", func() bool {
		return e.table.Digests() == b.table.Digests() && a.table.Digests() == b.table.Digests()
	})
	time.Sleep(2 * probeInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, times := range told {
		total += times
	}
	if got, want := total, n; got != want {
		t.Errorf("%d announcements were sent for %d upstreams, want each once", got, want)
	}
}

// Once Announce has returned for a draining upstream, every reachable entry
// knows that it drains, even one that is slow to acknowledge.
func TestAnnounceReturnsAfterAllEntriesKnow(t *testing.T) {
	c := newControlInstance(t)
	entries := []*entry{newEntry(t, "e1", c.server.Address()), newEntry(t, "e2", c.server.Address())}
	eventually(t, "connection of two watchers", func() bool { return c.hub.WatcherCount() == 2 })
	entries[1].mu.Lock()
	entries[1].ackDelay = 50 * time.Millisecond
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

// A drain must not be acknowledged while an entry's stream ends again and again: it knows
// nothing of the drain and goes on to send.
func TestDrainIsAcknowledgedWithoutEntryThatReconnects(t *testing.T) {
	c := newControlInstance(t)
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	defer pool.Close()
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	var rounds atomic.Int64
	wg.Go(func() {
		for ; ctx.Err() == nil; rounds.Add(1) {
			watchOnce(ctx, t, pool, c.server.Address())
			time.Sleep(redialDelay / 2)
		}
	})
	eventually(t, "connection of the entry", func() bool { return rounds.Load() > 0 })
	for seq, state := range []catalog.State{catalog.Draining, catalog.Left} {
		time.Sleep(probeInterval)
		ctx, cancel := context.WithTimeout(context.Background(), probeInterval)
		if _, untold := c.hub.Announce(ctx, upstream("u", state, uint64(seq+2))); len(untold) == 0 {
			t.Errorf("%s was acknowledged although the entry has not seen it", state)
		}
		if lacking := c.hub.WaitDocument(ctx, 7); len(lacking) == 0 {
			t.Error("a document counts as in force although the entry has not seen it")
		}
		cancel()
	}
}

// A control instance that stops must not acknowledge a drain that its entries have not
// seen.
func TestClosingHubAcknowledgesDrain(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	eventually(t, "connection of the entry", func() bool { return c.hub.WatcherCount() == 1 })
	e.mu.Lock()
	e.ackDelay = 300 * time.Millisecond
	e.mu.Unlock()
	time.AfterFunc(50*time.Millisecond, c.stop)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	if _, untold := c.hub.Announce(ctx, upstream("u", catalog.Draining, 1)); len(untold) == 0 {
		t.Error("the drain was acknowledged although the entry has not seen it")
	}
}

// watchOnce opens a stream as an entry does and ends it at the first News.
func watchOnce(ctx context.Context, t *testing.T, pool *link.Pool, address string) {
	st, err := pool.OpenStream(ctx, address)
	if err != nil {
		return
	}
	defer st.Close()
	self := &fleetpb.Peer{Name: "e1", Role: RoleEntry, Link: "e1"}
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: &fleetpb.Watch{Self: self}}}); err != nil {
		t.Error(err)
		return
	}
	// Whether the stream ends before the News makes no difference.
	_, _ = st.Recv()
}

// An entry that is gone for good delays an announcement by rejoinGrace and no longer, and
// one that has said that it leaves not at all.
func TestLostEntryDelaysAnnounce(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		t.Run(fmt.Sprint("leaving: ", leaving), func(t *testing.T) {
			c := newControlInstance(t)
			e := newEntry(t, "e1", c.server.Address())
			eventually(t, "connection of the entry", func() bool { return c.hub.WatcherCount() == 1 && e.ConnectedCount() == 1 })
			e.UpdateSelf(&fleetpb.Peer{Name: "e1", Role: RoleEntry, Link: "e1", Leaving: leaving})
			eventually(t, "the entry's word that it leaves", func() bool {
				c.hub.mu.Lock()
				defer c.hub.mu.Unlock()
				return c.hub.peers["e1"].GetLeaving() == leaving
			})
			e.Close()
			eventually(t, "removal of the entry", func() bool { return c.hub.WatcherCount() == 0 })
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			start := time.Now()
			if _, untold := c.hub.Announce(ctx, upstream("u", catalog.Draining, 1)); len(untold) > 0 {
				t.Errorf("%v were not told, want none", untold)
			}
			limit := rejoinGrace + 200*time.Millisecond
			if leaving {
				limit = 200 * time.Millisecond
			}
			if took := time.Since(start); took > limit {
				t.Errorf("took %v, want %v at most", took, limit)
			}
		})
	}
}

// A watcher that does not acknowledge delays an announcement no longer than the
// deadline of its context.
func TestUnresponsiveWatcherDoesNotBlockAnnounce(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	eventually(t, "connection of a watcher", func() bool { return c.hub.WatcherCount() == 1 })
	e.mu.Lock()
	e.ackDelay = 300 * time.Millisecond
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	if _, untold := c.hub.Announce(ctx, upstream("u", catalog.Ready, 1)); len(untold) != 1 || untold[0] != "e1" {
		t.Errorf("told everybody but %v, want e1 among those that were not told", untold)
	}
	if elapsed := time.Since(start); elapsed > 250*time.Millisecond {
		t.Errorf("announcement took %v, want about 50 ms", elapsed)
	}
}

func TestNewWatcherReceivesWholeState(t *testing.T) {
	c := newControlInstance(t)
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 7})
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 3})
	e := newEntry(t, "e1", c.server.Address())
	eventually(t, "propagation of the upstream", func() bool { return e.state("u") == catalog.Ready })
	eventually(t, "propagation of the document", func() bool { return e.documentVersion() == 7 })
}

// An announcement made to one control instance reaches the entries that are
// connected only to another.
func TestControlInstancesShareAnnouncements(t *testing.T) {
	a, b := newControlInstance(t), newControlInstance(t)
	bridge := newEntry(t, "bridge", b.server.Address())
	bridge.cfg.OnNews = func(n *fleetpb.News) { a.hub.Merge(n) }
	e := newEntry(t, "e1", a.server.Address())
	eventually(t, "connection of both watchers", func() bool { return a.hub.WatcherCount() >= 1 && b.hub.WatcherCount() >= 1 })
	b.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "propagation of the announcement", func() bool { return e.state("u") == catalog.Ready })
}

// Entries send their upstreams when they connect, so that control instances
// recover them after all control processes were lost. Otherwise a delayed
// announcement would bring back an upstream that has left.
func TestEntriesRestoreLostUpstreams(t *testing.T) {
	c := newControlInstance(t)
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	known := catalog.New(catalog.Config{})
	known.Merge(upstream("u", catalog.Left, 3))
	f := NewFollower(FollowerConfig{
		Pool: pool, Seeds: []string{c.server.Address()},
		WatchRequest: func() *fleetpb.Watch { return &fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Link: "e"}} },
		OnNews:       func(*fleetpb.News) {},
		Digests:      known.Digests,
		Departed:     func() []*fleetpb.UpstreamWord { return known.Departed(time.Now()) },
		Lacking: func(buckets []uint32, held []*fleetpb.UpstreamWord) []*fleetpb.UpstreamWord {
			return known.Lacking(buckets, held, time.Now())
		},
		Log: zap.NewNop(),
	})
	defer pool.Close()
	defer f.Close()
	eventually(t, "return of the lost upstream", func() bool { _, ok := c.table.Get("u"); return ok })
	if got, _ := c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 2)); got != catalog.Stale {
		t.Errorf("late announcement after a restart is %s, want %s", got, catalog.Stale)
	}
}

// Peers lists the connected entries with their latest records, and keeps the last
// list while no control instance is connected.
func TestPeers(t *testing.T) {
	c := newControlInstance(t)
	e1 := newEntry(t, "e1", c.server.Address())
	e2 := newEntry(t, "e2", c.server.Address())
	names := func() string {
		out := map[string]bool{}
		for _, p := range e1.Peers(RoleEntry) {
			out[p.Name] = !p.Leaving
		}
		return fmt.Sprint(out)
	}
	eventually(t, "listing of both entries", func() bool { return names() == "map[e1:true e2:true]" })
	eventually(t, "connection of the second entry", func() bool { return e2.ConnectedCount() == 1 })
	e2.UpdateSelf(&fleetpb.Peer{Name: "e2", Role: RoleEntry, Link: "e2", Leaving: true})
	eventually(t, "update of the leaving entry", func() bool { return names() == "map[e1:true e2:false]" })
	e2.Close()
	eventually(t, "removal of the closed entry", func() bool { return names() == "map[e1:true]" })
	c.server.Close()
	eventually(t, "loss of the control instance", func() bool { return e1.ConnectedCount() == 0 })
	if got, want := names(), "map[e1:true]"; got != want {
		t.Errorf("without a control instance, peers are %s, want the last list %s", got, want)
	}
}

// A frozen process acknowledges nothing and is removed from the list after
// ackTimeout, although its connection is open.
func TestFrozenWatcherIsRemovedFromPeers(t *testing.T) {
	c := newControlInstance(t)
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
	eventually(t, "listing of both watchers", func() bool { return len(e1.Peers(RoleEntry)) == 2 })
	start := time.Now()
	eventually(t, "removal of the frozen watcher", func() bool { return len(e1.Peers(RoleEntry)) == 1 })
	if elapsed := time.Since(start); elapsed > ackTimeout+2*refreshInterval+time.Second {
		t.Errorf("removed after %v, want about %v", elapsed, ackTimeout)
	}
}

// An upstream is silent for the watchers once it has not announced itself for
// silentAfter, and no longer once it is heard again. In between they are told nothing.
func TestSilenceReachesWatchers(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	silent := func() bool {
		u, _ := e.table.Get("u")
		return u.Silent
	}
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "propagation of the upstream", func() bool { return e.state("u") == catalog.Ready })
	if silent() {
		t.Error("an upstream that has just been heard is silent")
	}
	eventually(t, "silence", silent)
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 2))
	eventually(t, "end of the silence", func() bool { return !silent() })
}

// An upstream that one control instance hears is not silent, whatever the others say.
func TestOneControlInstanceEndsSilence(t *testing.T) {
	a, b := newControlInstance(t), newControlInstance(t)
	e := newEntry(t, "e1", a.server.Address(), b.server.Address())
	a.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	b.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	for seq := uint64(2); seq < 30; seq++ {
		b.hub.Announce(context.Background(), upstream("u", catalog.Ready, seq))
		time.Sleep(100 * time.Millisecond)
		if u, _ := e.table.Get("u"); u.Silent {
			t.Fatalf("silent at announcement %d although one control instance hears it", seq)
		}
	}
	if u, _ := a.table.Get("u"); !u.Silent {
		t.Error("the other control instance does not count the upstream as silent")
	}
}

// A watcher that returns to the same hub is told what it missed, and not the rest.
func TestReturningWatcherGetsChangesOnly(t *testing.T) {
	c := newControlInstance(t)
	c.hub.Announce(context.Background(), upstream("old", catalog.Ready, 1))
	missed := make(chan *fleetpb.News, 100)
	e := newEntry(t, "e1", c.server.Address())
	other := newEntry(t, "e2", c.server.Address())
	eventually(t, "listing of both entries", func() bool { return len(e.Peers(RoleEntry)) == 2 && e.state("old") == catalog.Ready })
	e.mu.Lock()
	e.onNews = func(n *fleetpb.News) { missed <- n }
	e.mu.Unlock()
	e.Follower.mu.Lock()
	st := e.sources[c.server.Address()].stream
	e.Follower.mu.Unlock()
	st.Close()
	other.Close()
	c.hub.mergeAnnounced(upstream("new", catalog.Ready, 1))
	eventually(t, "news of the return", func() bool { return e.state("new") == catalog.Ready && len(e.Peers(RoleEntry)) == 1 })
	for len(missed) > 0 {
		n := <-missed
		if n.Whole || len(n.Upstreams) > 0 && n.Upstreams[0].Id == "old" {
			t.Errorf("the returning watcher was sent what it had: %v", n)
		}
	}
}

// When a control instance comes back, its watchers reconnect one by one. Those
// that it listed before count at once, so that all processes keep choosing the
// same owners; those that do not reconnect are removed after rejoinGracePeriod.
func TestPeersAreKeptWhileControlInstanceRestarts(t *testing.T) {
	c := newControlInstance(t)
	address := c.server.Address()
	e1 := newEntry(t, "e1", address)
	e2 := newEntry(t, "e2", address)
	eventually(t, "listing of both entries", func() bool { return len(e1.Peers(RoleEntry)) == 2 && len(e2.Peers(RoleEntry)) == 2 })
	c.stop()
	eventually(t, "loss of the control instance", func() bool { return e1.ConnectedCount() == 0 })
	e2.Close()
	restarted := newControlInstanceAt(t, address)
	eventually(t, "reconnection to the control instance", func() bool { return e1.ConnectedCount() == 1 && restarted.hub.WatcherCount() == 1 })
	if got, want := len(e1.Peers(RoleEntry)), 2; got != want {
		t.Errorf("%d entries right after the control instance came back, want %d", got, want)
	}
	eventually(t, "removal of the entry that did not reconnect", func() bool { return len(e1.Peers(RoleEntry)) == 1 })
}
