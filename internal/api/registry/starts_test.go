package registry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// fresh returns a registry without memory, on a replica that has its log. It counts as just
// started.
func fresh(t *testing.T, r *replica.Replica) *instance {
	t.Helper()
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	i := &instance{hub: watch.NewHub(watch.HubConfig{
		Self:   func() *fleetpb.Peer { return &fleetpb.Peer{Name: "fresh", Role: watch.RoleControl, Link: "fresh"} },
		Table:  catalog.New(catalog.Config{}),
		Voters: func() []string { return nil },
		Log:    zap.NewNop(),
	})}
	i.server = New(Config{
		Hub: i.hub, Replica: r, Pool: pool, Decode: decode, Log: zap.NewNop(),
		Now: func() time.Duration { return watch.BootTime() + time.Duration(i.suspended.Load()) },
	})
	t.Cleanup(func() {
		i.server.Close()
		i.hub.Close()
		pool.Close()
	})
	return i
}

func bornAt(bornMs int64, state catalog.State, seq uint64) catalog.Upstream {
	u := upstream(state, seq)
	u.StartTimeMs = bornMs
	return u
}

func (i *instance) announce(t *testing.T, u catalog.Upstream) {
	t.Helper()
	if err := i.server.Announce(context.Background(), u); err != nil {
		t.Fatalf("%s of the start born at %d: %v, want it acknowledged", u.State, u.StartTimeMs, err)
	}
}

// refuse announces an upstream and expects an error of type E.
func refuse[E error](t *testing.T, i *instance, u catalog.Upstream) {
	t.Helper()
	began := time.Now()
	err := i.server.Announce(context.Background(), u)
	var want E
	if !errors.As(err, &want) {
		t.Errorf("%s of the start born at %d: got error %v, want a %T", u.State, u.StartTimeMs, err, want)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("%s of the start born at %d: refused after %v, want less than 1 s", u.State, u.StartTimeMs, took)
	}
}

func (i *instance) wantUpstream(t *testing.T, bornMs int64, state catalog.State) {
	t.Helper()
	u, _ := i.hub.Upstreams().Get("u")
	if u.StartTimeMs != bornMs || u.State != state {
		t.Errorf("start born at %d is %s, want that born at %d to be %s", u.StartTimeMs, u.State, bornMs, state)
	}
}

// An acknowledged end must outlive the memory of all processes: a heartbeat that was sent
// before it may arrive after all of them have been killed.
func TestEndOutlivesMemory(t *testing.T) {
	for _, state := range []catalog.State{catalog.Draining, catalog.Left} {
		t.Run(state.String(), func(t *testing.T) {
			i := newInstance(t)
			i.announce(t, upstream(catalog.Ready, 1))
			i.announce(t, upstream(state, 3))
			refuse[*EndedStartError](t, i, upstream(catalog.Ready, 2))
			after := fresh(t, i.server.cfg.Replica)
			refuse[*EndedStartError](t, after, upstream(catalog.Ready, 2))
			after.announce(t, upstream(state, 4))
			after.announce(t, bornAt(5, catalog.Ready, 1))
			after.wantUpstream(t, 5, catalog.Ready)
		})
	}
}

// Guards against an acknowledgement without a quorum: nothing would keep the upstream away
// after a loss of memory. And against an instance that accepts a start before it knows
// which ones have ended, or never again where there is no quorum for good.
func TestInstanceWithoutLeader(t *testing.T) {
	system := actor.NewActorSystem()
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	r, err := replica.Start(replica.Config{
		Name: "alone", DataDir: t.TempDir(), Formation: replica.JoinOnly{}, Tick: 10 * time.Millisecond, SnapshotEntries: 64,
		Pool: pool, System: system, Timeline: timeline.NewRecorder(timeline.Config{}), Log: zap.NewNop(),
		Fatal: func(err error) { t.Error(err) },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		pool.Close()
		system.Shutdown()
	})
	i := fresh(t, r)
	refuse[*EndsUnknownError](t, i, upstream(catalog.Ready, 1))
	refuse[*UnavailableError](t, i, upstream(catalog.Draining, 2))
	i.suspended.Store(int64(catalog.MaxDelay + time.Second))
	i.announce(t, bornAt(5, catalog.Ready, 1))
}

