package watch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// cold returns an announcement of an upstream that stays cold for a time.
func cold(id string, seq uint64, left time.Duration) catalog.Upstream {
	u := upstream(id, catalog.Ready, seq)
	u.LastSeen = time.Now()
	if left > 0 {
		u.ColdUntil = u.LastSeen.Add(left)
	}
	return u
}

func (e *entry) isCold(id string) bool {
	u, _ := e.table.Get(id)
	_, is := u.Cold(time.Now())
	return is
}

// Guards against cold periods that are told with each heartbeat, which control instances
// could not afford, and against an extension that is not told.
func TestColdPeriodIsToldOnce(t *testing.T) {
	c := newControlInstance(t)
	var told atomic.Int64
	e := newEntry(t, "e1")
	e.onNews = func(n *fleetpb.News) { told.Add(int64(len(n.Upstreams))) }
	e.Add([]string{c.server.Address()})
	ctx := context.Background()
	c.hub.Announce(ctx, cold("u", 1, 0))
	eventually(t, "propagation", func() bool { return e.state("u") == catalog.Ready })
	before := told.Load()
	end := time.Now().Add(2 * time.Second)
	for seq := uint64(2); seq < 8; seq++ {
		c.hub.Announce(ctx, cold("u", seq, time.Until(end)))
		time.Sleep(3 * newsInterval)
	}
	if !e.isCold("u") {
		t.Error("the entry does not know that the upstream is cold")
	}
	if got, want := told.Load()-before, int64(1); got != want {
		t.Errorf("told %d times of the period, want %d", got, want)
	}
	c.hub.Announce(ctx, cold("u", 9, 5*time.Second))
	eventually(t, "the extension", func() bool { return told.Load()-before == 2 })
	u, _ := e.table.Get("u")
	if left, _ := u.Cold(time.Now()); left < 4*time.Second || left > 5*time.Second+catalog.ColdMargin {
		t.Errorf("%v left after the extension, want up to 5 s and the margin", left)
	}
}

// Guards against an entry that sends its full load to a cold upstream for most of a second
// because it does not follow the control instance that the upstream announced itself to.
func TestColdPeriodIsPassedOnToEntriesOfOtherInstances(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	c.hub.Announce(context.Background(), cold("u", 1, 0))
	eventually(t, "propagation", func() bool { return e.state("u") == catalog.Ready })
	elsewhere := catalog.New(catalog.Config{})
	elsewhere.Announce(cold("u", 1, 0))
	elsewhere.Announce(cold("u", 2, 3*time.Second))
	u, _ := elsewhere.Get("u")
	start := time.Now()
	c.hub.Merge(&fleetpb.News{Upstreams: []*fleetpb.UpstreamWord{u.Proto(start)}})
	eventually(t, "the cold period", func() bool { return e.isCold("u") })
	if took := time.Since(start); took >= digestDelay {
		t.Errorf("known after %v, want less than the %v after which digests are compared", took, digestDelay)
	}
}

// Guards against an entry that takes itself to be in contact while it cannot know what has
// become cold: before the first News, after the loss of the control instances and after a
// suspension.
func TestContact(t *testing.T) {
	c1, c2 := newControlInstance(t), newControlInstance(t)
	e, suspend := suspendableEntry(t)
	if got := e.Contact(); got != (Contact{}) {
		t.Errorf("before the first News: %+v, want no contact", got)
	}
	e.Add([]string{c1.server.Address(), c2.server.Address()})
	both := Contact{Current: true, Majority: true}
	eventually(t, "contact", func() bool { return e.Contact() == both })
	e.setAckDelay(50 * time.Millisecond)
	suspend(time.Minute)
	if got := e.Contact(); got.Current {
		t.Errorf("after a suspension: %+v, want the state to be out of date", got)
	}
	eventually(t, "contact after the suspension", func() bool { return e.Contact() == both })
	c1.stop()
	eventually(t, "loss of one instance", func() bool { return e.ConnectedCount() == 1 })
	c2.stop()
	eventually(t, "loss of all contact", func() bool { return e.Contact() == Contact{} })
}
