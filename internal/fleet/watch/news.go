package watch

import (
	"maps"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// sendNews sends News until the watcher is removed or the stream fails.
func (h *Hub) sendNews(st *link.Stream, w *watcher) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		n, wait := h.nextNews(w, time.Now())
		if n != nil {
			if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: n}}); err != nil {
				return err
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-w.removed:
			return nil
		case <-w.wake:
		case <-timer.C:
		}
	}
}

// nextNews returns the next News for a watcher, or nil and how long to wait for one
// unless the watcher is woken before.
func (h *Hub) nextNews(w *watcher, now time.Time) (*fleetpb.News, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.outstanding || h.closed {
		return nil, probeInterval
	}
	if wait := newsInterval - now.Sub(w.sentAt); wait > 0 {
		return nil, wait
	}
	changed := h.changes.since(w.sent)
	if idle := w.idleInterval() - now.Sub(w.sentAt); idle > 0 && !w.whole && len(w.buckets) == 0 && !w.fetch && !slices.ContainsFunc(changed, w.wants) {
		return nil, idle
	}
	n := &fleetpb.News{Seq: h.changes.last, Incarnation: h.incarnation, Whole: w.whole, Digest: h.cfg.Table.Digests().Sum(), Document: documentVersion(h.siteDocument).proto()}
	for _, k := range changed {
		if w.wants(k) {
			h.describe(n, k, w, now)
		}
	}
	h.describeHeard(n, w, now)
	h.describeBuckets(n, w, now)
	h.describeDocument(n, w)
	h.describeEvacuations(n, w)
	h.stats = h.stats.withSent(n, w.recordSent(n, now))
	return n, 0
}

// describe adds the present state of a key to a News for a watcher. The caller
// holds mu.
func (h *Hub) describe(n *fleetpb.News, k key, w *watcher, now time.Time) {
	switch k.kind {
	case upstreamChange:
		if u, ok := h.cfg.Table.Get(k.id); ok {
			n.Upstreams = append(n.Upstreams, u.Proto(now))
		}
	case peerChange:
		switch p := h.peers[k.id]; {
		case p == nil:
			n.Gone = append(n.Gone, k.id)
		case w.peer.GetRole() != RoleRelay || p.Role == RoleControl:
			n.Peers = append(n.Peers, p)
		}
	case breakerChange:
		n.Breakers = append(n.Breakers, h.board.Get(k.id).Proto(now))
	case documentChange, evacuationChange:
		// Each News has the versions of both.
	}
}

// describeDocument adds the site document if the watcher has asked for it. The caller
// holds mu.
func (h *Hub) describeDocument(n *fleetpb.News, w *watcher) {
	if w.fetch && documentVersion(h.siteDocument).newerThan(w.document) {
		n.Adopted = h.siteDocument
	}
	w.fetch = false
}

// describeBuckets adds the upstreams in the buckets that the watcher asked for. The
// caller holds mu.
func (h *Hub) describeBuckets(n *fleetpb.News, w *watcher, now time.Time) {
	if len(w.buckets) == 0 {
		return
	}
	n.Buckets = slices.Sorted(maps.Keys(w.buckets))
	for _, u := range h.cfg.Table.InBuckets(w.buckets) {
		n.Upstreams = append(n.Upstreams, u.Proto(now))
	}
	w.buckets = nil
}

// describeHeard adds the upstreams that announced themselves without a change. The
// caller holds mu.
func (h *Hub) describeHeard(n *fleetpb.News, w *watcher, now time.Time) {
	for id := range w.heard {
		if u, ok := h.cfg.Table.Get(id); ok {
			age := max(0, now.Sub(u.LastSeen).Milliseconds())
			n.Heard = append(n.Heard, &fleetpb.Heard{Id: u.ID, Seq: u.Seq, AgeMs: uint32(age)})
		}
	}
	clear(w.heard)
}
