package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Unix(1_790_000_000, 0)

// engines observes exchanges of upstreams a to e, of which took returns the time in
// milliseconds, every 100 ms of a span.
func engines(m *Model, from, until time.Duration, took func(id string, at time.Duration) float64) {
	for at := from; at < until; at += 100 * time.Millisecond {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			m.Observe(t0.Add(at), Observation{
				Query: Query{Service: "s", Upstream: id, Load: 1, Slots: 4},
				Took:  time.Duration(took(id, at) * float64(time.Millisecond)),
			})
		}
	}
}

func checkPace(t *testing.T, m *Model, at time.Duration, id string, least, most float64) {
	t.Helper()
	if got := m.Pace(t0.Add(at), "s", id); got < least || got > most {
		t.Errorf("after %v: pace of %s is %.2f, want %.2f to %.2f", at, id, got, least, most)
	}
}

// Guards against a slow-down that is learned late, and a recovery that is never seen.
func TestPaceFollowsSlowDownAndRecovery(t *testing.T) {
	m := NewModel()
	took := func(id string, at time.Duration) float64 {
		if id == "a" && at >= 10*time.Second && at < 20*time.Second {
			return 500
		}
		return 100
	}
	engines(m, 0, 10*time.Second, took)
	checkPace(t, m, 10*time.Second, "a", 0.9, 1.1)
	engines(m, 10*time.Second, 14*time.Second, took)
	checkPace(t, m, 14*time.Second, "a", 3, 6)
	checkPace(t, m, 14*time.Second, "b", 0.8, 1.2)
	engines(m, 14*time.Second, 24*time.Second, took)
	checkPace(t, m, 24*time.Second, "a", 0.8, 1.3)
}

// Guards against an upstream that is taken for slow because of single outliers or of
// disturbances that all upstreams have for a sixth of the time.
func TestOutliersAndNoiseDoNotChangePace(t *testing.T) {
	m := NewModel()
	r := rand.New(rand.NewPCG(1, 2))
	phase := make(map[string]time.Duration)
	engines(m, 0, 60*time.Second, func(id string, at time.Duration) float64 {
		if phase[id] == 0 {
			phase[id] = time.Duration(1 + r.Int64N(int64(3600*time.Millisecond)))
		}
		if at > 10*time.Second {
			for _, known := range []string{"a", "b", "c", "d", "e"} {
				checkPace(t, m, at, known, 0.6, 1.6)
			}
		}
		switch {
		case r.IntN(30) == 0:
			return 5000
		case (at+phase[id])%(3600*time.Millisecond) < 600*time.Millisecond:
			return 250
		default:
			return 100
		}
	})
}

// Guards against an upstream that was slow once and is never tried again.
func TestSlowUpstreamCountsAsTypicalLater(t *testing.T) {
	m := NewModel()
	engines(m, 0, 10*time.Second, func(id string, _ time.Duration) float64 { return map[bool]float64{true: 800, false: 100}[id == "a"] })
	checkPace(t, m, 10*time.Second, "a", 5, 9)
	checkPace(t, m, 70*time.Second, "a", 0.9, 1.2)
}

// Guards against a growth with the load that is not learned, and against a concurrency that
// is not bounded by it.
func TestGrowthWithLoadIsLearned(t *testing.T) {
	m := NewModel()
	r := rand.New(rand.NewPCG(1, 3))
	now := t0
	for range 3000 {
		now = now.Add(20 * time.Millisecond)
		load := float64(1 + r.IntN(64))
		took := (20 + 0.1*200) * (1 + 1.5*load/64)
		m.Observe(now, Observation{
			Query: Query{Service: "s", Upstream: fmt.Sprint("u", r.IntN(6)), Work: 200, Load: load, Slots: 64},
			Took:  time.Duration(took * float64(time.Millisecond)),
		})
	}
	predict := func(load float64) float64 {
		p, _ := m.Predict(now, Query{Service: "s", Upstream: "u0", Work: 200, Load: load, Slots: 64})
		return float64(p.Took.Microseconds()) / 1000
	}
	for _, load := range []float64{4, 16, 32, 64} {
		if got, want := predict(load), 40*(1+1.5*load/64); got < want*0.85 || got > want*1.15 {
			t.Errorf("at a load of %v: got %.0f ms, want %.0f ms within 15%%", load, got, want)
		}
	}
	for _, s := range m.Judge(now) {
		if s.Concurrency < 15 || s.Concurrency > 40 {
			t.Errorf("%s: got concurrency %d, want about 22, where work takes 1.5 times as long", s.Upstream, s.Concurrency)
		}
	}
}

