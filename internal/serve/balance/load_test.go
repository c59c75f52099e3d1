package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

// The load that the tests play: model engines of two speeds whose steps take longer the
// more streams they run.
const (
	engineSlots = 64
	emptyStep   = 3.8e-3
	fullStep    = 9.5e-3
	// readToken and readFixed are the seconds to read one token of a prompt and to begin.
	readToken = 0.15e-3
	readFixed = 0.02
	// noiseFactor, noiseLength and noisePeriod describe disturbances: a sixth of the time an
	// engine is slower.
	noiseFactor = 2.5
	noiseLength = 0.6
	noisePeriod = 3.6
)

// simEvent happens at a time in seconds.
type simEvent struct {
	at float64
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simEngine is an upstream of the play.
type simEngine struct {
	catalog.Upstream
	speed float64
	// slowFrom and slowUntil bound the time in which the engine is slowed by slowBy.
	slowFrom, slowUntil, slowBy float64
	noisePhase                  float64
	noisy                       bool
	// slots and queue bound the requests that run and wait; growth is set if more streams
	// slow each other down.
	slots, queue int
	growth       bool
	// plain is set if the engine answers requests as a whole and not by a stream.
	plain   bool
	running int
	waiting []func()
	cache   map[string]bool
}

// factor is the time of work on the engine as a multiple of that at speed 1 and no load.
func (e *simEngine) factor(now float64) float64 {
	f := 1 / e.speed
	if e.growth {
		f *= 1 + (fullStep/emptyStep-1)*float64(e.running)/float64(e.slots)
	}
	if now >= e.slowFrom && now < e.slowUntil {
		f *= e.slowBy
	}
	if e.noisy && math.Mod(now+e.noisePhase, noisePeriod) < noiseLength {
		f *= noiseFactor
	}
	return f
}

// work returns the seconds until the first event on an idle engine of speed 1, and keeps
// the shared prefix in the cache.
func (e *simEngine) work(info PickInfo) float64 {
	work := readFixed
	for _, s := range info.Prompt {
		if !e.cache[s.ID] {
			work += readToken * float64(s.Tokens)
		}
	}
	if info.Prefix != "" {
		e.cache[info.Prefix] = true
	}
	return work
}

// play is one load over several entries and engines.
type play struct {
	random  *rand.Rand
	now     float64
	events  simEvents
	engines []*simEngine
	entries []*Balancer
	// pool pools what the entries observe, nil if each has its own observations alone. No
	// pooling entry answers from poolDeadFrom until poolDeadUntil, and the next one knows
	// nothing.
	pool                        *capacity.Pool
	poolDeadFrom, poolDeadUntil float64
	// requestsPerSecond is the rate over all entries, end the time of the last request.
	requestsPerSecond, end float64
	// burstRate is the rate from burstFrom until burstUntil.
	burstFrom, burstUntil, burstRate float64
	// generate is the average number of seconds that an idle engine of speed 1 needs for
	// the rest of the answer after the first event, or for all of it if it is plain.
	generate float64
	// prefixes is the number of shared prompt prefixes, 0 for none. One of them is used by
	// half of the requests.
	prefixes int
	// objective is the time in which callers need the first event.
	objective float64
	results   []result
}

// result is what one caller got from an engine: the time to the first event or to the
// whole answer, or a refusal.
type result struct {
	at, took float64
	refused  bool
	engine   string
}

func newPlay(seed uint64, entries int, learn bool, engines ...*simEngine) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 7)), engines: engines, objective: 0.3, generate: 1.5}
	for i := range entries {
		cfg := Config{Zone: "z", Random: rand.New(rand.NewPCG(seed, uint64(i)+100)).IntN}
		if learn {
			cfg.Model = capacity.NewModel()
		}
		p.entries = append(p.entries, New(cfg))
	}
	for i, e := range engines {
		e.Upstream = catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: "z", Slots: e.slots, State: catalog.Ready, StartTimeMs: 1}
		e.noisePhase = p.random.Float64() * noisePeriod
		e.cache = make(map[string]bool)
	}
	return p
}

// twoSpeeds returns engines of which half are slow.
func twoSpeeds(n int, noisy bool) []*simEngine {
	var out []*simEngine
	for i := range n {
		speed := 1.2
		if i%2 == 1 {
			speed = 0.55
		}
		out = append(out, &simEngine{speed: speed, slots: engineSlots, queue: 100, growth: true, noisy: noisy})
	}
	return out
}

func (p *play) time() time.Time { return t0.Add(time.Duration(p.now * float64(time.Second))) }

