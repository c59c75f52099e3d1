package main

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/warmup"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// newTestRule returns the rule of an entry that never had contact with a control instance,
// but whose limiter has been given one, and its clock.
func newTestRule(perSecond float64, log *zap.Logger) (*coldRule, *time.Duration) {
	boot := time.Hour
	x := site.NewIndex(&site.Document{Version: 1, Services: []site.Service{{Name: "llm", ColdPerSecond: perSecond}, {Name: "shop"}}})
	r := &coldRule{
		follower: func() *watch.Follower { return nil },
		index:    func() *site.Index { return x },
		log:      log,
		bootTime: func() time.Duration { return boot },
		limiter:  warmup.New(warmup.Config{Self: "entry-0", Over: 1.5, Slack: 5}),
	}
	for at := boot - time.Minute; at < boot; at += time.Second {
		r.limiter.SetContact(at, warmup.Contact{Current: true, Majority: true})
	}
	return r, &boot
}

// engines returns upstreams that are cold for a while after now.
func engines(n int, now time.Time) []catalog.Upstream {
	table := catalog.New(catalog.Config{})
	for i := range n {
		table.Announce(catalog.Upstream{ID: fmt.Sprintf("engine-%03d", i), Service: "llm", Address: fmt.Sprint("10.0.0.1:", i+1), Slots: 64, State: catalog.Ready, StartTimeMs: 1, Seq: 1, LastSeen: now, ColdUntil: now.Add(3 * time.Second)})
	}
	return table.Ready("llm")
}

// Guards against requests to a cold upstream beyond the share, against limits on services
// that are not configured, and against a suspension that empties no window.
func TestColdRuleLimitsWrites(t *testing.T) {
	now := time.Now()
	r, boot := newTestRule(4, zap.NewNop())
	cold := engines(1, now)[0]
	plain := cold
	plain.Service = "shop"
	take := func(u catalog.Upstream) int {
		for n := range 100 {
			var wait *eligible.WaitError
			if err := r.Take(now, u); errors.As(err, &wait) {
				if got := r.Wait(now, u); got != wait.Wait {
					t.Errorf("the rule waits for %v, the write for %v", got, wait.Wait)
				}
				return n
			}
		}
		return 100
	}
	if got, want := take(plain), 100; got != want {
		t.Errorf("%d requests to an upstream of another service, want %d", got, want)
	}
	if got, want := take(cold), 4; got != want {
		t.Errorf("%d requests to a cold upstream without contact, want %d", got, want)
	}
	// The clock of the process stands still during a suspension, that of the limiter not.
	*boot += 2 * time.Second
	now = now.Add(time.Millisecond)
	if got, want := take(cold), 4; got != want {
		t.Errorf("%d requests after a suspension, want %d", got, want)
	}
}

// Guards against an operator who cannot see which upstreams are cold, and when.
func TestColdPeriodIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	r, _ := newTestRule(4, zap.New(core))
	now := time.Now()
	all := engines(2, now)
	scope := tally.NewTestScope("", nil)
	r.updateGauges(now, scope, all)
	r.updateGauges(now.Add(time.Second), scope, all)
	if got, want := logs.FilterMessage("upstream is cold").Len(), 2; got != want {
		t.Errorf("%d lines at the begin, want %d", got, want)
	}
	if got, want := scope.Snapshot().Gauges()["cold_upstreams+"].Value(), 2.0; got != want {
		t.Errorf("%v cold upstreams, want %v", got, want)
	}
	r.updateGauges(now.Add(4*time.Second), scope, all)
	if got, want := logs.FilterMessage("upstream is no longer cold").Len(), 2; got != want {
		t.Errorf("%d lines at the end, want %d", got, want)
	}
}

// BenchmarkColdDecision measures the choice of the upstreams that may be called when all
// are cold and their shares are used up, and the time until the last of 10,000 waiting
// requests finds a share.
func BenchmarkColdDecision(b *testing.B) {
	for _, n := range []int{40, 400} {
		for _, configured := range []bool{true, false} {
			perSecond := 0.0
			if configured {
				perSecond = 17
			}
			r, _ := newTestRule(perSecond, zap.NewNop())
			now := time.Now()
			all, rules := engines(n, now), eligible.Rules{r}
			b.Run(fmt.Sprintf("filter/upstreams=%d/configured=%t", n, configured), func(b *testing.B) {
				for b.Loop() {
					rules.Filter(now, all)
				}
			})
			b.Run(fmt.Sprintf("next/upstreams=%d/configured=%t", n, configured), func(b *testing.B) {
				for b.Loop() {
					r.NextShare(now, rules, all, 10000)
				}
			})
		}
	}
}
