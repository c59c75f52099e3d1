package eligible

import (
	"fmt"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
)

// Guards against a request that has been let through and is then kept from its upstream
// because it has taken the turn itself, and against others that follow it at once.
func TestPaceHoldsBackNewRequestsOnly(t *testing.T) {
	now := time.Hour
	table := backoff.NewTable(backoff.Config{Random: func() float64 { return 0 }})
	rules := Rules{Backoff{Table: table, Now: func() time.Duration { return now }}}
	u := catalog.Upstream{ID: "a", StartTimeMs: 1}
	table.Observe(now, StartOf(u), backoff.Signal{RetryAfter: time.Second})
	if callable, wait := rules.Filter(time.Time{}, []catalog.Upstream{u}); len(callable) != 0 || wait != time.Second {
		t.Errorf("closed: got %v after %v, want none after 1 s", callable, wait)
	}
	now += time.Second
	if callable, _ := rules.Filter(time.Time{}, []catalog.Upstream{u}); len(callable) != 1 {
		t.Fatalf("at the end: got %v, want a", callable)
	}
	if err := table.Admit(now, StartOf(u)); err != nil {
		t.Fatalf("at the end: %v", err)
	}
	if got := rules.Wait(time.Time{}, u); got != 0 {
		t.Errorf("the admitted request waits %v, want 0", got)
	}
	if callable, wait := rules.Filter(time.Time{}, []catalog.Upstream{u}); len(callable) != 0 || wait <= 0 {
		t.Errorf("the next request: got %v after %v, want none", callable, wait)
	}
	table.Observe(now, StartOf(u), backoff.Signal{Leaving: true})
	if got := rules.Wait(time.Time{}, u); got != Unknown {
		t.Errorf("leaving: got %v, want Unknown", got)
	}
}

// Guards against a clock that is read for each candidate, a system call, or at all while no
// upstream has said anything.
func TestFilterReadsClockOnce(t *testing.T) {
	reads := 0
	table := backoff.NewTable(backoff.Config{Random: func() float64 { return 0 }})
	rules := Rules{Backoff{Table: table, Now: func() time.Duration {
		reads++
		return time.Hour
	}}}
	candidates := []catalog.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	if callable, _ := rules.Filter(time.Time{}, candidates); len(callable) != 3 || reads != 0 {
		t.Errorf("nothing said: got %d callable after %d reads, want 3 after 0", len(callable), reads)
	}
	table.Observe(time.Hour, StartOf(candidates[1]), backoff.Signal{RetryAfter: time.Second})
	if callable, _ := rules.Filter(time.Time{}, candidates); len(callable) != 2 || reads != 1 {
		t.Errorf("one closed: got %d callable after %d reads, want 2 after 1", len(callable), reads)
	}
}

// BenchmarkFilter shows the cost of a choice among n upstreams, each other one closed.
func BenchmarkFilter(b *testing.B) {
	for _, n := range []int{1, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := func() time.Duration { return time.Hour }
			table := backoff.NewTable(backoff.Config{Random: func() float64 { return 0 }})
			rules := Rules{Backoff{Table: table, Now: now}}
			candidates := make([]catalog.Upstream, n)
			for i := range candidates {
				candidates[i] = catalog.Upstream{ID: fmt.Sprint("u", i), StartTimeMs: 1}
				if i%2 == 0 {
					table.Observe(now(), StartOf(candidates[i]), backoff.Signal{RetryAfter: time.Minute})
				}
			}
			for b.Loop() {
				rules.Filter(time.Time{}, candidates)
			}
		})
	}
}
