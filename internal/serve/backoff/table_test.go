package backoff

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain runs the tests with a fixed random seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const t0 = 1000 * time.Hour

var first, second = Start{ID: "u1", StartTimeMs: 10}, Start{ID: "u1", StartTimeMs: 20}

// newTable returns a Table with the largest jitter.
func newTable() *Table { return NewTable(Config{Random: func() float64 { return 0.999999 }}) }

func names(events []Event) string {
	out := ""
	for _, e := range events {
		what := "begins"
		if e.Ended {
			what = "ends"
		}
		out += fmt.Sprintf("%s@%d %s %s;", e.Start.ID, e.Start.StartTimeMs, e.Cause, what)
	}
	return out
}

// Guards against a leaving start that is called again, and against a new start of the same
// ID that is not called.
func TestLeavingBelongsToOneStart(t *testing.T) {
	table := newTable()
	if got, want := names(table.Observe(t0, first, Signal{Leaving: true})), "u1@10 leaving begins;"; got != want {
		t.Errorf("first signal: got %q, want %q", got, want)
	}
	if got := names(table.Observe(t0+1, first, Signal{Leaving: true})); got != "" {
		t.Errorf("second signal: got %q, want nothing", got)
	}
	for _, after := range []time.Duration{0, time.Second, time.Minute, leavingRetention - time.Second} {
		table.Expire(t0 + after)
		if got, want := table.Decide(t0+after, first), (Decision{State: Leaving}); got != want {
			t.Errorf("after %v: got %v, want %v", after, got, want)
		}
		var closed *ClosedError
		if err := table.Admit(t0+after, first); !errors.As(err, &closed) || closed.Cause != CauseLeaving {
			t.Errorf("after %v: admitted with %v", after, err)
		}
	}
	if got, want := table.Decide(t0, second), (Decision{}); got != want {
		t.Errorf("new start: got %v, want %v", got, want)
	}
	if got, want := names(table.Replace(second)), "u1@10 leaving ends;"; got != want {
		t.Errorf("new start: got %q, want %q", got, want)
	}
}

// Guards against what a replaced start has said that stands against the start which has
// replaced it and says that it was born earlier: its clock has gone back.
func TestReplacedStartSaysNothing(t *testing.T) {
	table := newTable()
	table.Observe(t0, second, Signal{Leaving: true})
	if got, want := names(table.Replace(first)), "u1@20 leaving ends;"; got != want {
		t.Errorf("replaced: got %q, want %q", got, want)
	}
	if got := names(table.Replace(first)); got != "" {
		t.Errorf("the present start again: got %q, want nothing", got)
	}
	if got, want := names(table.Observe(t0, first, Signal{RetryAfter: time.Second})), "u1@10 retry-after begins;"; got != want {
		t.Errorf("signal of the present start: got %q, want %q", got, want)
	}
}

// Guards against a late answer of an earlier start that closes a later one.
func TestSignalOfEarlierStartSaysNothing(t *testing.T) {
	table := newTable()
	table.Observe(t0, second, Signal{RetryAfter: time.Second})
	if got := names(table.Observe(t0, first, Signal{Leaving: true, RetryAfter: time.Minute})); got != "" {
		t.Errorf("got %q, want nothing", got)
	}
	if got := table.Decide(t0+5*time.Second, second); got != (Decision{}) {
		t.Errorf("got %#v, want Open", got)
	}
	if got, want := names(table.Observe(t0, Start{ID: "u1", StartTimeMs: 30}, Signal{Leaving: true})), "u1@20 retry-after ends;u1@30 leaving begins;"; got != want {
		t.Errorf("signal of a later start: got %q, want %q", got, want)
	}
}

// Guards against a time without requests that ends early, by a later and shorter one too,
// or that has no bound, and against a return of all requests at one moment.
func TestRetryAfterClosesAndReturnsGently(t *testing.T) {
	table := newTable()
	if got, want := names(table.Observe(t0, first, Signal{RetryAfter: 3 * time.Second})), "u1@10 retry-after begins;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := names(table.Observe(t0+time.Second, first, Signal{RetryAfter: time.Millisecond})); got != "" {
		t.Errorf("shorter time: got %q, want nothing", got)
	}
	window := make([]int, 7)
	for now := t0; now < t0+7*time.Second; now += time.Millisecond {
		if table.Admit(now, first) == nil {
			window[(now-t0)/time.Second]++
		}
	}
	if window[0]+window[1]+window[2] != 0 {
		t.Errorf("%v requests in each second, want none in the first three", window)
	}
	if window[3] == 0 || window[3] > 20 {
		t.Errorf("%d requests in the first second of the return, want a few", window[3])
	}
	if got, want := window[6], 1000; got != want {
		t.Errorf("%d requests in the last second, want %d", got, want)
	}
	if got, want := names(table.Expire(t0+6*time.Second)), "u1@10 retry-after ends;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := table.count.Load(); got != 0 {
		t.Errorf("%d entries are left, want none", got)
	}
	table.Observe(t0, first, Signal{RetryAfter: 1000 * time.Hour})
	if got := table.Decide(t0+MaxRetryAfter+maxJitter, first); got.State != Returning {
		t.Errorf("after the longest time: got %#v, want Returning", got)
	}
}

