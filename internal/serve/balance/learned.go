package balance

import (
	"math"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

const (
	// draws is the number of upstreams that are drawn at random, of which the one with the
	// least expected time is chosen. With two, both are often slow ones where the speeds
	// differ; with all, entries would choose the same upstream by the same old reports.
	draws = 4
	// maxDraws bounds the random draws in search of eligible upstreams.
	maxDraws = 4 * draws
	// maxScanned bounds the upstreams that are looked at if those drawn are unavailable or
	// full, to bound the time of the decision.
	maxScanned = 12
	// failureFactor is the multiple of the expected time that is added at a failure rate of
	// 1.
	failureFactor = 8
	// crossZoneTime is the expected time of a round trip to another availability zone.
	crossZoneTime = 3 * time.Millisecond
	// inputTimePerMiB is the time by which inputs in another availability zone delay a
	// request, and maxInputTime its bound. Links carry 7.5 to 100 Mbit/s, and an upstream
	// fetches several inputs at once.
	inputTimePerMiB = 250 * time.Millisecond
	maxInputTime    = 250 * time.Millisecond
	// unavailableTime is added for upstreams that are silent, in a cooldown or expected to
	// refuse the request, so that they are chosen only if there are no others.
	unavailableTime = 10 * time.Second
	// otherLoadHalfLife is the time in which the reported load of other processes returns
	// half way to its average.
	otherLoadHalfLife = 500 * time.Millisecond
	// averageLoadHalfLife is the time in which that average halves without reports.
	averageLoadHalfLife = 10 * time.Second
	// averageLoadWeight is the weight of a new report in the average.
	averageLoadWeight = 0.2
	// slownessTTL is the age at which a reported slowness no longer counts. It changes many
	// times a second, and disturbances last about as long.
	slownessTTL = 300 * time.Millisecond
	// slownessAverageWeight is the weight of a new report in the average slowness.
	slownessAverageWeight = 0.05
	// maxSlownessRatio bounds the reported slowness relative to its average.
	maxSlownessRatio = 3
	// overdueRatio is the multiple of its expected time from which an unanswered request
	// counts as evidence of a slow upstream.
	overdueRatio = 2
	// assumedCached is the share of a shared prefix that the upstream that the prefix hashes
	// to is assumed to have cached from the requests of other entries.
	assumedCached = 0.95
	// inTimeShare is the share of the time until a request is late within which it is
	// expected at an upstream that has its prefix cached, for that one to be chosen although
	// another is faster. Reading the prefix anew would delay others, and the request is in
	// time either way.
	inTimeShare = 0.5
	// rereadCost is the cost of reading a shared prefix anew, as a multiple of the time that
	// it takes from each request that runs there: the copy also takes the place of other
	// prefixes in the cache, which are then read anew too.
	rereadCost = 2
)

// Choice is the upstream chosen for a request. It counts as in flight until Done.
type Choice struct {
	catalog.Upstream
	// Expected is the expected time to the first event or to the answer, 0 if unknown.
	Expected time.Duration
	// Full is set if the upstream is expected to refuse the request.
	Full bool

	call        uint64
	sentAt      time.Time
	work, load  float64
	assumedWork bool
}

// learnedState is what choices by learned capacity need to know of one upstream.
type learnedState struct {
	service     string
	startTimeMs int64
	// others is the load that other processes caused at the last report, othersAverage its
	// moving average.
	others, othersAverage float64
	reportedAt            time.Time
	slownessAverage       float64
	// waiting are the own calls without a first event or an answer.
	waiting []waitingCall
}

// waitingCall is a call that was sent at a time and is expected to be answered within
// another.
type waitingCall struct {
	call     uint64
	sentAt   time.Time
	expected time.Duration
}

// setReport updates the load of other processes, given the own calls in flight.
func (l *learnedState) setReport(now time.Time, r Report, inFlight int) {
	others := max(0, float64(r.Running+r.Waiting-inFlight))
	if l.reportedAt.IsZero() {
		l.othersAverage = others
	}
	l.othersAverage += averageLoadWeight * (others - l.othersAverage)
	l.others, l.reportedAt = others, now
	if r.Slowness > 0 {
		if l.slownessAverage == 0 {
			l.slownessAverage = r.Slowness
		}
		l.slownessAverage += slownessAverageWeight * (r.Slowness - l.slownessAverage)
	}
}

// otherLoad returns the expected number of requests that other processes have at the
// upstream.
func (l *learnedState) otherLoad(now time.Time) float64 {
	if l.reportedAt.IsZero() {
		return 0
	}
	age := now.Sub(l.reportedAt).Seconds()
	average := l.othersAverage * math.Exp2(-age/averageLoadHalfLife.Seconds())
	return average + (l.others-average)*math.Exp2(-age/otherLoadHalfLife.Seconds())
}

// slownessRatio returns the slowness just reported as a multiple of its average.
func (s *state) slownessRatio(now time.Time) float64 {
	fresh := 1 - now.Sub(s.reportedAt).Seconds()/slownessTTL.Seconds()
	if fresh <= 0 || s.report.Slowness <= 0 || s.learned.slownessAverage <= 0 {
		return 1
	}
	ratio := min(maxSlownessRatio, max(1/maxSlownessRatio, s.report.Slowness/s.learned.slownessAverage))
	return 1 + (ratio-1)*fresh
}

// overdue returns the time that the longest overdue call has waited as a multiple of its
// expected time, 1 if none is overdue.
func (l *learnedState) overdue(now time.Time) float64 {
	most := 1.0
	for _, w := range l.waiting {
		if w.expected <= 0 {
			continue
		}
		if ratio := now.Sub(w.sentAt).Seconds() / w.expected.Seconds(); ratio > overdueRatio {
			most = max(most, ratio)
		}
	}
	return most
}

// Choose chooses one of the candidates and counts a call to it as in flight. It returns
// false if all candidates are excluded.
func (b *Balancer) Choose(now time.Time, info PickInfo, candidates []catalog.Upstream) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates = b.avoidCold(now, info, candidates)
	if b.cfg.Model == nil {
		u, ok := b.chooseBySlots(now, info, candidates)
		if ok {
			b.state(u.ID).inFlight++
		}
		return Choice{Upstream: u}, ok
	}
	p := b.prefixes.newPrompt(info)
	e, ok := b.bestLearned(now, info, &p, candidates)
	if !ok {
		return Choice{}, false
	}
	s := b.state(e.upstream.ID)
	s.inFlight++
	b.prefixes.sent(now, &p, e.upstream)
	b.nextCall++
	s.learned.waiting = append(s.learned.waiting, waitingCall{call: b.nextCall, sentAt: now, expected: e.prediction.Took})
	return Choice{
		Upstream: *e.upstream, Expected: e.prediction.Took, Full: e.prediction.Full,
		call: b.nextCall, sentAt: now, work: e.work, load: e.load, assumedWork: e.assumed,
	}, true
}