// Heartbeats of ready upstreams, and repeated ones of those that drain, must not be written
// to the log: hundreds of upstreams send one each second.
func TestHeartbeatsAreNotCommitted(t *testing.T) {
	i := newInstance(t)
	i.announce(t, upstream(catalog.Ready, 1))
	commit := func() uint64 { return i.server.cfg.Replica.Status().Commit }
	before := commit()
	for seq := range uint64(20) {
		i.announce(t, upstream(catalog.Ready, seq+2))
	}
	if got, want := commit(), before; got != want {
		t.Errorf("commit index %d after heartbeats of a ready upstream, want %d", got, want)
	}
	for seq := range uint64(20) {
		i.announce(t, upstream(catalog.Draining, seq+50))
	}
	i.announce(t, upstream(catalog.Left, 0))
	if got, want := commit(), before+1; got != want {
		t.Errorf("commit index %d after the upstream has left, want %d", got, want)
	}
}

// A start whose clock has gone back must be heeded, and late messages of the one that it has
// replaced must not be. Its order must outlive the memory of all processes.
func TestEarlierBornStart(t *testing.T) {
	i := newInstance(t)
	i.announce(t, bornAt(2000, catalog.Ready, 1))
	refuse[*DisputedStartError](t, i, bornAt(500, catalog.Ready, 1))
	i.wantUpstream(t, 2000, catalog.Ready)
	i.await(t, "silence of the first start", func() bool {
		u, _ := i.hub.Upstreams().Get("u")
		return u.Silent && i.server.hearsUpstreams()
	})
	i.announce(t, bornAt(500, catalog.Ready, 2))
	i.wantUpstream(t, 500, catalog.Ready)
	refuse[*EndedStartError](t, i, bornAt(2000, catalog.Ready, 9))
	i.announce(t, bornAt(2000, catalog.Draining, 10))
	i.wantUpstream(t, 500, catalog.Ready)
	refuse[*EndedStartError](t, fresh(t, i.server.cfg.Replica), bornAt(2000, catalog.Ready, 9))
	i.announce(t, bornAt(500, catalog.Draining, 3))
	i.wantUpstream(t, 500, catalog.Draining)
	after := fresh(t, i.server.cfg.Replica)
	for _, born := range []int64{2000, 500} {
		refuse[*EndedStartError](t, after, bornAt(born, catalog.Ready, 9))
	}
}

// A DELETE that arrives late must not end the next start under the ID, and one that ends
// nothing must not be acknowledged.
func TestLateDeleteSparesNextStart(t *testing.T) {
	i := newInstance(t)
	left := catalog.Upstream{ID: "u", State: catalog.Left, LastSeen: time.Now()}
	refuse[*UncertainStartError](t, i, left)
	i.announce(t, bornAt(1, catalog.Ready, 1))
	i.announce(t, left)
	i.announce(t, left)
	i.announce(t, bornAt(5, catalog.Ready, 1))
	refuse[*UncertainStartError](t, i, left)
	i.announce(t, bornAt(1, catalog.Left, 0))
	i.wantUpstream(t, 5, catalog.Ready)
	i.announce(t, bornAt(5, catalog.Left, 0))
	i.wantUpstream(t, 5, catalog.Left)
}

