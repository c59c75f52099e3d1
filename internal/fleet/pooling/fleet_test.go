package pooling

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

var t0 = time.Unix(1_790_000_000, 0)

// fleet is a fleet of entries in virtual time, one of which pools the observations. The
// messages are encoded as on a link, but not sent.
type fleet struct {
	random *rand.Rand
	models []*capacity.Model
	pool   *capacity.Pool
	// next is when each entry reports next.
	next []time.Duration
	// pooledBytes is what the pooling entry has sent and received, entryBytes what each of
	// the others has.
	pooledBytes, entryBytes int64
	engines                 int
	// requestsPerSecond is the rate at each entry.
	requestsPerSecond float64
	// pace returns the time of work at an engine as a multiple of the usual.
	pace func(engine int, at time.Duration) float64
	// dead is set while no pooling entry answers.
	dead bool
}

func newFleet(entries, engines int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 5)), pool: capacity.NewPool(), engines: engines, requestsPerSecond: 7}
	for range entries {
		f.models = append(f.models, capacity.NewModel())
		f.next = append(f.next, time.Duration(f.random.Int64N(int64(time.Second))))
	}
	f.pace = func(int, time.Duration) float64 { return 1 }
	return f
}

func engineID(i int) string { return fmt.Sprint("engine-", i) }

// run plays a span of time.
func (f *fleet) run(from, until time.Duration) {
	const step = 20 * time.Millisecond
	for at := from; at < until; at += step {
		now := t0.Add(at)
		for i, m := range f.models {
			if f.random.Float64() < f.requestsPerSecond*step.Seconds() {
				engine := f.random.IntN(f.engines)
				took := 100 * (0.9 + 0.2*f.random.Float64()) * f.pace(engine, at)
				m.Observe(now, capacity.Observation{
					Query: capacity.Query{Service: "llm", Upstream: engineID(engine), Load: 8, Slots: 64},
					Took:  time.Duration(took * float64(time.Millisecond)),
				})
			}
			if at >= f.next[i] {
				f.exchange(now, i)
				f.next[i] = at + max(capacity.ReportInterval(1), capacity.PoolInterval(len(f.models)-1))
			}
		}
	}
}

// exchange makes one exchange of an entry. The first entry is the pooling one.
func (f *fleet) exchange(now time.Time, entry int) {
	m, name := f.models[entry], fmt.Sprint("qurum-refill-node-", entry, "/gateway")
	records := m.Report(now, "llm", capacity.MaxReportRecords)
	if f.dead {
		return
	}
	head := func() *fleetpb.Envelope {
		return &fleetpb.Envelope{From: name, Clock: &fleetpb.Clock{WallMs: now.UnixMilli(), Logical: 7}, Document: 1000}
	}
	report := head()
	report.Body = &fleetpb.Envelope_CapacityReport{CapacityReport: &fleetpb.CapacityReport{Records: encode(records)}}
	changed := f.pool.Add(now, "llm", name, decode(report.GetCapacityReport().Records), capacity.MaxNewsRecords)
	news := head()
	news.Body = &fleetpb.Envelope_CapacityNews{CapacityNews: &fleetpb.CapacityNews{Records: encode(changed), IntervalMs: 4000}}
	m.Apply(now, "llm", decode(news.GetCapacityNews().Records))
	if entry != 0 {
		bytes := size(report) + size(news)
		f.pooledBytes += bytes
		f.entryBytes += bytes
	}
}

// paces returns what the entries believe of the pace of an engine, in order.
func (f *fleet) paces(at time.Duration, engine int) []float64 {
	var out []float64
	for _, m := range f.models {
		out = append(out, m.Pace(t0.Add(at), "llm", engineID(engine)))
	}
	slices.Sort(out)
	return out
}

// noise makes an engine 2.5 times slower for 600 ms of each 3.6 s.
func noise(engine int, at time.Duration) float64 {
	if (at+time.Duration(engine)*777*time.Millisecond)%(3600*time.Millisecond) < 600*time.Millisecond {
		return 2.5
	}
	return 1
}

// heartbeatBytes is the size of a heartbeat on a link with its answer, every 30 s.
const heartbeatBytes = 2 * 70

// Guards against an exchange that takes the links of small entries: at 105 entries and 180
// engines of different speeds a process may use 8 kB a second, the pooling one included,
// also while a third of the engines changes its pace.
func TestBytesAreBounded(t *testing.T) {
	f := newFleet(105, 180)
	f.pace = func(engine int, at time.Duration) float64 {
		p := 0.7 + 0.6*float64(engine%7)/6
		if engine%3 == 0 && at >= 60*time.Second {
			p *= 4
		}
		return p * noise(engine, at)
	}
	const span = 120
	f.run(0, span*time.Second)
	heartbeats := int64(len(f.models)-1) * heartbeatBytes / 30
	pooling, entry := f.pooledBytes/span+heartbeats, f.entryBytes/span/int64(len(f.models)-1)+heartbeatBytes/30
	t.Logf("the pooling entry: %d bytes a second, the others: %d", pooling, entry)
	if limit := int64(8000); pooling+1500 > limit {
		t.Errorf("the pooling entry sends and receives %d bytes a second beside 1500 for other services, want at most %d", pooling, limit)
	}
	if entry > 1500 {
		t.Errorf("an entry sends and receives %d bytes a second, want at most 1500", entry)
	}
}

