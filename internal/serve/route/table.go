package route

import (
	"math"
	"sort"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/serve/estimate"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// reportTTL is the age at which a load report no longer counts. Its weight
	// falls linearly until then.
	reportTTL = time.Second
	// slownessDecay is the time constant with which the slowness of an upstream
	// decays towards 1: in this time its excess over 1 falls to about a third.
	slownessDecay = 3 * time.Second
	// slownessWeight is the weight of a new observation in the slowness, an
	// exponentially weighted moving average.
	slownessWeight = 0.3
	// minSlowness is the slowness up to which an upstream is treated like its
	// peers. With a lower threshold, noise could keep all calls away from it
	// for good.
	minSlowness = 1.2
	maxSlowness = 50
	// crossZoneUs is the cost of a call to another availability zone, in
	// microseconds of expected time.
	crossZoneUs = 3000
	// overdueRatio is the multiple of its expected time from which a call that
	// has not ended is evidence of a slow upstream.
	overdueRatio = 1.3
	// occupancyWeight is the share of the service time that is added for an
	// upstream whose slots are all in use, so that the less loaded of two is
	// chosen before either has a queue.
	occupancyWeight = 0.1
	// failureCooldown is how long an upstream is avoided after a failure.
	failureCooldown = 300 * time.Millisecond
)

// Pool identifies the upstreams that can run the same calls.
type Pool struct{ Kind, Model string }

// Upstream holds what an entry needs to know to call an upstream.
type Upstream struct {
	Name string
	// Link is the address at which its agent accepts link connections.
	Link        string
	Zone        string
	Incarnation uint64
	Slots       uint32
	Pool
}

// PickInfo describes the call that an upstream is chosen for.
type PickInfo struct {
	Pool
	// Size is the predicted size of the work.
	Size float64
	// Prefix is the shared prefix of the prompt; empty for none.
	Prefix string
	// Exclude lists the names of upstreams that must not be chosen.
	Exclude []string
	// Zones lists the allowed availability zones; empty allows all.
	Zones []string
}

// Call is a call that was sent to an upstream.
type Call struct {
	Upstream Upstream
	id       uint64
	began    time.Time
	// expectUs is the expected service time in microseconds, 0 if unknown.
	expectUs float64
	// waitUs is the expected wait for a slot in microseconds.
	waitUs float64
	size   float64
}

// elapsedRatio returns the time since the call began as a multiple of its
// expected time, 0 if that is unknown. The expected time includes the wait for
// a slot, since a queue doesn't make an upstream slow.
func (c Call) elapsedRatio(now time.Time) float64 {
	if c.expectUs <= 0 {
		return 0
	}
	return float64(now.Sub(c.began).Microseconds()) / (c.expectUs + c.waitUs)
}

// DoneInfo describes how a call ended.
type DoneInfo struct {
	// ServiceUs is the service time on the upstream in microseconds, 0 if the
	// call didn't complete there.
	ServiceUs int64
	// QueueUs is the time in the agent's queue in microseconds.
	QueueUs int64
	// Report is the agent's load report, nil for none.
	Report *fleetpb.Word
	// Superseded is set if another upstream answered first.
	Superseded bool
	// Failed is set if the upstream or the connection to it failed.
	Failed bool
}

// state is what is known of one upstream.
type state struct {
	Upstream
	// calls holds the entry's own calls in flight.
	calls      map[uint64]Call
	report     *fleetpb.Word
	reportedAt time.Time
	// begunSince is the number of calls begun since the report.
	begunSince int
	// lastSlowness is the slowness observed at slownessAt.
	lastSlowness float64
	slownessAt   time.Time
	// cooldownEnds is the time until which the upstream is avoided.
	cooldownEnds time.Time
}

// Config configures a Table.
type Config struct {
	// Entry is the name of the entry. The subset of upstreams depends on it, so
	// that entries use different subsets.
	Entry string
	// Zone is the entry's availability zone.
	Zone string
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Table holds what an entry knows about the upstreams. It is safe for concurrent
// use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*state
	pools  map[Pool][]*state
	// models predict service times from sizes.
	models map[Pool]estimate.LinearModel
	// ratios hold a quantile of the service times as multiples of the expected
	// time.
	ratios map[Pool]estimate.Quantile
	byLink map[string]*state
	// roundRobin counts the picks of the baseline policy.
	roundRobin map[Pool]int
	nextID     uint64
	// evacuated holds the evacuated availability zones.
	evacuated map[string]bool
	// quantile is the quantile in ratios, which sets the hedging delay.
	quantile float64
}

