package balance

import (
	"slices"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

const (
	// reportTTL is the age at which a load report no longer counts. Its weight
	// falls linearly until then.
	reportTTL = time.Second
	// failureWeight is the weight of a new observation in the failure rate, an
	// exponentially weighted moving average.
	failureWeight = 0.2
	// failureHalfLife is the time after which the failure rate of an upstream has
	// halved if no calls end. The decay is hyperbolic: twice the time reduces the
	// rate to a third.
	failureHalfLife = 4 * time.Second
	// failurePenalty is added to the score at a failure rate of 1, as a multiple
	// of the upstream's slots.
	failurePenalty = 8
	// crossZonePenalty is added to the score of upstreams in other availability
	// zones.
	crossZonePenalty = 0.05
	// unreachableCooldown is how long an upstream is avoided after a connection
	// to it failed.
	unreachableCooldown = time.Second
	// fullCooldown is how long an upstream is avoided after it rejected a request
	// because it was full.
	fullCooldown = 30 * time.Millisecond
	// affinityMargin is how much higher than the best score of two random
	// upstreams the score of the preferred upstream may be, as a share of the
	// slots.
	affinityMargin = 0.15
)

// Config configures a Balancer.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Random returns a number in [0, n).
	Random func(n int) int
	// Model holds the learned capacity of the upstreams, by which they are chosen; nil
	// chooses by their slots.
	Model *capacity.Model
	// Cold returns which of the candidates tolerate only a few requests at the moment, nil
	// if none does. It is asked once for each choice; nil means that none ever does.
	Cold func(now time.Time, candidates []catalog.Upstream) []bool
}

// PickInfo describes the request that an upstream is chosen for.
type PickInfo struct {
	// Prefix identifies the shared prefix of the prompt; empty for none.
	Prefix string
	// TimeLeft is the time until the request is late, 0 or less if it is late already.
	TimeLeft time.Duration
	// Exclude lists the IDs of upstreams that must not be chosen.
	Exclude []string
	// Zone is the availability zone that holds the inputs of the request; empty
	// for no preference.
	Zone string
	// InputBytes is the size of these inputs.
	InputBytes int64
	// Prompt lists the segments of the prompt in order, empty if there is none. Upstreams
	// cache prompts by prefix only if Prefix is set.
	Prompt []Segment
}

// Segment is a part of a prompt.
type Segment struct {
	ID     string
	Tokens int
}

// DoneInfo describes how a call ended.
type DoneInfo struct {
	// Failed is set if the upstream failed to serve the request.
	Failed bool
	// Unreachable is set if no connection could be opened.
	Unreachable bool
	// Full is set if the upstream rejected the request for lack of capacity.
	Full bool
	// CapacityUnknown is set if the rejection does not say that capacity was lacking. Such
	// a one teaches the model nothing.
	CapacityUnknown bool
	// GaveUp is set if the caller or the deadline ended the call.
	GaveUp bool
	// Report is the load that the upstream reported; nil for none.
	Report *Report
}

// Report is the load that an upstream reports.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is the present time of work as a multiple of the normal time; 0 if
	// unknown.
	Slowness float64
}

// state is what is known of one upstream.
type state struct {
	inFlight    int
	report      Report
	reportedAt  time.Time
	failureRate float64
	// failureRateAt is when failureRate was last updated.
	failureRateAt time.Time
	// cooldownEnds is the time until which the upstream is avoided.
	cooldownEnds time.Time
	learned      learnedState
}

// Balancer tracks the calls in flight, the failures and the reported load of
// each upstream. It is safe for concurrent use.
type Balancer struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*state
	// prefixes are those of the prompts that were sent.
	prefixes prefixMemory
	// nextCall is the number of the next Choice.
	nextCall uint64
}

// New returns a Balancer without any observations.
func New(cfg Config) *Balancer { return &Balancer{cfg: cfg, states: make(map[string]*state)} }

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Pick chooses one of the candidates and counts a call to it as in flight. It
// returns false if all candidates are excluded.
func (b *Balancer) Pick(now time.Time, info PickInfo, candidates []catalog.Upstream) (catalog.Upstream, bool) {
	c, ok := b.Choose(now, info, candidates)
	return c.Upstream, ok
}

// chooseBySlots returns the upstream with the lowest load as a share of its slots, false
// if all candidates are excluded.
func (b *Balancer) chooseBySlots(now time.Time, info PickInfo, candidates []catalog.Upstream) (catalog.Upstream, bool) {
	eligible := b.eligible(now, info, candidates)
	if len(eligible) == 0 {
		return catalog.Upstream{}, false
	}
	return b.best(now, info, eligible), true
}

// eligible returns the available candidates that aren't excluded. If there are
// none, it returns those that are silent or in a cooldown. The caller must not modify the
// result, which is candidates itself if none is left out.
func (b *Balancer) eligible(now time.Time, info PickInfo, candidates []catalog.Upstream) []catalog.Upstream {
	first := slices.IndexFunc(candidates, func(u catalog.Upstream) bool { return !b.usable(now, info, &u) })
	if first < 0 {
		return candidates
	}
	out := append(make([]catalog.Upstream, 0, len(candidates)), candidates[:first]...)
	var fallback []catalog.Upstream
	for i := first; i < len(candidates); i++ {
		switch u := &candidates[i]; {
		case b.usable(now, info, u):
			out = append(out, *u)
		case !slices.Contains(info.Exclude, u.ID):
			fallback = append(fallback, *u)
		}
	}
	if len(out) == 0 {
		return fallback
	}
	return out
}