// Guards against observations that stay with the entry that made them: an entry sees one
// request to an engine every few seconds, and callers wait until it has noticed by itself.
func TestAllEntriesLearnOfSlowDownAndRecovery(t *testing.T) {
	f := newFleet(24, 41)
	f.pace = func(engine int, at time.Duration) float64 {
		if engine == 7 && at >= 30*time.Second && at < 50*time.Second {
			return 5 * noise(engine, at)
		}
		return noise(engine, at)
	}
	f.run(0, 36*time.Second)
	slow := f.paces(36*time.Second, 7)
	f.run(36*time.Second, 62*time.Second)
	recovered := f.paces(62*time.Second, 7)
	t.Logf("6 s after the slow-down the entries believe %.1f to %.1f, median %.1f; 12 s after the recovery %.1f to %.1f", slow[0], slow[23], slow[12], recovered[0], recovered[23])
	if slow[3] < 2 {
		t.Errorf("6 s after a slow-down to a fifth, an eighth of the entries believe in a pace of %.1f or less, want over 2", slow[3])
	}
	if recovered[20] > 1.6 {
		t.Errorf("12 s after the recovery, an eighth of the entries believe in a pace of %.1f or more, want below 1.6", recovered[20])
	}
}

// Guards against entries that forget, or take a wrong pace, when the pooling entry is lost,
// and against a next one that does not take over.
func TestNextPoolingEntryTakesOver(t *testing.T) {
	f := newFleet(24, 41)
	f.pace = func(engine int, at time.Duration) float64 {
		if engine == 7 && at >= 20*time.Second || engine == 9 && at >= 40*time.Second {
			return 5 * noise(engine, at)
		}
		return noise(engine, at)
	}
	f.run(0, 35*time.Second)
	f.dead = true
	f.run(35*time.Second, 38*time.Second)
	if got := f.paces(38*time.Second, 7); got[12] < 2 {
		t.Errorf("3 s without a pooling entry, half of the entries believe in a pace of %.1f or less, want over 2", got[12])
	}
	f.dead, f.pool = false, capacity.NewPool()
	f.run(38*time.Second, 48*time.Second)
	for _, engine := range []int{7, 9} {
		if got := f.paces(48*time.Second, engine); got[3] < 1.8 {
			t.Errorf("10 s after the next entry has taken over, an eighth of the entries believe in a pace of %.1f or less of engine %d, want over 1.8", got[3], engine)
		}
	}
	for engine := range f.engines {
		if got := f.paces(48*time.Second, engine); engine != 7 && engine != 9 && got[12] > 1.5 {
			t.Errorf("half of the entries believe in a pace of %.1f or more of engine %d, which is not slow", got[12], engine)
		}
	}
}

// Guards against messages of a faulty or newer entry that crash the receiver, make it hold
// unbounded memory, or give it a pace that is no number.
func FuzzRecords(f *testing.F) {
	f.Add(uint32(7), int32(40), uint32(3), 2, 1, 3)
	f.Add(uint32(0), int32(math.MinInt32), uint32(math.MaxUint32), 300, 300, 300)
	f.Fuzz(func(t *testing.T, upstream uint32, pace int32, weight uint32, upstreams, paces, weights int) {
		m := &fleetpb.CapacityRecords{}
		for i := range min(max(0, upstreams), 1000) {
			m.Upstreams = append(m.Upstreams, upstream+uint32(i)*7)
		}
		for i := range min(max(0, paces), 1000) {
			m.Paces = append(m.Paces, pace+int32(i))
		}
		for i := range min(max(0, weights), 1000) {
			m.Weights = append(m.Weights, weight+uint32(i))
		}
		records := decode(m)
		if want := min(len(m.Upstreams), len(m.Paces), len(m.Weights), maxRecords); len(records) != want {
			t.Fatalf("got %d records of %d, %d and %d, want %d", len(records), len(m.Upstreams), len(m.Paces), len(m.Weights), want)
		}
		pool, model := capacity.NewPool(), capacity.NewModel()
		for i := range 5 {
			now := t0.Add(time.Duration(i) * time.Second)
			changed := pool.Add(now, "s", "e", records, capacity.MaxNewsRecords)
			if len(changed) > capacity.MaxNewsRecords {
				t.Fatalf("got %d records of news, want at most %d", len(changed), capacity.MaxNewsRecords)
			}
			if got := decode(encode(changed)); !slices.Equal(got, changed) {
				t.Fatalf("got %v back, want %v", got, changed)
			}
			model.Apply(now, "s", records)
			model.Apply(now, "s", changed)
			model.Observe(now, capacity.Observation{Query: capacity.Query{Service: "s", Upstream: "u", Load: 1}, Took: time.Second})
		}
		p := model.Pace(t0.Add(5*time.Second), "s", "u")
		if !(p > 0) || math.IsInf(p, 0) {
			t.Fatalf("got a pace of %v", p)
		}
	})
}