// NewTable returns a Table without upstreams.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:        cfg,
		states:     make(map[string]*state),
		pools:      make(map[Pool][]*state),
		models:     make(map[Pool]estimate.LinearModel),
		ratios:     make(map[Pool]estimate.Quantile),
		byLink:     make(map[string]*state),
		roundRobin: make(map[Pool]int),
	}
}

// Update replaces the members of the fleet. Only agents that are alive and whose
// upstream has announced itself are eligible.
func (t *Table) Update(members []*fleetpb.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make(map[string]*state)
	for _, m := range members {
		if m.Role != "agent" || m.Kind == "" || m.State != fleetpb.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		states[m.Name] = t.refresh(m)
	}
	t.states = states
	t.pools = make(map[Pool][]*state)
	t.byLink = make(map[string]*state)
	for _, s := range states {
		t.pools[s.Pool] = append(t.pools[s.Pool], s)
		t.byLink[s.Link] = s
	}
	for pool := range t.pools {
		t.sortPool(t.pools[pool])
	}
}

// refresh returns the state of a member with its present attributes. What was
// observed of an earlier incarnation is dropped.
func (t *Table) refresh(m *fleetpb.Member) *state {
	u := Upstream{
		Name:        m.Name,
		Link:        m.Link,
		Zone:        m.Zone,
		Incarnation: m.Incarnation,
		Slots:       m.Slots,
		Pool:        Pool{Kind: m.Kind, Model: m.Model},
	}
	have := t.states[m.Name]
	if have == nil || have.Incarnation != m.Incarnation {
		return &state{Upstream: u, calls: make(map[uint64]Call), lastSlowness: 1}
	}
	have.Upstream = u
	return have
}

// sortPool orders the upstreams of a pool for this entry: those in its own zone
// first, then by a hash that differs between entries.
func (t *Table) sortPool(pool []*state) {
	sort.Slice(pool, func(i, j int) bool {
		a, b := pool[i], pool[j]
		if (a.Zone == t.cfg.Zone) != (b.Zone == t.cfg.Zone) {
			return a.Zone == t.cfg.Zone
		}
		return rendezvous.Weight(t.cfg.Entry, a.Name) > rendezvous.Weight(t.cfg.Entry, b.Name)
	})
}

// Report records a load report that the agent at a link address sent with a
// heartbeat.
func (t *Table) Report(now time.Time, address string, r *fleetpb.Word) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byLink[address]; s != nil && r != nil {
		s.setReport(now, r)
	}
}

func (s *state) setReport(now time.Time, r *fleetpb.Word) {
	s.report, s.reportedAt, s.begunSince = r, now, 0
}

// Begin records that a call is sent to an upstream.
func (t *Table) Begin(now time.Time, u Upstream, info PickInfo) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	c := Call{
		Upstream: u,
		id:       t.nextID,
		began:    now,
		size:     info.Size,
	}
	if model := t.models[u.Pool]; model.InRange(info.Size) {
		c.expectUs = model.Predict(info.Size)
	}
	if s := t.states[u.Name]; s != nil {
		c.waitUs = s.waitUs(now, c.expectUs)
		s.calls[c.id] = c
		s.begunSince++
	}
	return c
}

// Done records how a call ended.
func (t *Table) Done(now time.Time, c Call, e DoneInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := c.Upstream.Pool
	s := t.states[c.Upstream.Name]
	if s != nil {
		delete(s.calls, c.id)
		if e.Report != nil {
			s.setReport(now, e.Report)
		}
		if e.Failed {
			s.cooldownEnds = now.Add(failureCooldown)
		}
		if e.Superseded {
			s.observeSuperseded(now, c)
		}
	}
	if e.ServiceUs <= 0 {
		return
	}
	us := float64(e.ServiceUs)
	ratio := 1.0
	if c.expectUs > 0 {
		ratio = us / c.expectUs
	}
	if s != nil {
		s.observe(now, ratio)
	}
	// Outliers count as 4 times the expected time.
	if ratio < 4 || !t.models[pool].HasSamples() {
		t.models[pool] = t.models[pool].WithSample(c.size, us)
	} else {
		t.models[pool] = t.models[pool].WithSample(c.size, 4*c.expectUs)
	}
	t.ratios[pool] = t.ratios[pool].WithSample(t.quantile, ratio)
}