// avoidCold returns the upstreams that are not cold if any of them is usable and has a free
// slot, and all of them otherwise.
func (b *Balancer) avoidCold(now time.Time, info PickInfo, candidates []catalog.Upstream) []catalog.Upstream {
	if b.cfg.Cold == nil {
		return candidates
	}
	cold := b.cfg.Cold(now, candidates)
	if cold == nil {
		return candidates
	}
	warm, free := make([]catalog.Upstream, 0, len(candidates)), false
	for i, u := range candidates {
		if cold[i] {
			continue
		}
		warm = append(warm, u)
		free = free || b.usable(now, info, &u) && b.load(now, u) < float64(u.Slots)
	}
	if !free {
		return candidates
	}
	return warm
}

// best returns the upstream with affinity to the request, by its prompt prefix or
// zone, or the better of two random ones if that one has a much lower score.
func (b *Balancer) best(now time.Time, info PickInfo, eligible []catalog.Upstream) catalog.Upstream {
	best, bestScore := b.betterOfTwo(now, eligible)
	preferred := eligible
	if info.Zone != "" {
		preferred = inZone(info.Zone, eligible)
	}
	if len(preferred) == 0 {
		return best
	}
	wanted, score := b.betterOfTwo(now, preferred)
	if info.Prefix != "" {
		wanted, _ = ByHash(info.Prefix, preferred)
		score = b.score(now, wanted)
	}
	if score <= bestScore+affinityMargin {
		return wanted
	}
	return best
}

// betterOfTwo draws two upstreams at random and returns the one with the lower
// score, and that score.
func (b *Balancer) betterOfTwo(now time.Time, from []catalog.Upstream) (catalog.Upstream, float64) {
	u := from[b.cfg.Random(len(from))]
	v := from[b.cfg.Random(len(from))]
	uScore, vScore := b.score(now, u), b.score(now, v)
	if vScore < uScore {
		return v, vScore
	}
	return u, uScore
}

func inZone(zone string, from []catalog.Upstream) []catalog.Upstream {
	var out []catalog.Upstream
	for _, u := range from {
		if u.Zone == zone {
			out = append(out, u)
		}
	}
	return out
}

// score returns the expected load of an upstream as a share of its slots, scaled
// by its slowness, plus penalties for failures and for another zone. Lower is
// better.
func (b *Balancer) score(now time.Time, u catalog.Upstream) float64 {
	s := b.state(u.ID)
	score := (b.load(now, u) + 1) / float64(max(1, u.Slots))
	if s.report.Slowness > 0 && now.Sub(s.reportedAt) < reportTTL {
		score *= s.report.Slowness
	}
	score += failurePenalty * s.decayedFailureRate(now)
	if u.Zone != b.cfg.Zone {
		score += crossZonePenalty
	}
	return score
}

// load returns the expected number of requests at an upstream.
func (b *Balancer) load(now time.Time, u catalog.Upstream) float64 {
	s := b.state(u.ID)
	load := float64(s.inFlight)
	if weight := 1 - now.Sub(s.reportedAt).Seconds()/reportTTL.Seconds(); weight > 0 {
		reported := float64(s.report.Running + s.report.Waiting)
		load = max(load, reported*weight)
	}
	return load
}

// decayedFailureRate returns the failure rate, which decays while no calls end so
// that the upstream is tried again.
func (s *state) decayedFailureRate(now time.Time) float64 {
	if s.failureRate == 0 {
		return 0
	}
	halfLives := now.Sub(s.failureRateAt).Seconds() / failureHalfLife.Seconds()
	return s.failureRate / (1 + halfLives)
}

// Done records the end of a call.
func (b *Balancer) Done(now time.Time, id string, e DoneInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
	s.inFlight = max(0, s.inFlight-1)
	rate := s.decayedFailureRate(now) * (1 - failureWeight)
	if e.Failed {
		rate += failureWeight
	}
	s.failureRate, s.failureRateAt = rate, now
	if b.cfg.Model != nil {
		b.learnEnd(now, id, s, e)
	}
	switch {
	case e.Unreachable:
		s.cooldownEnds = now.Add(unreachableCooldown)
	case e.Full:
		s.cooldownEnds = now.Add(fullCooldown)
	}
	if e.Report != nil {
		s.setReport(now, *e.Report)
	}
}

// Report records the load that an upstream reported during a call.
func (b *Balancer) Report(now time.Time, id string, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(id).setReport(now, r)
}

// setReport records a report of the upstream.
func (s *state) setReport(now time.Time, r Report) {
	s.learned.setReport(now, r, s.inFlight)
	s.report, s.reportedAt = r, now
}

// Forget drops the observations of an upstream that was removed.
func (b *Balancer) Forget(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[id]; s != nil && b.cfg.Model != nil {
		b.cfg.Model.Forget(s.learned.service, id)
	}
	delete(b.states, id)
}

// ByHash returns the upstream that a key hashes to, which is the same on every
// entry. It returns false if there are no upstreams.
func ByHash(key string, from []catalog.Upstream) (catalog.Upstream, bool) {
	return rendezvous.Best(key, from, func(u catalog.Upstream) string { return u.ID })
}