// Expected returns the expected time of a request at the upstream that would be chosen,
// false if nothing is known.
func (b *Balancer) Expected(now time.Time, info PickInfo, candidates []catalog.Upstream) (time.Duration, bool) {
	if b.cfg.Model == nil {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.prefixes.newPrompt(info)
	e, ok := b.bestLearned(now, info, &p, candidates)
	return e.prediction.Took, ok && e.prediction.Took > 0
}

// estimate is what is expected of a request at one upstream.
type estimate struct {
	upstream   *catalog.Upstream
	prediction capacity.Prediction
	work, load float64
	// assumed is set if the work counts a prefix as cached that only other entries may have
	// sent.
	assumed bool
	// cost is the expected time with everything that speaks against the upstream.
	cost float64
}

// bestLearned returns the upstream with the least cost among some drawn at random and
// those that probably have the prompt's prefix cached. Before anything is known of the
// service it chooses by slots.
func (b *Balancer) bestLearned(now time.Time, info PickInfo, p *prompt, candidates []catalog.Upstream) (estimate, bool) {
	if len(candidates) == 0 {
		return estimate{}, false
	}
	if _, known := b.cfg.Model.Predict(now, capacity.Query{Service: candidates[0].Service}); !known {
		u, ok := b.chooseBySlots(now, info, candidates)
		return b.estimate(now, info, p, &u, false), ok
	}
	best := estimate{cost: math.Inf(1)}
	cached := best
	consider := func(u *catalog.Upstream, assumed bool) {
		e := b.estimate(now, info, p, u, assumed)
		if e.cost < best.cost {
			best = e
		}
		if e.work < float64(p.total) && e.cost < cached.cost {
			cached = e
		}
	}
	b.draw(now, info, candidates, func(u *catalog.Upstream) { consider(u, false) })
	if info.Prefix != "" {
		holders, homeID := p.longestHeld(), b.prefixes.home(now, info.Prefix, info.Zone, candidates)
		for i := range candidates {
			u := &candidates[i]
			isHome := u.ID == homeID
			if (isHome || heldBy(holders, u.ID)) && b.usable(now, info, u) {
				consider(u, isHome)
			}
		}
	}
	if cached.upstream != nil && cached.cost < inTimeShare*info.TimeLeft.Seconds() {
		return cached, true
	}
	if best.upstream != nil && !best.prediction.Full {
		return best, true
	}
	// What was drawn is unavailable or full: look at more, first at those that are usable.
	b.scan(candidates, func(u *catalog.Upstream) bool {
		usable := b.usable(now, info, u)
		if usable {
			consider(u, false)
		}
		return usable
	})
	if best.upstream == nil {
		b.scan(candidates, func(u *catalog.Upstream) bool {
			excluded := slices.Contains(info.Exclude, u.ID)
			if !excluded {
				consider(u, false)
			}
			return !excluded
		})
	}
	return best, best.upstream != nil
}

// scan calls look with the candidates from a random one on, until look has returned true
// maxScanned times.
func (b *Balancer) scan(candidates []catalog.Upstream, look func(u *catalog.Upstream) bool) {
	first, found := b.cfg.Random(len(candidates)), 0
	for i := 0; i < len(candidates) && found < maxScanned; i++ {
		if look(&candidates[(first+i)%len(candidates)]) {
			found++
		}
	}
}

// draw calls consider with some of the usable candidates at random, or with all of them if
// there are few. Half of the draws prefer the zone of the inputs.
func (b *Balancer) draw(now time.Time, info PickInfo, candidates []catalog.Upstream, consider func(u *catalog.Upstream)) {
	first := b.cfg.Random(len(candidates))
	if len(candidates) <= draws {
		for i := range candidates {
			if u := &candidates[(first+i)%len(candidates)]; b.usable(now, info, u) {
				consider(u)
			}
		}
		return
	}
	drawn := 0
	for tries := 0; tries < maxDraws && drawn < draws; tries++ {
		u := &candidates[b.cfg.Random(len(candidates))]
		preferZone := info.Zone != "" && tries < maxDraws/2
		if b.usable(now, info, u) && (!preferZone || u.Zone == info.Zone) {
			consider(u)
			drawn++
		}
	}
}

// usable reports whether an upstream is neither excluded nor silent nor in a cooldown.
func (b *Balancer) usable(now time.Time, info PickInfo, u *catalog.Upstream) bool {
	return !u.Silent && !slices.Contains(info.Exclude, u.ID) && !now.Before(b.state(u.ID).cooldownEnds)
}

// estimate returns what is expected of a request at an upstream.
func (b *Balancer) estimate(now time.Time, info PickInfo, p *prompt, u *catalog.Upstream, home bool) estimate {
	s := b.state(u.ID)
	if s.learned.startTimeMs != u.StartTimeMs && s.learned.service != "" {
		// A new start of the upstream has a new process, perhaps on another machine.
		b.cfg.Model.Forget(u.Service, u.ID)
	}
	s.learned.service, s.learned.startTimeMs = u.Service, u.StartTimeMs
	e := estimate{upstream: u, load: float64(s.inFlight) + s.learned.otherLoad(now) + 1}
	cached := p.cached(now, u)
	if assumed := int(assumedCached * float64(p.cachable)); home && assumed > cached {
		cached, e.assumed = assumed, true
	}
	e.work = float64(p.total - cached)
	prediction, known := b.cfg.Model.Predict(now, b.query(s, u, e.work, e.load))
	e.prediction = prediction
	if !known {
		return e
	}
	e.cost = (prediction.Took.Seconds() + rereadCost*e.rereadTime(p.cachable-cached)*e.load) * s.slownessRatio(now) * s.learned.overdue(now) * (1 + failureFactor*s.decayedFailureRate(now))
	if prediction.Allowed > 0 && s.inFlight >= prediction.Allowed {
		// A new upstream gets more only as it answers.
		e.cost *= 2 * float64(s.inFlight+1) / float64(prediction.Allowed)
	}
	if u.Zone != b.cfg.Zone {
		e.cost += crossZoneTime.Seconds()
	}
	if info.Zone != "" && u.Zone != info.Zone {
		e.cost += min(maxInputTime.Seconds(), float64(info.InputBytes)/(1<<20)*inputTimePerMiB.Seconds())
	}
	if prediction.Full || u.Silent || now.Before(s.cooldownEnds) {
		e.cost += unavailableTime.Seconds()
	}
	return e
}

// rereadTime returns the seconds that the upstream spends on the tokens of a shared prefix
// that it does not have cached. An engine reads them between the tokens of the requests that
// it runs, and delays each of these by as long.
func (e estimate) rereadTime(uncached int) float64 {
	if uncached <= 0 || e.work <= 0 {
		return 0
	}
	return e.prediction.WorkTime.Seconds() * min(1, float64(uncached)/e.work)
}

// query returns the query for a request at an upstream.
func (b *Balancer) query(s *state, u *catalog.Upstream, work, load float64) capacity.Query {
	slots := s.report.Slots
	if slots == 0 {
		slots = u.Slots
	}
	return capacity.Query{Service: u.Service, Upstream: u.ID, Work: work, Load: load, Slots: float64(slots)}
}

// Cancel undoes a choice whose call was not made.
func (b *Balancer) Cancel(c Choice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(c.ID)
	s.inFlight = max(0, s.inFlight-1)
	s.learned.removeWaiting(c.call)
}

// Begun records that the first event or the answer of a call has arrived.
func (b *Balancer) Begun(now time.Time, c Choice) { b.observe(now, c, true, false) }

// End records the end of a call, as Done does, and that it waits for no answer any more.
func (b *Balancer) End(now time.Time, c Choice, e DoneInfo) {
	b.observe(now, c, e.GaveUp, true)
	b.Done(now, c.ID, e)
}

// observe ends the wait of a call, and passes the time that it took to the model if learn
// is set. atLeast is set if there was no answer by then.
func (b *Balancer) observe(now time.Time, c Choice, learn, atLeast bool) {
	if b.cfg.Model == nil || c.call == 0 {
		return
	}
	b.mu.Lock()
	s := b.state(c.ID)
	waited := s.learned.removeWaiting(c.call)
	query := b.query(s, &c.Upstream, c.work, c.load)
	b.mu.Unlock()
	if waited && learn && !c.assumedWork {
		b.cfg.Model.Observe(now, capacity.Observation{Query: query, Took: now.Sub(c.sentAt), AtLeast: atLeast})
	}
}

// removeWaiting removes a call from those that wait and reports whether it was there.
func (l *learnedState) removeWaiting(call uint64) bool {
	before := len(l.waiting)
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingCall) bool { return w.call == call })
	return len(l.waiting) < before
}

// learnEnd passes on what the end of a call says of the capacity of its upstream.
func (b *Balancer) learnEnd(now time.Time, id string, s *state, e DoneInfo) {
	if !e.Full || e.CapacityUnknown || s.learned.service == "" {
		return
	}
	load := float64(s.inFlight) + s.learned.otherLoad(now)
	if e.Report != nil {
		load = float64(e.Report.Running + e.Report.Waiting)
	}
	b.cfg.Model.Full(now, s.learned.service, id, load)
}