// Configure applies the routing section of a new document.
func (t *Table) Configure(r document.Routing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quantile = r.HedgeQuantile
}

// SetEvacuated replaces the evacuated availability zones, whose upstreams are not picked.
func (t *Table) SetEvacuated(zones []string) {
	evacuated := make(map[string]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evacuated = evacuated
}

// Evacuated reports whether a pool has upstreams and all of them are in evacuated zones.
func (t *Table) Evacuated(pool Pool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.pools[pool] {
		if !t.evacuated[s.Zone] {
			return false
		}
	}
	return len(t.pools[pool]) > 0
}

// observe updates the slowness with the service time of a completed call, as a
// multiple of its expected time.
func (s *state) observe(now time.Time, ratio float64) {
	old := s.slowness(now)
	s.lastSlowness = min(maxSlowness, old+slownessWeight*(ratio-old))
	s.slownessAt = now
}

// observeSuperseded updates the slowness with a call that was abandoned because
// another upstream answered first. The time so far is a lower bound of the time
// that the call would have taken. Without it, a slow upstream whose calls are
// always hedged would never be detected as slow.
func (s *state) observeSuperseded(now time.Time, c Call) {
	ratio := c.elapsedRatio(now)
	if ratio > overdueRatio && ratio > s.slowness(now) {
		s.lastSlowness, s.slownessAt = min(maxSlowness, ratio), now
	}
}

// slowness returns the time that calls take on the upstream, as a multiple of the
// time on its peers. It decays while nothing is observed, so that the upstream is
// tried again.
func (s *state) slowness(now time.Time) float64 {
	if s.lastSlowness == 0 {
		return 1
	}
	decay := math.Exp(-now.Sub(s.slownessAt).Seconds() / slownessDecay.Seconds())
	if slowness := 1 + (s.lastSlowness-1)*decay; slowness > minSlowness {
		return slowness
	}
	return 1
}

// inFlightSlowness returns the slowness that the calls in flight show: the
// greatest ratio of elapsed to expected time, 0 if none is overdue.
func (s *state) inFlightSlowness(now time.Time) float64 {
	most := 0.0
	for _, c := range s.calls {
		if ratio := c.elapsedRatio(now); ratio > overdueRatio {
			most = max(most, ratio)
		}
	}
	return min(most, maxSlowness)
}

// load returns the estimated number of calls that run or wait on the upstream.
func (s *state) load(now time.Time) float64 {
	own := float64(len(s.calls))
	if s.report == nil {
		return own
	}
	weight := 1 - float64(now.Sub(s.reportedAt))/float64(reportTTL)
	if weight <= 0 {
		return own
	}
	reported := float64(s.report.Running+s.report.Waiting) + float64(s.begunSince)
	return max(own, reported*weight)
}

// waitUs returns the expected wait of a call for a slot in microseconds.
func (s *state) waitUs(now time.Time, serviceUs float64) float64 {
	slots := max(1, float64(s.Slots))
	meanUs := serviceUs
	if s.report != nil && s.report.ServiceUs > 0 {
		meanUs = float64(s.report.ServiceUs)
	}
	return max(0, s.load(now)-slots+1) * meanUs / slots
}

// finishUs returns the expected time in microseconds until a call of the given
// service time would end on the upstream.
func (s *state) finishUs(now time.Time, zone string, serviceUs float64) float64 {
	slots := max(1, float64(s.Slots))
	waitUs := s.waitUs(now, serviceUs)
	slowness := max(s.slowness(now), s.inFlightSlowness(now))
	us := (waitUs + serviceUs) * slowness
	us += occupancyWeight * serviceUs * s.load(now) / slots
	if s.Zone != zone {
		us += crossZoneUs
	}
	return us
}
