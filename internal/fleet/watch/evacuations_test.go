package watch

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func (e *entry) applyEvacuations(zones *statepb.Evacuations) {
	e.mu.Lock()
	delay := e.zonesDelay
	e.mu.Unlock()
	time.Sleep(delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zones, e.zonesIndex = evacuation.Zones(zones), zones.GetIndex()
}

// evacuated returns the log index of the evacuated zones that the entry acts on, and
// whether a zone is one of them.
func (e *entry) evacuated(zone string) (index uint64, evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zonesIndex, slices.Contains(e.zones, zone)
}

func (e *entry) setZonesDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zonesDelay = d
}

func evacuationOf(index uint64, zones ...string) *statepb.Evacuations {
	e := &statepb.Evacuations{Index: index}
	for _, zone := range zones {
		e.Zones = append(e.Zones, &statepb.ZoneEvacuation{Zone: zone, Index: index})
	}
	return e
}

// Guards against an acknowledgement of an evacuation while an entry still sends to the
// zone, and against one that takes long in a steady fleet.
func TestEvacuationIsAcknowledgedOnceEntriesActOnIt(t *testing.T) {
	c := newControlInstance(t)
	c.hub.SetEvacuations(evacuationOf(1))
	entries := []*entry{newEntry(t, "e1", c.server.Address()), newEntry(t, "e2", c.server.Address())}
	eventually(t, "connection of the entries", func() bool { return c.hub.EntryCount() == 2 })
	start := time.Now()
	c.hub.SetEvacuations(evacuationOf(5, "z1"))
	if lacking := c.hub.WaitEvacuations(context.Background(), 5); len(lacking) > 0 {
		t.Fatalf("not acknowledged by %v", lacking)
	}
	if took, limit := time.Since(start), 500*time.Millisecond; took > limit {
		t.Errorf("acknowledged after %v in a steady fleet, want less than %v", took, limit)
	}
	for _, e := range entries {
		if index, evacuated := e.evacuated("z1"); index != 5 || !evacuated {
			t.Errorf("after the acknowledgement an entry acts on index %d, zone evacuated: %t; want 5, true", index, evacuated)
		}
	}
	entries[1].setZonesDelay(300 * time.Millisecond)
	c.hub.SetEvacuations(evacuationOf(6))
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if got, want := c.hub.WaitEvacuations(short, 6), []string{"e2"}; !slices.Equal(got, want) {
		t.Errorf("entries that do not act on the change: %v, want %v", got, want)
	}
}

// Guards against a control instance that lags behind and brings back an evacuation that
// was revoked.
func TestOlderEvacuationsReplaceNewer(t *testing.T) {
	ahead, behind := newControlInstance(t), newControlInstance(t)
	ahead.hub.SetEvacuations(evacuationOf(9))
	e := newEntry(t, "e1", ahead.server.Address())
	eventually(t, "the newest evacuated zones", func() bool { index, _ := e.evacuated("z1"); return index == 9 })
	behind.hub.SetEvacuations(evacuationOf(4, "z1"))
	e.Add([]string{behind.server.Address()})
	eventually(t, "connection to both", func() bool { return e.ConnectedCount() == 2 })
	behind.hub.SetEvacuations(evacuationOf(7, "z1"))
	if lacking := behind.hub.WaitEvacuations(context.Background(), 7); len(lacking) > 0 {
		t.Errorf("not acknowledged by %v, which act on newer ones", lacking)
	}
	// A message that was sent before the control instance knew what the entry has.
	e.Follower.applyEvacuations(evacuationOf(8, "z1"))
	if index, evacuated := e.evacuated("z1"); index != 9 || evacuated {
		t.Errorf("the entry acts on index %d, zone evacuated: %t; want 9, false", index, evacuated)
	}
}

// Guards against an entry that was suspended and goes on with the zones it knew before.
func TestResumedEntryActsOnOldEvacuations(t *testing.T) {
	c := newControlInstance(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	c.hub.SetEvacuations(evacuationOf(1))
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 1})
	eventually(t, "the first state", func() bool { index, _ := e.evacuated("z1"); return index == 1 && e.documentVersion() == 1 })
	if err := e.AwaitCurrent(context.Background()); err != nil {
		t.Fatalf("before the suspension: %v", err)
	}
	e.setZonesDelay(100 * time.Millisecond)
	suspend(time.Minute)
	c.hub.SetEvacuations(evacuationOf(2, "z1"))
	eventually(t, "return to the present state", func() bool { return e.AwaitCurrent(context.Background()) == nil })
	if index, evacuated := e.evacuated("z1"); index != 2 || !evacuated {
		t.Errorf("a resumed entry acts on index %d, zone evacuated: %t; want 2, true", index, evacuated)
	}
}

