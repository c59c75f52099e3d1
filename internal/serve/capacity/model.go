package capacity

import (
	"math"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/estimate"
)

const (
	// maxPace bounds the pace of an upstream and its inverse.
	maxPace = 50
	// maxStep bounds the ratio by which one observation may differ from the expected time
	// when the line and the growth are learned from it.
	maxStep = 2.5
	// typicalEvidence is the weight of the typical pace against the observed one. It is
	// small, so that an upstream that is observed keeps its own pace, and one that has not
	// been observed for half a minute counts as typical.
	typicalEvidence = 0.3
	// pooledFactor is the weight of a pooled pace relative to that of an own one. It decides
	// where an entry has observed little, while the entries go on to differ where each has
	// observed enough.
	pooledFactor = 0.7
	// medianInterval is how often the median pace of a service is computed.
	medianInterval = 250 * time.Millisecond
	// keepsPace is the growth up to which an upstream is said to keep its pace.
	keepsPace = 1.5
	// limitHalfLife is the time in which the distance of a limit to twice its value
	// halves, so that an upstream that had to refuse is tried again above it. The size of a
	// queue seldom changes, and an answer at a higher load raises the limit at once.
	limitHalfLife = time.Minute
	// startAnswers is the number of answers from which an upstream counts as known. Before,
	// it gets one request more than it has given answers.
	startAnswers = 8
	// maxTime bounds predictions.
	maxTime = time.Hour
	// retention is how long an upstream that is not observed is kept.
	retention = 10 * time.Minute
)

// Query describes an exchange whose time is asked for.
type Query struct {
	Service, Upstream string
	// Work is the size of the work beyond its fixed part: tokens of a prompt that are not
	// cached, or pieces of a call; 0 where all requests are alike.
	Work float64
	// Load is the number of requests that the upstream has, this one included.
	Load float64
	// Slots is the number of requests that the upstream says it runs at once, 0 if it says
	// nothing.
	Slots float64
}

// Observation is an exchange that has ended.
type Observation struct {
	Query
	// Took is the time to the first event or to the answer.
	Took time.Duration
	// AtLeast is set if the exchange was given up after Took.
	AtLeast bool
}

// Model holds what is known of the upstreams of each service. It is safe for concurrent
// use.
type Model struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of the upstreams of one service.
type service struct {
	// line is the time of the work in microseconds at low load.
	line   estimate.LinearModel
	growth curve
	// median is the logarithm of the median pace over the line, as of medianAt.
	median   float64
	medianAt time.Time
	// load is the average load that observed exchanges met, work their average size.
	load, work float64
	upstreams  map[string]*upstream
	// pooled are the paces that the pooling entry has sent, by the hash of the upstream.
	pooled map[uint32]pooledPace
}

// upstream is what is known of one upstream.
type upstream struct {
	pace      paceWindows
	deviation curve
	// limit is the number of requests at which the upstream last refused one, 0 if it
	// never did.
	limit   float64
	limitAt time.Time
	answers int
	usedAt  time.Time
	// slots are those that the upstream last reported.
	slots float64
	// slow is the last judgement, see Judge.
	slow bool
	// hash identifies the upstream in the messages between entries.
	hash uint32
	// unreported are the observations since the last report to the pooling entry at
	// reportedAt.
	unreported []float64
	reportedAt time.Time
}

// NewModel returns a Model that knows nothing.
func NewModel() *Model { return &Model{services: make(map[string]*service)} }

func (m *Model) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{upstreams: make(map[string]*upstream), pooled: make(map[uint32]pooledPace)}
		m.services[name] = s
	}
	return s
}

func (s *service) upstream(id string) *upstream {
	u := s.upstreams[id]
	if u == nil {
		u = &upstream{hash: hashOf(id)}
		s.upstreams[id] = u
	}
	return u
}

