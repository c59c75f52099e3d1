package route

import (
	"math"
	"sort"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/estimate"
	"hawthornhub.example/hawthornhub/internal/serve/rendezvous"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// wordLife is how long an agent's word counts, falling linearly.
	wordLife = time.Second
	// slowLife is the time in which a slowness falls to a third.
	slowLife = 3 * time.Second
	// slowShare is the weight of a new observation in a slowness.
	slowShare = 0.3
	// slowLeast is the slowness up to which an upstream counts like its peers;
	// less would let noise steer all calls away from it for good.
	slowLeast = 1.2
	// slowMost bounds a slowness.
	slowMost = 50
	// zoneUs is the cost of a call to another availability zone.
	zoneUs = 3000
	// overdue is the multiple of its expected time from which a call that has
	// not ended tells of a slow upstream.
	overdue = 1.3
	// leanShare is the part of the service time that a full upstream counts
	// for more than an empty one, so that the emptier of two is chosen before
	// either has a queue.
	leanShare = 0.1
	// restAfterFailure is how long an upstream that failed is not chosen.
	restAfterFailure = 300 * time.Millisecond
)

// Group is a pool of upstreams that can run the same calls.
type Group struct{ Kind, Model string }

// Upstream is what an entry needs to know to call one.
type Upstream struct {
	Name        string
	Link        string
	Zone        string
	Incarnation uint64
	Slots       uint32
	Group
}

// Need describes a call to be placed.
type Need struct {
	Group
	// Size is the predicted size of the work.
	Size float64
	// Prefix is the shared beginning of the prompt, empty for none.
	Prefix string
	// Except are the names of upstreams not to use.
	Except []string
	// Zones are the allowed availability zones; none is any.
	Zones []string
}

// Call is a call that has been placed.
type Call struct {
	Upstream Upstream
	id       uint64
	began    time.Time
	// expectUs is the expected service time, 0 where it is not known.
	expectUs float64
	// waitUs is the time that the call was expected to wait for a slot.
	waitUs float64
	size   float64
}

// lateness is how many times its expected time the call has taken so far, its
// expected wait included: a queue does not make an upstream slow.
func (c Call) lateness(now time.Time) float64 {
	if c.expectUs <= 0 {
		return 0
	}
	return float64(now.Sub(c.began).Microseconds()) / (c.expectUs + c.waitUs)
}

// Ended tells how a call ended.
type Ended struct {
	// ServiceUs is the time on the upstream, 0 where it did not end there.
	ServiceUs int64
	// QueueUs is the time in the agent's queue.
	QueueUs int64
	// Word is the agent's word, nil for none.
	Word *fleetpb.Word
	// Outrun is set where another upstream answered first.
	Outrun bool
	// Failed is set where the upstream or the way to it failed.
	Failed bool
}

type state struct {
	Upstream
	calls   map[uint64]Call
	word    *fleetpb.Word
	wordAt  time.Time
	since   int
	slow    float64
	slowAt  time.Time
	restTil time.Time
}

// Config builds a Table.
type Config struct {
	// Entry is the name of the entry, which spreads the subsets.
	Entry string
	// Zone is the entry's availability zone.
	Zone string
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Table is what an entry knows of the upstreams. It is safe for concurrent
// use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	states map[string]*state
	groups map[Group][]*state
	lines  map[Group]estimate.Line
	ratios map[Group]estimate.Quantile
	byLink map[string]*state
	turn   map[Group]int
	nextID uint64
	// quantile is the quantile of the time against the expected time that
	// hedges are timed by.
	quantile float64
}

// NewTable returns a Table without upstreams.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:    cfg,
		states: make(map[string]*state),
		groups: make(map[Group][]*state),
		lines:  make(map[Group]estimate.Line),
		ratios: make(map[Group]estimate.Quantile),
		byLink: make(map[string]*state),
		turn:   make(map[Group]int),
	}
}

// Update takes the present members. Only living agents whose upstream has
// announced itself are chosen.
func (t *Table) Update(members []*fleetpb.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[string]*state)
	for _, m := range members {
		if m.Role != "agent" || m.Kind == "" || m.State != fleetpb.MemberState_MEMBER_STATE_ALIVE {
			continue
		}
		seen[m.Name] = t.refreshed(m)
	}
	t.states = seen
	t.groups = make(map[Group][]*state)
	t.byLink = make(map[string]*state)
	for _, s := range seen {
		t.groups[s.Group] = append(t.groups[s.Group], s)
		t.byLink[s.Link] = s
	}
	for g := range t.groups {
		t.sortGroup(t.groups[g])
	}
}

func (t *Table) refreshed(m *fleetpb.Member) *state {
	u := Upstream{
		Name:        m.Name,
		Link:        m.Link,
		Zone:        m.Zone,
		Incarnation: m.Incarnation,
		Slots:       m.Slots,
		Group:       Group{Kind: m.Kind, Model: m.Model},
	}
	have := t.states[m.Name]
	if have == nil || have.Incarnation != m.Incarnation {
		return &state{Upstream: u, calls: make(map[uint64]Call), slow: 1}
	}
	have.Upstream = u
	return have
}