// Guards against a short time without requests that costs an upstream more of its load by
// the return than by itself.
func TestShortTimeHasShortReturn(t *testing.T) {
	table := newTable()
	table.Observe(t0, first, Signal{RetryAfter: 50 * time.Millisecond})
	sent := 0
	for now := t0; now < t0+200*time.Millisecond; now += time.Millisecond {
		if table.Admit(now, first) == nil {
			sent++
		}
	}
	if got, want := sent, 100; got < want {
		t.Errorf("%d requests of 200 in 200 ms, want %d at least", got, want)
	}
}

// Guards against an answer with back-pressure during the return that is lost in the pacing.
func TestClosedAgainWhileReturning(t *testing.T) {
	table := newTable()
	table.Observe(t0, first, Signal{RetryAfter: time.Second})
	now := t0 + 1500*time.Millisecond
	if err := table.Admit(now, first); err != nil {
		t.Fatalf("not admitted: %v", err)
	}
	if got, want := names(table.Observe(now, first, Signal{RetryAfter: time.Second})), "u1@10 retry-after ends;u1@10 retry-after begins;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got := table.Decide(now+900*time.Millisecond, first); got.State != Closed || got.Wait < 100*time.Millisecond {
		t.Errorf("got %#v, want Closed", got)
	}
}

// Guards against entries that return at one moment.
func TestReturnsAreSpread(t *testing.T) {
	ends := make(map[time.Duration]bool)
	for range 24 {
		table := NewTable(Config{Random: rand.Float64})
		table.Observe(t0, first, Signal{RetryAfter: 3 * time.Second})
		left := table.Decide(t0, first).Wait
		if left < 3*time.Second || left > 3600*time.Millisecond {
			t.Errorf("closed for %v, want 3 s to 3.6 s", left)
		}
		ends[left.Truncate(20*time.Millisecond)] = true
	}
	if got, want := len(ends), 10; got < want {
		t.Errorf("24 entries return at %d moments, want %d at least", got, want)
	}
}

// For any signals: no request is let through while the longest of the times that a start
// asked for lasts, nor ever after it said that it leaves; each time that begins ends once,
// and a start that says nothing more is open in the end.
func TestTableKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Random: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))).Float64})
		now, until, leaves, open := t0, make(map[Start]time.Duration), make(map[Start]bool), make(map[string]int)
		count := func(events []Event) {
			for _, e := range events {
				key := fmt.Sprint(e.Start, e.Cause)
				if e.Ended {
					open[key]--
				} else {
					open[key]++
				}
				if open[key] < 0 || open[key] > 1 {
					t.Fatalf("%s: begun %d times more than ended", key, open[key])
				}
			}
		}
		newest := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pass")) * time.Millisecond
			s := Start{ID: "u", StartTimeMs: int64(rapid.IntRange(1, 3).Draw(t, "start"))}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				d := time.Duration(rapid.IntRange(-1000, 5000).Draw(t, "retry after")) * time.Millisecond
				count(table.Observe(now, s, Signal{RetryAfter: d}))
				if d > 0 && s.StartTimeMs >= newest {
					newest, until[s] = s.StartTimeMs, max(until[s], now+d)
				}
			case 1:
				count(table.Observe(now, s, Signal{Leaving: true}))
				if s.StartTimeMs >= newest {
					newest, leaves[s] = s.StartTimeMs, true
				}
			case 2:
				count(table.Expire(now))
			default:
				err := table.Admit(now, s)
				current := s.StartTimeMs == newest
				if err == nil && current && (now < until[s] || leaves[s]) {
					t.Fatalf("%v admitted at %v, closed until %v, leaving %t", s, now, until[s], leaves[s])
				}
			}
		}
		count(table.Expire(now + 2*leavingRetention))
		for key, n := range open {
			if n != 0 {
				t.Fatalf("%s has begun and not ended", key)
			}
		}
		if got := table.Decide(now+2*leavingRetention, Start{ID: "u", StartTimeMs: 3}); got != (Decision{}) {
			t.Fatalf("got %#v in the end, want Open", got)
		}
	})
}

// BenchmarkDecide shows the cost of a decision on each of n upstreams, all closed.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{1, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := NewTable(Config{Random: rand.Float64})
			starts := make([]Start, n)
			for i := range starts {
				starts[i] = Start{ID: fmt.Sprint("u", i), StartTimeMs: 1}
				table.Observe(t0, starts[i], Signal{RetryAfter: time.Minute})
			}
			for b.Loop() {
				for _, s := range starts {
					table.Decide(t0+time.Second, s)
				}
			}
		})
	}
}