// Observe records an exchange.
func (m *Model) Observe(now time.Time, o Observation) {
	if o.Took <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(o.Service)
	u := s.upstream(o.Upstream)
	u.usedAt = now
	if o.AtLeast {
		s.observeAtLeast(now, u, o)
		return
	}
	u.answers = min(u.answers+1, startAnswers)
	if limit := u.limitNow(now); o.Load > limit {
		u.limit, u.limitAt = o.Load, now
	}
	if !s.line.HasSamples() {
		s.load = o.Load
	}
	s.load += loadWeight * (o.Load - s.load)
	if o.Slots > 0 {
		u.slots = o.Slots
	}
	took := microseconds(o.Took)
	growth := s.growth.growth(o.Load, o.Slots)
	if !s.line.HasSamples() {
		s.line = s.line.WithSample(o.Work, took/math.Exp(growth))
		s.work = o.Work
	}
	s.work += loadWeight * (o.Work - s.work)
	deviation := u.deviation.deviation(o.Load)
	logPace := clamp(math.Log(took/s.expected(o.Query))-deviation, math.Log(maxPace))
	// What the pace does not explain is learned by the slower parts of the model.
	rest := clamp(logPace-s.relativePace(now, u), math.Log(maxStep))
	u.addPace(now, logPace, s.medianPace(now))
	s.line = s.line.WithSample(o.Work, max(1, s.line.Predict(o.Work))*math.Exp(rest))
	s.growth.add(o.Load, growth+rest)
	u.deviation.add(o.Load, deviation+rest-s.median)
}

// microseconds returns a duration as a number that is never 0.
func microseconds(d time.Duration) float64 { return float64(d.Microseconds()) + 1 }

// addPace records the logarithm of a pace over the line, of which median is the typical one.
func (u *upstream) addPace(now time.Time, logPace, median float64) {
	u.pace.add(now, logPace)
	if len(u.unreported) < windowSamples {
		u.unreported = append(u.unreported, logPace-median)
	}
}

// expected returns the time of an exchange in microseconds at an upstream of typical pace.
// Requests beyond the slots wait for the work of others, which is of average size.
func (s *service) expected(q Query) float64 {
	full := q.Load
	if q.Slots > 0 {
		full = min(q.Load, q.Slots)
	}
	running := math.Exp(s.growth.growth(full, q.Slots))
	waiting := 0.0
	if full < q.Load {
		waiting = max(0, math.Exp(s.growth.growth(q.Load, q.Slots))-running)
	}
	return max(1, s.line.Predict(q.Work))*running + max(1, s.line.Predict(s.work))*waiting
}

// loadWeight is the weight of a new observation in the average load and work.
const loadWeight = 0.05

// observeAtLeast records an exchange that was given up: its time bounds the pace from
// below only.
func (s *service) observeAtLeast(now time.Time, u *upstream, o Observation) {
	if !s.line.HasSamples() {
		return
	}
	logPace := clamp(math.Log(microseconds(o.Took)/s.expected(o.Query))-u.deviation.deviation(o.Load), math.Log(maxPace))
	if typical := s.medianPace(now); logPace > typical+s.relativePace(now, u) {
		u.addPace(now, logPace, typical)
	}
}

// Full records that an upstream refused a request when it had load requests.
func (m *Model) Full(now time.Time, service, id string, load float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.service(service).upstream(id)
	u.usedAt = now
	u.limit, u.limitAt = max(1, load), now
}

// limitNow returns the number of requests above which the upstream is expected to refuse
// them, infinite if it is not known. It rises to twice its value while nothing is refused,
// and is then forgotten.
func (u *upstream) limitNow(now time.Time) float64 {
	if u.limit == 0 {
		return math.Inf(1)
	}
	halfLives := now.Sub(u.limitAt).Seconds() / limitHalfLife.Seconds()
	if halfLives > 10 {
		return math.Inf(1)
	}
	return u.limit * (2 - math.Exp2(-halfLives))
}

// medianPace returns the logarithm of the median pace of the upstreams that were observed.
func (s *service) medianPace(now time.Time) float64 {
	if !s.medianAt.IsZero() && now.Sub(s.medianAt) < medianInterval {
		return s.median
	}
	var values []float64
	for _, u := range s.upstreams {
		if u.pace.weight(now) >= typicalEvidence {
			values = append(values, u.pace.value)
		}
	}
	if len(values) > 0 {
		s.median = median(values)
	} else {
		// Nothing is observed any more: the line is the better guess after a while.
		s.median *= decayed(1, now.Sub(s.medianAt))
	}
	s.medianAt = now
	return s.median
}

