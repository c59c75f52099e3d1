package route

import (
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/rendezvous"
	"hawthornhub.example/hawthornhub/internal/state/document"
)

// affinityCost is how many times the best expected time an upstream with a
// warm prefix may take and still be chosen.
const affinityCost = 1.5

// Pick chooses an upstream for a call. It returns false where none is left.
func (t *Table) Pick(now time.Time, need Need, r document.Routing) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	able := t.able(now, need, r.Subset)
	if len(able) == 0 {
		return Upstream{}, false
	}
	if r.Policy == "baseline" {
		t.turn[need.Group]++
		return able[t.turn[need.Group]%len(able)].Upstream, true
	}
	service := t.lines[need.Group].Predict(need.Size)
	best, bestUs := t.sample(now, able, r.Candidates, service)
	if need.Prefix != "" {
		warm := warmest(able, need.Prefix)
		room := warm.load(now) < float64(warm.Slots)
		if room && warm.finishUs(now, t.cfg.Zone, service) <= affinityCost*bestUs {
			return warm.Upstream, true
		}
	}
	return best.Upstream, true
}

// able returns the upstreams of the subset that may take the call. Those that
// just failed are left out unless there are no others.
func (t *Table) able(now time.Time, need Need, subset int) []*state {
	var out, resting []*state
	for _, s := range t.groups[need.Group] {
		if slices.Contains(need.Except, s.Name) || s.word != nil && s.word.Leaving {
			continue
		}
		if len(need.Zones) > 0 && !slices.Contains(need.Zones, s.Zone) {
			continue
		}
		if now.Before(s.restTil) {
			resting = append(resting, s)
			continue
		}
		out = append(out, s)
		if len(out) == subset {
			break
		}
	}
	if len(out) == 0 {
		return resting
	}
	return out
}

// sample compares a few upstreams chosen at random, or all where there are no
// more than that.
func (t *Table) sample(now time.Time, able []*state, n int, service float64) (*state, float64) {
	var best *state
	bestUs := 0.0
	for i := range min(n, len(able)) {
		s := able[i]
		if len(able) > n {
			s = able[t.cfg.Random(len(able))]
		}
		us := s.finishUs(now, t.cfg.Zone, service)
		if best == nil || us < bestUs {
			best, bestUs = s, us
		}
	}
	return best, bestUs
}

// warmest returns the upstream that a prefix belongs to; able is not empty.
func warmest(able []*state, prefix string) *state {
	best, _ := rendezvous.Best(prefix, able, func(s *state) string { return s.Name })
	return best
}

// Predict returns the expected service time in microseconds, 0 if unknown.
func (t *Table) Predict(g Group, size float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines[g].Predict(size)
}

// hedgeLeast is the least multiple of its expected time after which a call is
// late. Where service times hardly differ, a high quantile alone would hedge
// calls that are about to end.
const hedgeLeast = 1.5

// HedgeAfter returns the time in microseconds after which a call of a size on
// an upstream is late, its expected wait for a slot included; 0 if unknown.
func (t *Table) HedgeAfter(u Upstream, size float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := t.lines[u.Group]
	if !line.Knows(size) {
		return 0
	}
	service := line.Predict(size)
	late := service * max(hedgeLeast, t.ratios[u.Group].Value())
	if s := t.states[u.Name]; s != nil {
		late += s.waitUs(time.Now(), service)
	}
	return late
}

// Free reports whether an upstream is believed to have a free slot.
func (t *Table) Free(u Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[u.Name]
	return s != nil && s.load(time.Now()) < float64(s.Slots)
}

// Slots returns the number of slots of a pool, weighed by how slow each
// upstream is.
func (t *Table) Slots(now time.Time, g Group) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0.0
	for _, s := range t.groups[g] {
		slots += float64(s.Slots) / max(1, s.slowness(now))
	}
	return slots
}

// Find returns the upstream of a name.
func (t *Table) Find(name string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil {
		return Upstream{}, false
	}
	return s.Upstream, true
}
