package warmup

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain runs the tests with a fixed random seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const (
	tick = 50 * time.Millisecond
	// newsDelay is the longest time until a change at a control instance is known to the
	// entries that follow it, and lossNotice that until either side notices a cut.
	newsDelay  = 400 * time.Millisecond
	lossNotice = 1400 * time.Millisecond
	controls   = 3
)

// fleet is a model of entries and control instances in virtual time. Each control
// instance lists the entries that follow it, as package watch does.
type fleet struct {
	now      time.Duration
	rnd      *rand.Rand
	cfg      Config
	upstream Upstream
	entries  []*fleetEntry
	// sent holds the times at which requests reached the upstream.
	sent []time.Duration
}

type fleetEntry struct {
	name      string
	limiter   *Limiter
	suspended bool
	// linked is set for each control instance that the entry can reach, changedAt is when
	// that last changed.
	linked    [controls]bool
	changedAt [controls]time.Duration
	// views are the names that each control instance listed at the last News, seenAt when
	// that was.
	views  [controls][]string
	seenAt [controls]time.Duration
}

func newFleet(rnd *rand.Rand, cfg Config, perSecond float64, entries int) *fleet {
	f := &fleet{rnd: rnd, cfg: cfg, upstream: Upstream{ID: "engine-1", PerSecond: perSecond, Cold: true}, now: time.Hour}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(fmt.Sprint("entry-", i)))
	}
	return f
}

func (f *fleet) newEntry(name string) *fleetEntry {
	cfg := f.cfg
	cfg.Self = name
	e := &fleetEntry{name: name, limiter: New(cfg)}
	for c := range controls {
		e.linked[c], e.changedAt[c], e.seenAt[c] = true, f.now, -time.Hour
	}
	return e
}

// lists returns the entries that a control instance lists: those that follow it, and
// those whose loss it has perhaps not noticed.
func (f *fleet) lists(c int) []string {
	var out []string
	for _, e := range f.entries {
		follows := e.linked[c] && !e.suspended
		if follows || f.now-e.changedAt[c] < time.Duration(f.rnd.Int64N(int64(lossNotice))) {
			out = append(out, e.name)
		}
	}
	return out
}

// advance lets one tick pass: News arrive, and each entry sends as much as it may.
func (f *fleet) advance() {
	f.now += tick
	for _, c := range f.rnd.Perm(controls) {
		names := f.lists(c)
		for _, e := range f.entries {
			due := f.now-e.seenAt[c] >= newsDelay || f.rnd.IntN(3) == 0
			if e.linked[c] && !e.suspended && due {
				e.views[c], e.seenAt[c] = names, f.now
			}
		}
	}
	for _, i := range f.rnd.Perm(len(f.entries)) {
		e := f.entries[i]
		if e.suspended {
			continue
		}
		e.observe(f.now)
		for e.limiter.Take(f.now, f.upstream) == 0 {
			f.sent = append(f.sent, f.now)
		}
	}
}

// observe gives the limiter the union of the views of the control instances in contact.
func (e *fleetEntry) observe(now time.Duration) {
	var names []string
	connected := 0
	for c := range controls {
		if now-e.seenAt[c] <= lossNotice {
			connected++
			names = append(names, e.views[c]...)
		}
	}
	if connected > 0 {
		e.limiter.SetEntries(now, names)
	}
	e.limiter.SetContact(now, Contact{Current: connected > 0, Majority: 2*connected > controls})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.advance()
	}
}

// link connects an entry to a control instance or cuts it off.
func (f *fleet) link(e *fleetEntry, c int, linked bool) {
	if e.linked[c] != linked {
		e.linked[c], e.changedAt[c] = linked, f.now
	}
}

func (f *fleet) suspend(e *fleetEntry, suspended bool) {
	if e.suspended != suspended {
		e.suspended = suspended
		for c := range controls {
			e.changedAt[c] = f.now
		}
	}
}

// peak returns the largest number of requests that reached the upstream within a second.
func (f *fleet) peak() int {
	peak, from := 0, 0
	for i, at := range f.sent {
		for at-f.sent[from] >= time.Second {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

// Guards against a sum over all entries that crashes a cold upstream, whatever the
// entries know of each other: they are cut off from some or all control instances,
// return, restart, join and are suspended at any moments. docs/design/warmup.md lists what
// the model assumes.
func TestSumOfSharesStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{1, 2.5, 6, 17, 40}).Draw(t, "per second")
		n := rapid.SampledFrom([]int{1, 3, 7, 12, 27}).Draw(t, "entries")
		cfg := Config{Over: 1.5, Slack: 5}
		f := newFleet(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), cfg, perSecond, n)
		for range rapid.IntRange(3, 14).Draw(t, "steps") {
			f.step(t)
			f.run(time.Duration(rapid.SampledFrom([]int{1, 200, 900, 1600, 4000, 9000, 12000}).Draw(t, "ms")) * time.Millisecond)
		}
		if got, want := f.peak(), perSecond*cfg.Over+cfg.Slack; float64(got) > want {
			t.Fatalf("%d requests within a second, want at most %v", got, want)
		}
	})
}

