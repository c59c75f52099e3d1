package watch

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// meteredEntry is a process that counts the streams that it opens and the News that
// it receives.
type meteredEntry struct {
	*Follower
	streams, bytes, messages atomic.Int64
}

func newMeteredEntry(t *testing.T, name string, delay time.Duration, seeds ...string) *meteredEntry {
	t.Helper()
	e := &meteredEntry{}
	pool := link.NewPool(link.PoolConfig{Auth: auth})
	e.Follower = NewFollower(FollowerConfig{
		Pool:  pool,
		Seeds: seeds,
		WatchRequest: func() *fleetpb.Watch {
			e.streams.Add(1)
			return &fleetpb.Watch{Self: &fleetpb.Peer{Name: name, Role: RoleEntry, Link: name}}
		},
		OnNews: func(n *fleetpb.News) {
			e.bytes.Add(int64(proto.Size(n)))
			e.messages.Add(1)
			time.Sleep(delay)
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() {
		e.Close()
		pool.Close()
	})
	return e
}

// startFleet starts n entries at once, and returns them when each one knows of all.
func startFleet(t *testing.T, c *controlInstance, n int, delay time.Duration) []*meteredEntry {
	t.Helper()
	entries := make([]*meteredEntry, n)
	var wg sync.WaitGroup
	for i := range entries {
		wg.Go(func() { entries[i] = newMeteredEntry(t, fmt.Sprintf("entry-%d", i), delay, c.server.Address()) })
	}
	wg.Wait()
	for _, e := range entries {
		eventually(t, "listing of all entries", func() bool { return len(e.Peers(RoleEntry)) == n })
	}
	return entries
}

// What an entry receives while a whole fleet starts grows with the state, not with
// the state times the number of processes that join.
func TestStartOfFleetCostsItsState(t *testing.T) {
	const n = 120
	c := newControlInstance(t)
	entries := startFleet(t, c, n, 0)
	whole := &fleetpb.News{}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		whole.Peers = append(whole.Peers, &fleetpb.Peer{Name: name, Role: RoleEntry, Link: name})
	}
	limit := int64(4 * proto.Size(whole))
	for _, e := range entries {
		if got := e.bytes.Load(); got > limit {
			t.Fatalf("an entry received %d bytes of News, want at most 4 times the whole list: %d", got, limit)
		}
	}
}

// A burst of changes reaches a slow watcher as the newest state of each upstream,
// not as a queue of everything that happened: no watcher is dropped for it.
func TestBurstIsCoalescedForSlowWatchers(t *testing.T) {
	const upstreams, rounds = 300, 4
	c := newControlInstance(t)
	e := startFleet(t, c, 1, 20*time.Millisecond)[0]
	before, streams := e.messages.Load(), e.streams.Load()
	for round := range rounds {
		for i := range upstreams {
			u := upstream(fmt.Sprintf("u%d", i), catalog.Ready, uint64(round+1))
			u.StartTimeMs = int64(round + 1)
			c.hub.mergeAnnounced(u)
		}
	}
	eventually(t, "acknowledgement of the burst", func() bool {
		c.hub.mu.Lock()
		defer c.hub.mu.Unlock()
		for w := range c.hub.watchers {
			return w.acked >= c.hub.changes.last
		}
		return false
	})
	if got, want := e.streams.Load(), streams; got != want {
		t.Errorf("the watcher opened %d streams, want %d: it was dropped", got, want)
	}
	if got, limit := e.messages.Load()-before, int64(upstreams); got > limit {
		t.Errorf("%d messages for %d changes of %d upstreams, want at most %d", got, upstreams*rounds, upstreams, limit)
	}
}

// What a stopping control instance tells last must not be that all others are gone.
func TestStoppingControlInstanceTellsThatAllAreGone(t *testing.T) {
	const n = 60
	c := newControlInstance(t)
	entries := startFleet(t, c, n, 0)
	time.Sleep(2 * newsInterval)
	c.stop()
	for i, e := range entries {
		eventually(t, "loss of the control instance", func() bool { return e.ConnectedCount() == 0 })
		if got := len(e.Peers(RoleEntry)); got != n {
			t.Errorf("entry %d lists %d entries after the control instance stopped, want %d", i, got, n)
		}
	}
}