func (p *play) after(seconds float64, do func()) { heap.Push(&p.events, simEvent{p.now + seconds, do}) }

// exchange lets the entries report to the pooling entry, once a second.
func (p *play) exchange() {
	if p.now < p.end {
		p.after(1, p.exchange)
	}
	if p.now >= p.poolDeadFrom && p.now < p.poolDeadUntil {
		p.pool = capacity.NewPool()
		return
	}
	for i, b := range p.entries {
		m := b.cfg.Model
		m.Apply(p.time(), "s", p.pool.Add(p.time(), "s", fmt.Sprint(i), m.Report(p.time(), "s", capacity.MaxReportRecords), capacity.MaxNewsRecords))
	}
}

// run plays the load and returns it.
func (p *play) run() *play {
	p.after(0, p.arrive)
	if p.pool != nil {
		p.after(1, p.exchange)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(simEvent)
		p.now = e.at
		e.do()
	}
	return p
}

// arrive sends one request and schedules the next.
func (p *play) arrive() {
	if p.now < p.end {
		rate := p.requestsPerSecond
		if p.now >= p.burstFrom && p.now < p.burstUntil {
			rate = p.burstRate
		}
		p.after(p.random.ExpFloat64()/rate, p.arrive)
	}
	info := PickInfo{Prompt: []Segment{{ID: "own" + fmt.Sprint(p.random.Uint64()), Tokens: 50 + p.random.IntN(600)}}}
	if p.prefixes > 0 {
		i := max(0, p.random.IntN(2*p.prefixes)-p.prefixes)
		info.Prefix = fmt.Sprint("p", i)
		info.Prompt = append([]Segment{{ID: info.Prefix, Tokens: 1000}}, info.Prompt...)
	}
	p.send(p.entries[p.random.IntN(len(p.entries))], info, p.now, p.generate*(0.3+0.7*p.random.ExpFloat64()))
}

// roomWait is the number of seconds after which a request looks again for an engine with
// room.
const roomWait = 0.03

// send sends a request that arrived at a time and generates tokens for so many seconds on an
// idle engine. It waits for room as long as the objective can be met, as the gateway does.
func (p *play) send(b *Balancer, info PickInfo, began, generate float64) {
	var candidates []catalog.Upstream
	for _, e := range p.engines {
		candidates = append(candidates, e.Upstream)
	}
	c, _ := b.Choose(p.time(), info, candidates)
	if c.Full && p.now+roomWait+c.Expected.Seconds() < began+p.objective {
		b.Cancel(c)
		p.after(roomWait, func() { p.send(b, info, began, generate) })
		return
	}
	e := p.engines[slices.IndexFunc(p.engines, func(e *simEngine) bool { return e.ID == c.ID })]
	report := func() *Report {
		return &Report{Running: e.running, Waiting: len(e.waiting), Slots: e.slots, Slowness: e.factor(p.now) * e.speed}
	}
	if len(e.waiting) >= e.queue {
		b.End(p.time(), c, DoneInfo{Full: true, Report: report()})
		p.results = append(p.results, result{at: began, refused: true, engine: c.ID})
		return
	}
	begun := func() {
		b.Report(p.time(), c.ID, *report())
		b.Begun(p.time(), c)
		p.results = append(p.results, result{at: began, took: p.now - began, engine: c.ID})
	}
	end := func() {
		if e.plain {
			begun()
		}
		b.End(p.time(), c, DoneInfo{})
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	}
	start := func() {
		e.running++
		if e.plain {
			p.after(generate*e.factor(p.now), end)
			return
		}
		p.after(e.work(info)*e.factor(p.now), func() {
			begun()
			p.after(generate*e.factor(p.now), end)
		})
	}
	if e.running < e.slots {
		start()
		return
	}
	e.waiting = append(e.waiting, start)
}

// share returns the share of the requests in a span of time that were sent to an engine.
func (p *play) share(engine int, from, until float64) float64 {
	n, all := 0, 0
	for _, r := range p.results {
		if r.at >= from && r.at < until {
			all++
			if r.engine == p.engines[engine].ID {
				n++
			}
		}
	}
	return float64(n) / float64(max(1, all))
}

// summary is what callers got in a span of time: the share that got the first event within
// the objective, and the median and the 95th percentile of the time to it.
type summary struct {
	inTime, refused, median, p95 float64
	n                            int
}

