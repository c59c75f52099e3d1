package watch

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// SetEvacuations publishes the evacuated zones unless their log index is at most that of
// the known ones.
func (h *Hub) SetEvacuations(e *statepb.Evacuations) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.GetIndex() <= h.evacuations.GetIndex() {
		return
	}
	h.evacuations = e
	evacuation.MarkRevoked(e, h.cfg.Table.MarkCold)
	h.publish(key{kind: evacuationChange})
	h.cfg.Log.Info("evacuated zones published", zap.Strings("zones", evacuation.Zones(e)), zap.Uint64("index", e.GetIndex()))
}

// RepeatEvacuations sends News to the entries at once. It is called when this instance has
// become sure of the evacuated zones: entries may be waiting for that.
func (h *Hub) RepeatEvacuations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(key{kind: evacuationChange})
}

// Evacuations returns the evacuated zones, nil while they are not known. They must not be
// modified.
func (h *Hub) Evacuations() *statepb.Evacuations {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuations
}

// WaitEvacuations returns once all entries that watch this instance act on the evacuated
// zones of at least the given log index, or ctx is done. It returns the names of those
// that do not.
func (h *Hub) WaitEvacuations(ctx context.Context, index uint64) []string {
	return h.waitAll(ctx, func(w *watcher) bool { return w.evacuations >= index || w.peer.GetRole() != RoleEntry })
}

// NotWatching returns those of the named processes that do not watch this instance.
func (h *Hub) NotWatching(names []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(names), h.watches)
}

// KnowsZone reports whether an upstream, a process of the fleet or an earlier order names
// an availability zone.
func (h *Hub) KnowsZone(zone string) bool {
	for _, u := range h.cfg.Table.All() {
		if u.Zone == zone {
			return true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.GetZone() == zone {
			return true
		}
	}
	return evacuation.Seen(h.evacuations, zone) > 0
}

// describeEvacuations adds the log index of the evacuated zones if they are sure to be the
// present ones, and the zones if the watcher lacks them. The caller holds mu.
func (h *Hub) describeEvacuations(n *fleetpb.News, w *watcher) {
	if w.peer.GetRole() != RoleEntry {
		return
	}
	if h.cfg.EvacuationsCurrent == nil || h.cfg.EvacuationsCurrent() {
		n.EvacuationIndex = h.evacuations.GetIndex()
	}
	if w.evacuations < h.evacuations.GetIndex() {
		n.Evacuations = h.evacuations
	}
}

// evacuations is what a Follower knows of the evacuated zones. Its mu guards it.
type evacuations struct {
	// inForce is the log index of those that were last passed to Config.OnEvacuations.
	inForce uint64
}

// applyEvacuations passes on the evacuated zones of a News unless newer ones are known, and
// tells all connected control instances.
func (f *Follower) applyEvacuations(e *statepb.Evacuations) {
	if e == nil || f.cfg.OnEvacuations == nil {
		return
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if e.GetIndex() <= f.evacuationsInForce() {
		return
	}
	f.cfg.OnEvacuations(e)
	f.mu.Lock()
	f.evacuations.inForce = e.GetIndex()
	f.signalCurrent()
	f.mu.Unlock()
	f.tellAll(&fleetpb.NewsSeen{EvacuationIndex: e.GetIndex()})
}

// evacuationsInForce returns the log index of the evacuated zones that this process acts on.
func (f *Follower) evacuationsInForce() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.inForce
}

// firstZonesTimeout is how long after its start a process waits for a control instance that
// is sure of the evacuated zones. After a loss of all power, the control instances know only
// their last snapshot until they have elected a leader, which takes well below that. Without
// a quorum there is none, and requests are served all the same.
const firstZonesTimeout = 10 * time.Second

// evacuationsSettled reports whether this process acts on the newest evacuated zones that a
// connected control instance offers, and after a gap has heard from one that is sure of
// them. It waits for such an instance for firstZonesTimeout after the start, and later for
// agreementTimeout: what it knows already is then at most as old as its gap. The caller
// holds mu.
func (f *Follower) evacuationsSettled(fr *freshness) bool {
	if f.cfg.OnEvacuations == nil {
		return true
	}
	for _, s := range f.sources {
		if s.connected && s.evacuations > f.evacuations.inForce {
			return false
		}
	}
	limit := agreementTimeout
	if fr.zonesKnown == 0 {
		limit = firstZonesTimeout
	}
	return fr.zonesKnown >= fr.behindSince || f.cfg.Now()-fr.behindSince > limit
}