// Guards against an upstream that is sent requests that it has just refused for lack of
// room, and against one that never gets more again.
func TestFullUpstreamIsExpectedToRefuse(t *testing.T) {
	m := NewModel()
	engines(m, 0, time.Second, func(string, time.Duration) float64 { return 100 })
	m.Full(t0.Add(time.Second), "s", "a", 30)
	full := func(at time.Duration, load float64) bool {
		p, _ := m.Predict(t0.Add(at), Query{Service: "s", Upstream: "a", Load: load, Slots: 6})
		return p.Full
	}
	if !full(time.Second, 31) || full(time.Second, 29) {
		t.Errorf("right after the refusal: full at 31 is %v and at 29 is %v, want true and false", full(time.Second, 31), full(time.Second, 29))
	}
	if full(2*time.Minute, 31) {
		t.Error("a refusal two minutes ago still keeps requests away")
	}
}

// Guards against a new upstream that gets as many requests as one that is known.
func TestNewUpstreamStartsSlowly(t *testing.T) {
	m := NewModel()
	engines(m, 0, 2*time.Second, func(string, time.Duration) float64 { return 100 })
	allowed := func(id string) int {
		p, _ := m.Predict(t0.Add(2*time.Second), Query{Service: "s", Upstream: id, Load: 1})
		return p.Allowed
	}
	if got, want := [2]int{allowed("new"), allowed("a")}, [2]int{1, 0}; got != want {
		t.Errorf("allowed in flight at a new and a known upstream: got %v, want %v", got, want)
	}
}

// Guards against a judgement that flaps, and against changes that are not reported.
func TestJudgeReportsChangesOnce(t *testing.T) {
	m := NewModel()
	changes := 0
	took := func(id string, at time.Duration) float64 {
		if id == "a" && at >= 10*time.Second && at < 20*time.Second {
			return 300
		}
		return 100
	}
	for at := time.Duration(0); at < 40*time.Second; at += time.Second {
		engines(m, at, at+time.Second, took)
		for _, s := range m.Judge(t0.Add(at + time.Second)) {
			if s.Changed {
				changes++
			}
		}
	}
	if changes != 2 {
		t.Errorf("got %d changes of judgement, want 2: slow and recovered", changes)
	}
}

// Guards against predictions that are not positive and finite, after whatever upstreams and
// clocks do.
func TestPredictionsAreAlwaysUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewModel()
		now := t0
		number := func(label string) float64 {
			return rapid.OneOf(rapid.Float64Range(0, 200), rapid.SampledFrom([]float64{0, 1e9, -1})).Draw(t, label)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 20e9).Draw(t, "passed")))
			q := Query{Service: "s", Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"), Work: number("work"), Load: number("load"), Slots: number("slots")}
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				m.Full(now, q.Service, q.Upstream, q.Load)
			default:
				took := time.Duration(rapid.Int64Range(-1, 1e12).Draw(t, "took"))
				m.Observe(now, Observation{Query: q, Took: took, AtLeast: rapid.Bool().Draw(t, "at least")})
			}
			p, known := m.Predict(now, q)
			if known && (p.Took <= 0 || p.Took > maxTime) {
				t.Fatalf("got a prediction of %v", p.Took)
			}
			for _, s := range m.Judge(now) {
				if !(s.Pace > 0) || math.IsInf(s.Pace, 0) || s.Concurrency < 0 {
					t.Fatalf("got %+v", s)
				}
			}
		}
	})
}