// sortGroup orders a pool for this entry: its own zone first, then by a hash
// that differs from entry to entry.
func (t *Table) sortGroup(group []*state) {
	sort.Slice(group, func(i, j int) bool {
		a, b := group[i], group[j]
		if (a.Zone == t.cfg.Zone) != (b.Zone == t.cfg.Zone) {
			return a.Zone == t.cfg.Zone
		}
		return rendezvous.Weight(t.cfg.Entry, a.Name) > rendezvous.Weight(t.cfg.Entry, b.Name)
	})
}

// Word takes an agent's word that came with a heartbeat.
func (t *Table) Word(now time.Time, link string, w *fleetpb.Word) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byLink[link]; s != nil && w != nil {
		s.takeWord(now, w)
	}
}

func (s *state) takeWord(now time.Time, w *fleetpb.Word) {
	s.word, s.wordAt, s.since = w, now, 0
}

// Begin records that a call is placed on an upstream.
func (t *Table) Begin(now time.Time, u Upstream, need Need) Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	c := Call{
		Upstream: u,
		id:       t.nextID,
		began:    now,
		size:     need.Size,
	}
	if line := t.lines[u.Group]; line.Knows(need.Size) {
		c.expectUs = line.Predict(need.Size)
	}
	if s := t.states[u.Name]; s != nil {
		c.waitUs = s.waitUs(now, c.expectUs)
		s.calls[c.id] = c
		s.since++
	}
	return c
}

// End records how a call ended.
func (t *Table) End(now time.Time, c Call, e Ended) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := c.Upstream.Group
	s := t.states[c.Upstream.Name]
	if s != nil {
		delete(s.calls, c.id)
		if e.Word != nil {
			s.takeWord(now, e.Word)
		}
		if e.Failed {
			s.restTil = now.Add(restAfterFailure)
		}
		if e.Outrun {
			s.observeOutrun(now, c)
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
	if ratio < 4 || !t.lines[g].Known() {
		t.lines[g] = t.lines[g].WithSample(c.size, us)
	} else {
		t.lines[g] = t.lines[g].WithSample(c.size, 4*c.expectUs)
	}
	t.ratios[g] = t.ratios[g].WithSample(t.quantile, ratio)
}

// Configure takes the routing section of a new document.
func (t *Table) Configure(r document.Routing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quantile = r.HedgeQuantile
}

func (s *state) observe(now time.Time, ratio float64) {
	old := s.slowness(now)
	s.slow = min(slowMost, old+slowShare*(ratio-old))
	s.slowAt = now
}

// observeOutrun takes the time of a call that did not end as the least it would
// have taken. Without it a slow upstream whose calls are always hedged would
// never be seen to be slow.
func (s *state) observeOutrun(now time.Time, c Call) {
	ratio := c.lateness(now)
	if ratio > overdue && ratio > s.slowness(now) {
		s.slow, s.slowAt = min(slowMost, ratio), now
	}
}

// slowness is how many times as long as its peers the upstream takes; it
// fades while nothing is observed, so that the upstream is tried again.
func (s *state) slowness(now time.Time) float64 {
	if s.slow == 0 {
		return 1
	}
	fade := math.Exp(-now.Sub(s.slowAt).Seconds() / slowLife.Seconds())
	if slow := 1 + (s.slow-1)*fade; slow > slowLeast {
		return slow
	}
	return 1
}

// overdueness looks at the calls that have not ended yet.
func (s *state) overdueness(now time.Time) float64 {
	most := 0.0
	for _, c := range s.calls {
		if ratio := c.lateness(now); ratio > overdue {
			most = max(most, ratio)
		}
	}
	return min(most, slowMost)
}

// load is the number of calls that the upstream is believed to have.
func (s *state) load(now time.Time) float64 {
	own := float64(len(s.calls))
	if s.word == nil {
		return own
	}
	fade := 1 - float64(now.Sub(s.wordAt))/float64(wordLife)
	if fade <= 0 {
		return own
	}
	told := float64(s.word.Running+s.word.Waiting) + float64(s.since)
	return max(own, told*fade)
}

// waitUs is the expected time that a call would wait for a slot.
func (s *state) waitUs(now time.Time, serviceUs float64) float64 {
	slots := max(1, float64(s.Slots))
	mean := serviceUs
	if s.word != nil && s.word.ServiceUs > 0 {
		mean = float64(s.word.ServiceUs)
	}
	return max(0, s.load(now)-slots+1) * mean / slots
}

// finishUs is the expected time until a call of the given service time would
// end on the upstream.
func (s *state) finishUs(now time.Time, zone string, serviceUs float64) float64 {
	slots := max(1, float64(s.Slots))
	wait := s.waitUs(now, serviceUs)
	slow := max(s.slowness(now), s.overdueness(now))
	us := (wait + serviceUs) * slow
	us += leanShare * serviceUs * s.load(now) / slots
	if s.Zone != zone {
		us += zoneUs
	}
	return us
}