// step changes the contact or the state of some entries.
func (f *fleet) step(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"cut", "cut one", "heal", "restart", "join", "suspend", "resume", "nothing"}).Draw(t, "kind")
	first := rapid.IntRange(0, len(f.entries)-1).Draw(t, "first")
	count := rapid.IntRange(1, len(f.entries)).Draw(t, "count")
	control := rapid.IntRange(0, controls-1).Draw(t, "control")
	if kind == "join" {
		if len(f.entries) < 40 {
			f.entries = append(f.entries, f.newEntry(fmt.Sprint("joined-", len(f.entries))))
		}
		return
	}
	for i := range count {
		e := f.entries[(first+i)%len(f.entries)]
		switch kind {
		case "cut", "heal":
			for c := range controls {
				f.link(e, c, kind == "heal")
			}
		case "cut one":
			f.link(e, control, false)
		case "restart":
			f.entries[(first+i)%len(f.entries)] = f.newEntry(e.name)
		case "suspend", "resume":
			f.suspend(e, kind == "suspend")
		}
	}
}

// Guards against parts of the fleet that each follow another control instance, do not
// list the entries of the others, and share what all of them tolerate by themselves.
func TestPartsOfFleetThatDoNotSeeEachOther(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)), Config{Over: 1.5, Slack: 5}, 17, 27)
	f.run(returnTime + time.Second)
	for i, e := range f.entries {
		for c := range controls {
			f.link(e, c, c == i%controls)
		}
	}
	f.run(30 * time.Second)
	if got, want := f.peak(), 30; got > want {
		t.Errorf("%d requests within a second, want at most %d", got, want)
	}
}

// Guards against an upstream that gets more or much less than it tolerates while all are
// cold and every entry has more to send than it may, for few and many entries; most have
// a share of less than one request a second.
func TestAllUpstreamsColdInBurst(t *testing.T) {
	for _, n := range []int{3, 7, 27, 105} {
		for _, perSecond := range []float64{17, 4, 0.5} {
			t.Run(fmt.Sprintf("%d entries, %v a second", n, perSecond), func(t *testing.T) {
				f := newFleet(rand.New(rand.NewPCG(1, 2)), Config{Over: 1.5, Slack: 5}, perSecond, n)
				f.run(returnTime + time.Second)
				f.sent = nil
				f.run(20 * time.Second)
				if got, limit := f.peak(), max(1, int(perSecond)); got > limit {
					t.Errorf("%d requests within a second, want at most %d", got, limit)
				}
				if got, want := float64(len(f.sent))/20, 0.9*perSecond; got < want {
					t.Errorf("%v requests a second, want at least %v", got, want)
				}
			})
		}
	}
}

// Guards against an entry whose share of all upstreams is zero: with more entries than
// requests a second, each one serves some upstreams.
func TestSharesOfManyEntriesAreSpread(t *testing.T) {
	const n, upstreams, perSecond = 105, 60, 17
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("entry-", i))
	}
	total, fewest := 0, math.MaxInt
	for _, self := range names {
		l := settled(self, names)
		own := 0
		for i := range upstreams {
			own += l.Share(Upstream{ID: fmt.Sprint("engine-", i), PerSecond: perSecond})
		}
		total += own
		fewest = min(fewest, own)
	}
	if got, want := total, upstreams*perSecond; got != want {
		t.Errorf("the shares add up to %d, want %d", got, want)
	}
	if fewest < 2 {
		t.Errorf("an entry may send %d requests a second, want some", fewest)
	}
}

// settled returns a Limiter that has known the given entries for a while at time.Minute.
func settled(self string, names []string) *Limiter {
	l := New(Config{Self: self, Over: 1.5, Slack: 5})
	for at := time.Minute - 8*settleTime; at <= time.Minute; at += settleTime {
		l.SetEntries(at, names)
		l.SetContact(at, Contact{Current: true, Majority: true})
	}
	return l
}

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint("entry-", i))
	}
	slices.Sort(out)
	return out
}
