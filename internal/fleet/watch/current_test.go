package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// suspendableEntry is an entry whose clock can be advanced, as if its machine had been
// suspended.
func suspendableEntry(t *testing.T, seeds ...string) (e *entry, suspend func(time.Duration)) {
	t.Helper()
	e = newEntry(t, "e1", seeds...)
	var suspended atomic.Int64
	e.Follower.mu.Lock()
	e.cfg.Now = func() time.Duration { return BootTime() + time.Duration(suspended.Load()) }
	e.Follower.mu.Unlock()
	return e, func(d time.Duration) { suspended.Add(int64(d)) }
}

func (e *entry) setAckDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ackDelay = d
}

func TestResumedEntryActsOnOldState(t *testing.T) {
	c := newControlInstance(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	ctx := context.Background()
	c.hub.Announce(ctx, upstream("u", catalog.Ready, 1))
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 1})
	eventually(t, "propagation", func() bool { return e.state("u") == catalog.Ready && e.documentVersion() == 1 })
	if err := e.AwaitCurrent(ctx); err != nil {
		t.Fatalf("before the suspension: %v", err)
	}
	e.setAckDelay(100 * time.Millisecond)
	suspend(time.Minute)
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 2})
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	c.hub.Announce(short, upstream("u", catalog.Draining, 2))
	if err := e.AwaitCurrent(ctx); err != nil {
		t.Fatalf("after the suspension: %v", err)
	}
	if got, want := e.state("u"), catalog.Draining; got != want {
		t.Errorf("upstream %s for a resumed entry, want %s", got, want)
	}
	if got, want := e.documentVersion(), uint64(2); got != want {
		t.Errorf("document %d in force at a resumed entry, want %d", got, want)
	}
}

func TestBusyEntryActsOnOldStateWithoutEnd(t *testing.T) {
	c := newControlInstance(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	eventually(t, "connection", func() bool { return e.ConnectedCount() == 1 })
	e.setAckDelay(2 * resyncTimeout)
	c.hub.mergeAnnounced(upstream("u", catalog.Ready, 1))
	time.Sleep(2 * newsInterval)
	suspend(time.Minute)
	var stale *StaleError
	if err := e.AwaitCurrent(context.Background()); !errors.As(err, &stale) {
		t.Errorf("got %v, want a StaleError", err)
	}
	e.setAckDelay(0)
	eventually(t, "return to the present state", func() bool { return e.AwaitCurrent(context.Background()) == nil })
}

func TestEntryWithoutControlWaitsForIt(t *testing.T) {
	c := newControlInstance(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	eventually(t, "connection", func() bool { return e.ConnectedCount() == 1 })
	c.stop()
	eventually(t, "loss of the control instance", func() bool { return e.ConnectedCount() == 0 })
	suspend(time.Minute)
	for _, limit := range []time.Duration{2 * resyncTimeout, resyncTimeout / 2} {
		start := time.Now()
		if err := e.AwaitCurrent(context.Background()); err != nil {
			t.Errorf("without any control instance: %v", err)
		}
		if took := time.Since(start); took > limit {
			t.Errorf("waited %v for control instances that are gone, want at most %v", took, limit)
		}
	}
}
