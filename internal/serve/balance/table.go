package balance

import (
	"slices"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/rendezvous"
)

const (
	// reportLife is how long a report of load counts, falling linearly.
	reportLife = time.Second
	// failShare is the weight of a new observation in a failure rate.
	failShare = 0.2
	// failLife is the time in which a failure rate halves without calls.
	failLife = 4 * time.Second
	// failCost is what a failure rate of 1 adds to the score, in shares of
	// the slots.
	failCost = 8
	// zoneCost is what another availability zone adds to the score.
	zoneCost = 0.05
	// rest is how long an upstream is not chosen after its connection failed.
	rest = time.Second
	// fullRest is how long an upstream is not chosen after it was full.
	fullRest = 30 * time.Millisecond
	// affinityRoom is the share of the slots by which the engine of a shared
	// prompt may be fuller than the best of two others.
	affinityRoom = 0.15
)

// Config builds a Table.
type Config struct {
	// Zone is the entry's availability zone.
	Zone string
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Need describes a request to be placed.
type Need struct {
	// Prefix identifies the shared part of the prompt, empty for none.
	Prefix string
	// Except are the ids of upstreams not to use.
	Except []string
	// Zone is where the inputs of the request lie; empty for none.
	Zone string
}

// End tells how a call ended.
type End struct {
	// Failed is set where the upstream failed the request.
	Failed bool
	// Unreachable is set where no connection could be opened.
	Unreachable bool
	// Full is set where the upstream had no room.
	Full bool
	// Report is what the upstream said of its load, nil for nothing.
	Report *Report
}

// Report is an upstream's word of its load.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is how many times its usual time work takes now, 0 if unknown.
	Slowness float64
}

type state struct {
	inFlight int
	report   Report
	reported time.Time
	fails    float64
	failedAt time.Time
	restTil  time.Time
}

// Table knows the calls in flight and the reports. It is safe for concurrent
// use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*state
}

// New returns a Table that knows nothing.
func New(cfg Config) *Table { return &Table{cfg: cfg, states: make(map[string]*state)} }

func (t *Table) state(id string) *state {
	s := t.states[id]
	if s == nil {
		s = &state{}
		t.states[id] = s
	}
	return s
}

// Pick chooses among candidates and notes the call as begun. It returns false
// where none is left.
func (t *Table) Pick(now time.Time, need Need, candidates []catalog.Upstream) (catalog.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	able := t.able(now, need, candidates)
	if len(able) == 0 {
		return catalog.Upstream{}, false
	}
	best := t.best(now, need, able)
	t.state(best.ID).inFlight++
	return best, true
}

// able returns the candidates that are not excluded: those that answer, else
// those that are silent or resting.
func (t *Table) able(now time.Time, need Need, candidates []catalog.Upstream) []catalog.Upstream {
	var out, doubtful []catalog.Upstream
	for _, u := range candidates {
		if slices.Contains(need.Except, u.ID) {
			continue
		}
		if u.Silent(now) || now.Before(t.state(u.ID).restTil) {
			doubtful = append(doubtful, u)
			continue
		}
		out = append(out, u)
	}
	if len(out) == 0 {
		return doubtful
	}
	return out
}

func (t *Table) best(now time.Time, need Need, able []catalog.Upstream) catalog.Upstream {
	best, bestScore := t.ofTwo(now, able)
	near := able
	if need.Zone != "" {
		near = inZone(need.Zone, able)
	}
	if len(near) == 0 {
		return best
	}
	wanted, score := t.ofTwo(now, near)
	if need.Prefix != "" {
		wanted, _ = Warmest(need.Prefix, near)
		score = t.score(now, wanted)
	}
	if score <= bestScore+affinityRoom {
		return wanted
	}
	return best
}

// ofTwo returns the better of two upstreams drawn at random, with its score.
func (t *Table) ofTwo(now time.Time, from []catalog.Upstream) (catalog.Upstream, float64) {
	a := from[t.cfg.Random(len(from))]
	b := from[t.cfg.Random(len(from))]
	as, bs := t.score(now, a), t.score(now, b)
	if bs < as {
		return b, bs
	}
	return a, as
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

// score is the expected load in shares of the slots, with what speaks against
// the upstream added; the lowest is best.
func (t *Table) score(now time.Time, u catalog.Upstream) float64 {
	s := t.state(u.ID)
	load := float64(s.inFlight)
	if fade := 1 - now.Sub(s.reported).Seconds()/reportLife.Seconds(); fade > 0 {
		reported := float64(s.report.Running + s.report.Waiting)
		load = max(load, reported*fade)
	}
	score := (load + 1) / float64(max(1, u.Slots))
	if s.report.Slowness > 0 && now.Sub(s.reported) < reportLife {
		score *= s.report.Slowness
	}
	score += failCost * s.failing(now)
	if u.Zone != t.cfg.Zone {
		score += zoneCost
	}
	return score
}

// failing is the failure rate, which halves while nothing is sent.
func (s *state) failing(now time.Time) float64 {
	if s.fails == 0 {
		return 0
	}
	halves := now.Sub(s.failedAt).Seconds() / failLife.Seconds()
	return s.fails / (1 + halves)
}

// Ended notes the end of a call.
func (t *Table) Ended(now time.Time, id string, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.inFlight = max(0, s.inFlight-1)
	rate := s.failing(now) * (1 - failShare)
	if e.Failed {
		rate += failShare
	}
	s.fails, s.failedAt = rate, now
	switch {
	case e.Unreachable:
		s.restTil = now.Add(rest)
	case e.Full:
		s.restTil = now.Add(fullRest)
	}
	if e.Report != nil {
		s.report, s.reported = *e.Report, now
	}
}

// Report notes an upstream's word of its load while a call goes on.
func (t *Table) Report(now time.Time, id string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id)
	s.report, s.reported = r, now
}

// Forget drops an upstream that has gone.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.states, id)
}

// Warmest returns the upstream that a key hashes to, the same one on every
// entry; false where there is none.
func Warmest(key string, from []catalog.Upstream) (catalog.Upstream, bool) {
	return rendezvous.Best(key, from, func(u catalog.Upstream) string { return u.ID })
}