func (p *play) summary(from, until float64) summary {
	var took []float64
	inTime, refused, n := 0, 0, 0
	for _, r := range p.results {
		if r.at < from || r.at >= until {
			continue
		}
		n++
		if r.refused {
			refused++
		}
		if !r.refused {
			took = append(took, r.took)
		}
		if !r.refused && r.took <= p.objective {
			inTime++
		}
	}
	slices.Sort(took)
	if len(took) == 0 {
		return summary{}
	}
	return summary{float64(inTime) / float64(n), float64(refused) / float64(n), took[len(took)/2], took[len(took)*95/100], n}
}

func (s summary) String() string {
	return fmt.Sprintf("%.1f%% of %d in time, %.1f%% refused, median %.0f ms, p95 %.0f ms", 100*s.inTime, s.n, 100*s.refused, 1000*s.median, 1000*s.p95)
}

// Guards against choices by fixed weights where the speeds of the upstreams differ: callers
// wait at slow engines, and at full ones long before their slots are used up. The bounds
// are those of callers that need the first event within 300 ms.
func TestCallersAreServedInTimeByLearnedCapacity(t *testing.T) {
	tests := []struct {
		name string
		play func(learn bool) *play
		// least is the share in time that callers need, gain by how much it exceeds that of
		// fixed weights.
		least, gain float64
	}{
		{"two speeds", func(learn bool) *play {
			p := newPlay(1, 8, learn, twoSpeeds(12, false)...)
			p.requestsPerSecond, p.end = 120, 60
			return p
		}, 0.98, 0.1},
		{"few requests", func(learn bool) *play {
			p := newPlay(2, 8, learn, twoSpeeds(12, false)...)
			p.requestsPerSecond, p.end = 30, 60
			return p
		}, 0.99, 0},
		{"noise", func(learn bool) *play {
			p := newPlay(3, 8, learn, twoSpeeds(12, true)...)
			p.requestsPerSecond, p.end = 100, 60
			return p
		}, 0.85, 0.1},
		{"noise and shared prefixes, one of which half of the requests use", func(learn bool) *play {
			p := newPlay(4, 27, learn, twoSpeeds(46, true)...)
			p.requestsPerSecond, p.end, p.prefixes = 200, 60, 30
			return p
		}, 0.9, 0.1},
		{"plain service that takes 6 at once and sheds beyond 24 more", func(learn bool) *play {
			p := newPlay(5, 24, learn,
				&simEngine{speed: 1.2, slots: 6, queue: 24, plain: true, noisy: true},
				&simEngine{speed: 0.55, slots: 6, queue: 24, plain: true, noisy: true})
			p.requestsPerSecond, p.end, p.generate, p.objective = 33, 60, 0.18, 1
			return p
		}, 0.9, 0.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fixed := tt.play(false).run().summary(10, 60)
			learned := tt.play(true).run().summary(10, 60)
			t.Logf("fixed weights: %v", fixed)
			t.Logf("learned:       %v", learned)
			if learned.inTime < tt.least || learned.inTime < fixed.inTime+tt.gain {
				t.Errorf("got %.3f in time, want at least %.2f and %.2f more than %.3f", learned.inTime, tt.least, tt.gain, fixed.inTime)
			}
		})
	}
}

// Guards against an engine that slows down suddenly and still gets its share of the
// requests, and against one that has recovered and is not tried again.
func TestSuddenSlowDownAndRecoveryAreFollowed(t *testing.T) {
	const slowFrom, slowUntil = 30, 50
	p := newPlay(6, 4, true, twoSpeeds(8, true)...)
	p.requestsPerSecond, p.end = 80, 90
	p.engines[0].slowFrom, p.engines[0].slowUntil, p.engines[0].slowBy = slowFrom, slowUntil, 5
	p.run()
	before, slow, after := p.share(0, 15, slowFrom), p.share(0, slowFrom+4, slowUntil), p.share(0, slowUntil+10, 90)
	t.Logf("share of the requests: %.3f before, %.3f from 4 s after the slow-down, %.3f from 10 s after the recovery", before, slow, after)
	t.Logf("callers: %v before, %v from 4 s after the slow-down", p.summary(15, slowFrom), p.summary(slowFrom+4, slowUntil))
	if slow > before/4 {
		t.Errorf("the slow engine got %.3f of the requests, want at most a quarter of %.3f", slow, before)
	}
	if after < before/2 {
		t.Errorf("the recovered engine got %.3f of the requests, want at least half of %.3f", after, before)
	}
}