// relativePace returns the logarithm of the pace of an upstream relative to the median of
// its service.
func (s *service) relativePace(now time.Time, u *upstream) float64 {
	own := u.pace.weight(now)
	pooled := s.pooled[u.hash]
	pooledWeight := pooled.weight(now)
	if own+pooledWeight == 0 {
		return 0
	}
	return (own*(u.pace.value-s.medianPace(now)) + pooledWeight*pooled.pace) / (own + pooledWeight + typicalEvidence)
}

// Prediction is what is expected of an exchange.
type Prediction struct {
	// Took is the time to the first event or to the answer.
	Took time.Duration
	// WorkTime is the part of Took at low load that is due to the work beyond its fixed
	// part. For that long the upstream gets on with other requests more slowly.
	WorkTime time.Duration
	// Full is set if the upstream is expected to refuse the request.
	Full bool
	// Allowed is the number of requests that this process may have in flight while the
	// upstream is new; 0 sets no bound.
	Allowed int
}

// Predict returns what is expected of an exchange, false if nothing is known of the
// service.
func (m *Model) Predict(now time.Time, q Query) (Prediction, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[q.Service]
	if s == nil || !s.line.HasSamples() {
		return Prediction{}, false
	}
	return s.predict(now, q), true
}

func (s *service) predict(now time.Time, q Query) Prediction {
	p := Prediction{Allowed: 1}
	logTime := s.medianPace(now) + s.paceOf(now, q.Upstream)
	if u := s.upstreams[q.Upstream]; u != nil {
		logTime += u.deviation.deviation(q.Load)
		p.Full = q.Load > u.limitNow(now)
		p.Allowed = u.answers + 1
		if u.answers >= startAnswers {
			p.Allowed = 0
		}
	}
	p.Took = duration(s.expected(q) * math.Exp(logTime))
	p.WorkTime = duration(max(0, s.line.Predict(q.Work)-s.line.Predict(0)) * math.Exp(logTime))
	return p
}

// duration returns a number of microseconds as a duration of at most maxTime.
func duration(us float64) time.Duration {
	return time.Duration(min(us, float64(maxTime.Microseconds())) * float64(time.Microsecond))
}

// Typical returns the expected time on a typical upstream at the usual load, false if
// nothing is known of the service.
func (m *Model) Typical(now time.Time, service string, work float64) (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil || !s.line.HasSamples() {
		return 0, false
	}
	slots := 0.0
	for _, u := range s.upstreams {
		slots = max(slots, u.slots)
	}
	q := Query{Work: work, Load: s.load, Slots: slots}
	return duration(s.expected(q) * math.Exp(s.medianPace(now))), true
}

// Pace returns the time of work on an upstream as a multiple of the typical time, 1 if
// nothing is known.
func (m *Model) Pace(now time.Time, service, id string) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return 1
	}
	return math.Exp(s.paceOf(now, id))
}

// paceOf returns the logarithm of the pace of an upstream, which this process need not have
// observed itself.
func (s *service) paceOf(now time.Time, id string) float64 {
	if u := s.upstreams[id]; u != nil {
		return s.relativePace(now, u)
	}
	return s.pooled[hashOf(id)].estimate(now)
}

// concurrency returns the number of requests up to which an upstream keeps its pace.
func (s *service) concurrency(now time.Time, u *upstream) float64 {
	limit := min(u.limitNow(now), 1<<(growthPoints-1))
	low := s.growth.growth(1, u.slots) + u.deviation.deviation(1)
	keeps := func(load float64) bool {
		return s.growth.growth(load, u.slots)+u.deviation.deviation(load)-low <= math.Log(keepsPace)
	}
	best := 1.0
	for best*2 <= limit && keeps(best*2) {
		best *= 2
	}
	above := min(limit, best*2)
	for above-best > 0.1*best {
		if middle := (best + above) / 2; keeps(middle) {
			best = middle
		} else {
			above = middle
		}
	}
	return math.Floor(best)
}

// Forget drops what is known of an upstream.
func (m *Model) Forget(service, id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.services[service]; s != nil {
		delete(s.upstreams, id)
		delete(s.pooled, hashOf(id))
	}
}

func clamp(v, most float64) float64 { return min(most, max(-most, v)) }
