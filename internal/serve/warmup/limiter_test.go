package warmup

import (
	"fmt"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

const at = time.Minute

// engine returns an upstream that tolerates 17 requests a second while it is cold.
func engine(cold bool) Upstream { return Upstream{ID: "engine-1", PerSecond: 17, Cold: cold} }

// takeAll takes requests until none may be sent, at most limit.
func takeAll(l *Limiter, now time.Duration, u Upstream, limit int) int {
	n := 0
	for n < limit && l.Take(now, u) == 0 {
		n++
	}
	return n
}

// Guards against a limit where none is configured, or where an upstream is warm.
func TestWarmUpstreamsAreNotLimited(t *testing.T) {
	l := settled("entry-0", names(27))
	for _, u := range []Upstream{engine(false), {ID: "shop-1", Cold: true}} {
		if got, want := takeAll(l, at, u, 100), 100; got != want {
			t.Errorf("%s: %d requests, want %d", u.ID, got, want)
		}
	}
	l.SetContact(at, Contact{})
	if got, want := takeAll(l, at, Upstream{ID: "shop-1"}, 100), 100; got != want {
		t.Errorf("without contact: %d requests to an upstream that is never cold, want %d", got, want)
	}
}

// Guards against a burst to an upstream that has just become cold: requests from before
// count in the window.
func TestRequestsBeforeColdPeriodCount(t *testing.T) {
	l := settled("entry-0", names(1))
	if got, want := takeAll(l, at, engine(false), 40), 40; got != want {
		t.Fatalf("%d requests, want %d", got, want)
	}
	if got, want := l.Wait(at+100*time.Millisecond, engine(true)), 950*time.Millisecond; got != want {
		t.Errorf("wait of %v, want %v", got, want)
	}
	if got, want := takeAll(l, at+time.Second+arrivalJitter, engine(true), 40), 17; got != want {
		t.Errorf("%d requests in the next second, want %d", got, want)
	}
}

// Guards against an entry that has started or lost its contact, cannot know what has
// become cold, and sends as if all were warm.
func TestEntryWithoutContactLimitsAllUpstreams(t *testing.T) {
	l := New(Config{Self: "entry-0", Over: 1.5, Slack: 5})
	if got := l.Wait(at, engine(false)); got != eligible.Unknown {
		t.Errorf("before the first News: wait of %v, want an unknown one", got)
	}
	l = settled("entry-0", names(4))
	l.SetContact(at, Contact{})
	if got, want := takeAll(l, at, engine(false), 40), 17/4+1; got > want || got < want-1 {
		t.Errorf("without contact: %d requests, want %d or one less", got, want)
	}
	later := at + contactRetention + time.Second
	l.SetContact(later, Contact{})
	if got, want := takeAll(l, later, engine(false), 40), 6/4+1; got > want || got < want-1 {
		t.Errorf("long without contact: %d requests, want %d or one less: the share of the margin", got, want)
	}
	l.SetContact(later+100*time.Millisecond, Contact{Current: true, Majority: true})
	if got := l.Wait(later+100*time.Millisecond, engine(false)); got != 0 {
		t.Errorf("in contact again: wait of %v for a warm upstream, want none", got)
	}
}

// Guards against shares that grow at once when entries are gone, which may only have lost
// their contact, and against shares that never grow.
func TestEntryThatIsGoneCountsForAWhile(t *testing.T) {
	l := settled("entry-0", names(17))
	l.SetEntries(at, names(1))
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {goneRetention - time.Millisecond, 1}, {goneRetention, 17}} {
		for passed := time.Duration(0); passed <= tt.after; passed += time.Second {
			l.SetContact(at+passed, Contact{Current: true, Majority: true})
		}
		l.SetContact(at+tt.after, Contact{Current: true, Majority: true})
		if got := l.Share(engine(true)); got != tt.want {
			t.Errorf("after %v: share %d, want %d", tt.after, got, tt.want)
		}
	}
}

// Guards against waits that are not true: a caller told to come back after the wait finds
// a share, and one that is told the time of the n-th next share finds one after n others.
func TestNextShare(t *testing.T) {
	const upstreams = 6
	l := settled("entry-0", names(1))
	var all []Upstream
	for i := range upstreams {
		all = append(all, Upstream{ID: fmt.Sprint("engine-", i), PerSecond: 2, Cold: true})
	}
	if got := l.Next(at, all, 0); got != 0 {
		t.Errorf("next share after %v, want at once", got)
	}
	for i, u := range all {
		takeAll(l, at+time.Duration(i)*100*time.Millisecond, u, 40)
	}
	now := at + 600*time.Millisecond
	for ahead, want := range []time.Duration{0: 450, 1: 450, 2: 550, 3: 550, 10: 950, 11: 950, 12: 450 + 1050, 23: 950 + 1050} {
		if want == 0 {
			continue
		}
		want *= time.Millisecond
		if got := l.Next(now, all, ahead); got < want || got > want+2*rateOf(2).window/nextSteps {
			t.Errorf("%d ahead: next share after %v, want %v", ahead, got, want)
		}
	}
	for i := range all {
		all[i].Left = 200 * time.Millisecond
	}
	if got, want := l.Next(now, all, 30), 200*time.Millisecond; got != want {
		t.Errorf("next share after %v, want the end of the cold period after %v", got, want)
	}
	if got, want := l.Wait(now, all[0]), 200*time.Millisecond; got != want {
		t.Errorf("wait of %v, want %v", got, want)
	}
}

// Guards against memory that grows with the upstreams that ever were, and with the rate of
// requests to warm ones.
func TestStateIsBounded(t *testing.T) {
	l := settled("entry-0", names(3))
	for i := range 1000 {
		takeAll(l, at+time.Duration(i), engine(false), 10)
		l.Take(at, Upstream{ID: fmt.Sprint("gone-", i), PerSecond: 1})
	}
	if got, want := len(l.upstreams["engine-1"].window.sent), 17; got != want {
		t.Errorf("%d requests remembered, want %d", got, want)
	}
	l.Retain(func(id string) bool { return id == "engine-1" })
	if got, want := len(l.upstreams), 1; got != want {
		t.Errorf("%d upstreams remembered, want %d", got, want)
	}
}

// benchmarkEntries is the number of entries in the benchmarks.
const benchmarkEntries = 105

func coldUpstreams(n int) []Upstream {
	out := make([]Upstream, n)
	for i := range out {
		out[i] = Upstream{ID: fmt.Sprintf("engine-%03d", i), PerSecond: 17, Cold: true}
	}
	return out
}

// BenchmarkDecision measures the choice among upstreams that are all cold and whose
// shares are used up, and the time until a share for the last of 10,000 that wait.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{40, 400, 4000} {
		l, all := settled("entry-0", names(benchmarkEntries)), coldUpstreams(n)
		for _, u := range all {
			takeAll(l, at, u, 40)
		}
		b.Run(fmt.Sprintf("wait/upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				for _, u := range all {
					l.Wait(at+time.Millisecond, u)
				}
			}
		})
		b.Run(fmt.Sprintf("next/upstreams=%d", n), func(b *testing.B) {
			for b.Loop() {
				l.Next(at+time.Millisecond, all, 10000)
			}
		})
	}
	l, u := settled("entry-0", names(benchmarkEntries)), engine(true)
	b.Run("take", func(b *testing.B) {
		now := time.Duration(at)
		for b.Loop() {
			now += time.Second
			l.Take(now, u)
		}
	})
}