// slowing returns a play of 24 entries, each of which sees a request to an engine every few
// seconds, where every tenth second another engine becomes slow for a while.
func slowing(seed uint64, learn bool) *play {
	p := newPlay(seed, 24, learn, twoSpeeds(41, true)...)
	p.requestsPerSecond, p.end = 150, 90
	for i := range 24 {
		e := p.engines[(i*14)%41]
		e.slowFrom, e.slowBy = 15+3*float64(i), 8
		e.slowUntil = e.slowFrom + 15
	}
	return p
}

// Guards against entries that each find out by themselves which engines have become slow,
// and against callers who suffer while the pooling entry is lost. The bounds are those of
// callers that need the first event within 300 ms, while engines of half the capacity are
// slow for a sixth of the time by noise alone.
func TestPooledObservationsServeMoreCallersInTime(t *testing.T) {
	fixed := slowing(1, false).run().summary(15, 90)
	alone := slowing(1, true).run().summary(15, 90)
	p := slowing(1, true)
	p.pool = capacity.NewPool()
	pooled := p.run().summary(15, 90)
	p = slowing(1, true)
	p.pool, p.poolDeadFrom, p.poolDeadUntil = capacity.NewPool(), 40, 44
	lost := p.run().summary(40, 50)
	t.Logf("fixed weights:            %v", fixed)
	t.Logf("each entry by itself:     %v", alone)
	t.Logf("pooled:                   %v", pooled)
	t.Logf("pooling entry lost, 10 s: %v", lost)
	if pooled.inTime < 0.91 || pooled.inTime < alone.inTime+0.02 || pooled.inTime < fixed.inTime+0.08 {
		t.Errorf("got %.3f in time with pooled observations, want at least 0.91, 0.02 more than %.3f and 0.08 more than %.3f", pooled.inTime, alone.inTime, fixed.inTime)
	}
	if lost.inTime < alone.inTime-0.02 {
		t.Errorf("got %.3f in time in the 10 s after the loss of the pooling entry, want at least 0.02 less than the %.3f without one", lost.inTime, alone.inTime)
	}
}

// Guards against entries that share what they believe so closely that all turn to the same
// engines at once: near the capacity of the service, that once served half as many callers
// in time as no pooling.
func TestPooledObservationsDoNotCauseHerdsNearCapacity(t *testing.T) {
	nearCapacity := func() *play {
		p := newPlay(11, 27, true, twoSpeeds(46, true)...)
		p.requestsPerSecond, p.end, p.prefixes = 450, 40, 30
		return p
	}
	alone := nearCapacity().run().summary(10, 40)
	p := nearCapacity()
	p.pool = capacity.NewPool()
	pooled := p.run().summary(10, 40)
	t.Logf("each entry by itself: %v", alone)
	t.Logf("pooled:               %v", pooled)
	if pooled.inTime < alone.inTime-0.04 {
		t.Errorf("got %.3f in time with pooled observations, want at most 0.04 less than %.3f", pooled.inTime, alone.inTime)
	}
}

// Guards against requests that small upstreams refuse although another has room, or has it
// in time: in a burst above the capacity of three desks that take 6 at once and refuse
// beyond 24 more, averaged over six plays.
func TestBurstAtSmallServiceIsServedInTime(t *testing.T) {
	burst := func(seed uint64, learn bool) summary {
		desk := func(speed float64) *simEngine {
			return &simEngine{speed: speed, slots: 6, queue: 24, plain: true, noisy: true}
		}
		p := newPlay(seed, 24, learn, desk(1.2), desk(1), desk(0.55))
		p.requestsPerSecond, p.end, p.generate, p.objective = 45, 36, 0.18, 1.5
		p.burstFrom, p.burstUntil, p.burstRate = 30, 33, 110
		return p.run().summary(30, 34)
	}
	const plays = 6
	var fixed, learned summary
	for seed := range uint64(plays) {
		f, l := burst(seed, false), burst(seed, true)
		fixed.inTime, fixed.refused = fixed.inTime+f.inTime/plays, fixed.refused+f.refused/plays
		learned.inTime, learned.refused = learned.inTime+l.inTime/plays, learned.refused+l.refused/plays
	}
	t.Logf("in the burst, fixed weights: %.3f in time, %.3f refused; learned: %.3f and %.3f", fixed.inTime, fixed.refused, learned.inTime, learned.refused)
	if learned.inTime < fixed.inTime+0.02 || learned.refused > fixed.refused {
		t.Errorf("got %.3f in time and %.3f refused, want at least 0.02 more than %.3f and at most %.3f", learned.inTime, learned.refused, fixed.inTime, fixed.refused)
	}
}
