package route

import (
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/state/document"
)

// maxAffinityRatio limits prefix affinity: the upstream that a prompt prefix
// hashes to, which probably has the prefix cached, is chosen if its expected time
// is at most this multiple of the best one.
const maxAffinityRatio = 1.5

// Pick chooses an upstream for a call. It returns false if none is eligible.
func (t *Table) Pick(now time.Time, info PickInfo, r document.Routing) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	eligible := t.eligible(now, info, r.Subset)
	if len(eligible) == 0 {
		return Upstream{}, false
	}
	if r.Policy == "baseline" {
		t.roundRobin[info.Pool]++
		return eligible[t.roundRobin[info.Pool]%len(eligible)].Upstream, true
	}
	serviceUs := t.models[info.Pool].Predict(info.Size)
	best, bestUs := t.sample(now, eligible, r.Candidates, serviceUs)
	if info.Prefix != "" {
		preferred := byPrefix(eligible, info.Prefix)
		hasFreeSlot := preferred.load(now) < float64(preferred.Slots)
		if hasFreeSlot && preferred.finishUs(now, t.cfg.Zone, serviceUs) <= maxAffinityRatio*bestUs {
			return preferred.Upstream, true
		}
	}
	return best.Upstream, true
}

// eligible returns the upstreams of the subset that may take the call. Those in a
// cooldown after a failure are left out unless there are no others.
func (t *Table) eligible(now time.Time, info PickInfo, subset int) []*state {
	var out, coolingDown []*state
	for _, s := range t.pools[info.Pool] {
		if t.evacuated[s.Zone] || slices.Contains(info.Exclude, s.Name) || s.report != nil && s.report.Leaving {
			continue
		}
		if len(info.Zones) > 0 && !slices.Contains(info.Zones, s.Zone) {
			continue
		}
		if now.Before(s.cooldownEnds) {
			coolingDown = append(coolingDown, s)
			continue
		}
		out = append(out, s)
		if len(out) == subset {
			break
		}
	}
	if len(out) == 0 {
		return coolingDown
	}
	return out
}

// sample returns the best of n upstreams drawn at random, or of all if there are
// at most n, with its expected time in microseconds.
func (t *Table) sample(now time.Time, eligible []*state, n int, serviceUs float64) (*state, float64) {
	var best *state
	bestUs := 0.0
	for i := range min(n, len(eligible)) {
		s := eligible[i]
		if len(eligible) > n {
			s = eligible[t.cfg.Random(len(eligible))]
		}
		us := s.finishUs(now, t.cfg.Zone, serviceUs)
		if best == nil || us < bestUs {
			best, bestUs = s, us
		}
	}
	return best, bestUs
}

// byPrefix returns the upstream that a prompt prefix hashes to. from must not be
// empty.
func byPrefix(from []*state, prefix string) *state {
	best, _ := rendezvous.Best(prefix, from, func(s *state) string { return s.Name })
	return best
}

// Predict returns the expected service time of a call in microseconds, 0 if
// unknown.
func (t *Table) Predict(pool Pool, size float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.models[pool].Predict(size)
}

// minHedgeRatio is the minimum hedging delay, as a multiple of the expected
// time. If service times vary little, a high quantile alone would hedge calls
// that are about to end.
const minHedgeRatio = 1.5

// HedgeAfter returns the time in microseconds after which to hedge a call of the
// given size, including its expected wait for a slot; 0 if unknown.
func (t *Table) HedgeAfter(u Upstream, size float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	model := t.models[u.Pool]
	if !model.InRange(size) {
		return 0
	}
	serviceUs := model.Predict(size)
	afterUs := serviceUs * max(minHedgeRatio, t.ratios[u.Pool].Value())
	if s := t.states[u.Name]; s != nil {
		afterUs += s.waitUs(time.Now(), serviceUs)
	}
	return afterUs
}

// HasFreeSlot reports whether an upstream probably has a free slot.
func (t *Table) HasFreeSlot(u Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[u.Name]
	return s != nil && s.load(time.Now()) < float64(s.Slots)
}

// EffectiveSlots returns the number of slots of a pool, where the slots of each
// upstream are divided by its slowness.
func (t *Table) EffectiveSlots(now time.Time, pool Pool) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0.0
	for _, s := range t.pools[pool] {
		if t.evacuated[s.Zone] {
			continue
		}
		slots += float64(s.Slots) / max(1, s.slowness(now))
	}
	return slots
}

// Find returns the upstream with a name.
func (t *Table) Find(name string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil {
		return Upstream{}, false
	}
	return s.Upstream, true
}
