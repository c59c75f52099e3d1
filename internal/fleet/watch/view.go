package watch

import (
	"slices"
	"strings"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// View is the list of processes at one moment. It is immutable.
type View struct {
	peers map[string][]*fleetpb.Peer
	// validUntil is when the view changes without News, zero if it does not.
	validUntil time.Time
}

// Peers returns the processes of a role, sorted by name. The caller must not modify
// the slice.
func (v *View) Peers(role string) []*fleetpb.Peer { return v.peers[role] }

// newView returns the processes that any connected control instance lists, each with
// its latest incarnation. If none is connected, it uses the last list of every
// instance.
func newView(sources map[string]*source, now time.Time) *View {
	b := viewBuilder{byName: make(map[string]*fleetpb.Peer), now: now}
	for _, s := range sources {
		if s.connected {
			b.add(s)
		}
	}
	if b.sources == 0 {
		for _, s := range sources {
			b.add(s)
		}
	}
	return b.view()
}

// viewBuilder merges the lists of several control instances.
type viewBuilder struct {
	byName     map[string]*fleetpb.Peer
	now        time.Time
	sources    int
	validUntil time.Time
}

func (b *viewBuilder) add(s *source) {
	b.sources++
	b.addPeers(s.peers)
	if !s.inGracePeriod(b.now) {
		return
	}
	b.addPeers(s.previousPeers)
	if end := s.connectedAt.Add(rejoinGracePeriod); b.validUntil.IsZero() || end.Before(b.validUntil) {
		b.validUntil = end
	}
}

func (b *viewBuilder) addPeers(peers map[string]*fleetpb.Peer) {
	for name, p := range peers {
		known := b.byName[name]
		if known == nil || p.Incarnation > known.Incarnation || p.Incarnation == known.Incarnation && p.Leaving {
			b.byName[name] = p
		}
	}
}

func (b *viewBuilder) view() *View {
	v := &View{peers: make(map[string][]*fleetpb.Peer), validUntil: b.validUntil}
	for _, p := range b.byName {
		v.peers[p.Role] = append(v.peers[p.Role], p)
	}
	for _, list := range v.peers {
		slices.SortFunc(list, func(a, b *fleetpb.Peer) int { return strings.Compare(a.Name, b.Name) })
	}
	return v
}