// A heartbeat must not take over the address of an upstream that is heard, whatever it says
// of its start and its service.
func TestAddressOfLiveUpstreamIsKept(t *testing.T) {
	i := newInstance(t)
	i.announce(t, upstream(catalog.Ready, 1))
	other := catalog.Upstream{ID: "other", Service: "unknown", Address: "u:1", State: catalog.Ready, StartTimeMs: 9, Seq: 1, LastSeen: time.Now()}
	refuse[*DisputedStartError](t, i, other)
	i.wantUpstream(t, 1, catalog.Ready)
	i.await(t, "the address of an upstream that has stopped", func() bool { return i.server.Announce(context.Background(), other) == nil })
	i.wantUpstream(t, 1, catalog.Left)
}

// Hundreds of upstreams may drain in a minute, and each waits for at most a second.
func TestManyDrainAtOnce(t *testing.T) {
	const n = 300
	i := newInstance(t)
	upstreams := make([]catalog.Upstream, n)
	for k := range upstreams {
		upstreams[k] = catalog.Upstream{ID: fmt.Sprint("u", k), Service: "s", Address: fmt.Sprint("u:", k+1), State: catalog.Ready, StartTimeMs: 1, Seq: 1, LastSeen: time.Now()}
		i.hub.Upstreams().Announce(upstreams[k])
	}
	began := time.Now()
	var wg sync.WaitGroup
	for _, u := range upstreams {
		wg.Go(func() {
			u.Seq, u.State = 2, catalog.Draining
			if err := i.server.Announce(context.Background(), u); err != nil {
				t.Errorf("drain: %v", err)
			}
		})
	}
	wg.Wait()
	t.Logf("%d drains acknowledged in %v with %d syncs", n, time.Since(began), i.server.cfg.Replica.Status().Syncs)
	if got, want := len(i.hub.EndedStarts().GetUpstreams()), n; got != want {
		t.Errorf("%d ends recorded, want %d", got, want)
	}
}

// Guards against ends that the log forgets while a message of the start may still arrive,
// and against ends that it keeps for good.
func TestRetention(t *testing.T) {
	r := retention{}
	for i, tt := range []struct {
		index uint64
		now   time.Duration
		want  uint64
	}{
		{1, 0, 0},
		{5, time.Minute, 0},
		{5, endRetention - 1, 0},
		{5, endRetention, 1},
		{9, time.Minute + endRetention, 5},
		{9, time.Minute + 2*endRetention, 9},
		{9, time.Hour, 9},
	} {
		if got := r.note(tt.index, tt.now); got != tt.want {
			t.Errorf("step %d: %d may be forgotten, want %d", i, got, tt.want)
		}
	}
	if got, want := len(r.known), 0; got != want {
		t.Errorf("%d indices kept, want %d", got, want)
	}
}

// Guards against an instance that takes upstreams for silent, or starts for new, because it
// was cut off or suspended itself.
func TestCurrencyAfterGap(t *testing.T) {
	const second = time.Second
	c := currency{lapsed: 100 * second}
	check := func(event string, now time.Duration, misses bool, steady time.Duration) {
		t.Helper()
		if got, want := c.missesNoEnd(now), misses; got != want {
			t.Errorf("%s: misses no end %t, want %t", event, got, want)
		}
		if got, want := c.steadyFor(now), steady; got != want {
			t.Errorf("%s: steady for %v, want %v", event, got, want)
		}
	}
	check("start", 100*second, false, 0)
	check("long after the start without a leader", 100*second+catalog.MaxDelay+1, true, 0)
	c.confirm(101 * second)
	check("first read", 101*second, true, 0)
	for now := 101 * second; now < 104*second; now += 100 * time.Millisecond {
		c.tick(now, true)
	}
	check("following a leader", 104*second, true, 3*second)
	check("suspended", 110*second, false, 0)
	c.confirm(110 * second)
	check("read after that", 110*second, true, 0)
	c.tick(111*second, false)
	check("no leader", 111*second, false, 0)
	c.confirm(111*second + 400*time.Millisecond)
	check("leader known again soon", 111*second+800*time.Millisecond, true, 1800*time.Millisecond)
}