// unsureControl is a control instance that has just started with an old state: it is not
// sure of the evacuated zones until sure is set.
func unsureControl(t *testing.T) (c *controlInstance, sure *atomic.Bool) {
	t.Helper()
	c = newControlInstance(t)
	sure = new(atomic.Bool)
	c.hub.mu.Lock()
	c.hub.cfg.EvacuationsCurrent = sure.Load
	c.hub.mu.Unlock()
	c.hub.SetEvacuations(evacuationOf(1))
	return c, sure
}

// Guards against an entry that starts together with the control instances, knows only an old
// state of theirs, and sends to a zone that was evacuated since then.
func TestStartedEntryActsOnZonesOfLaggingControl(t *testing.T) {
	c, sure := unsureControl(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 1})
	eventually(t, "the old state", func() bool { index, _ := e.evacuated("z1"); return index == 1 && e.documentVersion() == 1 })
	for range 3 {
		short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		if err := e.AwaitCurrent(short); err == nil {
			t.Error("the entry took an old state for the present one")
		}
		cancel()
		suspend(agreementTimeout)
	}
	c.hub.SetEvacuations(evacuationOf(3, "z1"))
	sure.Store(true)
	c.hub.RepeatEvacuations()
	eventually(t, "a state that is sure", func() bool { return e.AwaitCurrent(context.Background()) == nil })
	if index, evacuated := e.evacuated("z1"); index != 3 || !evacuated {
		t.Errorf("the entry acts on index %d, zone evacuated: %t; want 3, true", index, evacuated)
	}
}

// Guards against an entry that serves nothing for as long as the control instances have no
// quorum, after its start or after a suspension.
func TestEntryWaitsWithoutEndForControlWithoutQuorum(t *testing.T) {
	c, sure := unsureControl(t)
	e, suspend := suspendableEntry(t, c.server.Address())
	c.hub.SetSiteDocument(&statepb.Adopted{Version: 1})
	eventually(t, "the old state", func() bool { return e.documentVersion() == 1 })
	suspend(firstZonesTimeout)
	eventually(t, "an end of the wait after the start", func() bool { return e.AwaitCurrent(context.Background()) == nil })
	sure.Store(true)
	eventually(t, "a state that is sure", func() bool {
		e.Follower.mu.Lock()
		defer e.Follower.mu.Unlock()
		return e.freshness.zonesKnown > 0
	})
	sure.Store(false)
	suspend(time.Minute)
	start := time.Now()
	eventually(t, "an end of the wait after the suspension", func() bool { return e.AwaitCurrent(context.Background()) == nil })
	if took, limit := time.Since(start), agreementTimeout+resyncTimeout+time.Second; took > limit {
		t.Errorf("the entry waited for %v, want at most %v", took, limit)
	}
}

// Guards against zones that a relay or another control instance is sent without need.
func TestOnlyEntriesAreToldOfEvacuations(t *testing.T) {
	c := newControlInstance(t)
	c.hub.SetEvacuations(evacuationOf(3, "z1"))
	for _, role := range []string{RoleControl, RoleRelay} {
		n := &fleetpb.News{}
		c.hub.mu.Lock()
		c.hub.describeEvacuations(n, &watcher{peer: &fleetpb.Peer{Role: role}})
		c.hub.mu.Unlock()
		if n.Evacuations != nil || n.EvacuationIndex != 0 {
			t.Errorf("a %s is sent %v at index %d, want nothing", role, n.Evacuations, n.EvacuationIndex)
		}
	}
}

// Guards against a burst at the upstreams of a restored zone, which may have become cold
// shortly before without having said so yet.
func TestUpstreamsOfRestoredZoneCountAsCold(t *testing.T) {
	c := newControlInstance(t)
	u := upstream("a", catalog.Ready, 1)
	u.Zone = "z1"
	c.table.Announce(u)
	c.hub.SetEvacuations(evacuationOf(3, "z1"))
	restored := evacuationOf(5, "z1")
	restored.Zones[0].Revoked = true
	c.hub.SetEvacuations(restored)
	known, _ := c.table.Get("a")
	if _, cold := known.Cold(time.Now()); !cold {
		t.Error("the upstream does not count as cold after its zone was restored")
	}
	u.Seq++
	c.table.Announce(u)
	known, _ = c.table.Get("a")
	if _, cold := known.Cold(time.Now()); cold {
		t.Error("the upstream counts as cold although it has said since that it is not")
	}
}
