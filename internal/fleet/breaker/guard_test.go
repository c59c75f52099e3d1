package breaker

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// guarded is a Guard whose reports are kept.
type guarded struct {
	*Guard
	rank    int
	mu      sync.Mutex
	reports []*fleetpb.NewsSeen
}

// sent returns the reports so far.
func (g *guarded) sent() []*fleetpb.NewsSeen {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.reports)
}

func newGuarded(t *testing.T, rank int) *guarded {
	g := &guarded{rank: rank}
	g.Guard = NewGuard(GuardConfig{
		Report: func(seen *fleetpb.NewsSeen) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.reports = append(g.reports, seen)
		},
		Rank: func(string) int { return g.rank },
		Log:  zap.NewNop(),
	})
	t.Cleanup(func() { g.Close() })
	return g
}

// tell applies a News of a control instance with the breaker of the segment bad, based on
// ends since a second ago.
func (g *guarded) tell(incarnation uint64, state State) {
	now := time.Now()
	b := Breaker{Segment: bad, State: state, Since: now.Add(-time.Second), Last: now, Until: now.Add(firstTerm)}
	g.Apply(&fleetpb.News{Incarnation: incarnation, Breakers: []*fleetpb.Breaker{b.Proto(now)}})
}

// want checks whether a request with the segment bad may be sent.
func (g *guarded) want(t *testing.T, event string, want bool) {
	t.Helper()
	err := g.Start([]string{"route", bad})
	if got := err == nil; got != want {
		t.Errorf("%s: a request is sent: %t, want %t (%v)", event, got, want, err)
	}
	if err := g.Start([]string{"route"}); err != nil {
		t.Errorf("%s: a request without the segment is not sent: %v", event, err)
	}
}

func TestOpenBreakerBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		g.want(t, "at first", true)
		g.tell(1, Suspected)
		g.want(t, "suspected", true)
		g.tell(1, Open)
		g.want(t, "open", false)
		var open *OpenError
		if err := g.Check([]string{bad}); !errors.As(err, &open) || open.RetryAfter < firstTerm-time.Second {
			t.Errorf("got %v, want an OpenError that says when to come back", err)
		}
		g.tell(2, Closed)
		g.want(t, "closed by another control instance", false)
		g.tell(1, Closed)
		g.want(t, "closed", true)
	})
}

func TestTrialsAreSentOneByOneByFewEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, owner := newGuarded(t, 1), newGuarded(t, 0)
		other.tell(1, HalfOpen)
		owner.tell(1, HalfOpen)
		other.want(t, "at another entry", false)
		defer func() {
			time.Sleep(trialSpread)
			other.want(t, "at another entry after a while", true)
		}()
		if err := owner.Check([]string{bad}); err != nil {
			t.Errorf("before the trial: %v", err)
		}
		owner.want(t, "trial", true)
		owner.want(t, "during a trial", false)
		owner.Ended(End{Upstream: catalog.Upstream{ID: "u"}, At: time.Now(), SentAt: time.Now(), Segments: []string{bad}})
		owner.want(t, "right after an end", false)
		time.Sleep(trialTimeout)
		owner.want(t, "another trial", true)
		owner.Begun([]string{bad}, time.Now())
		owner.want(t, "after a response", true)
		owner.want(t, "after a response", true)
	})
}

func TestBreakerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		g.tell(1, Open)
		if got, want := len(g.Breakers()), 1; got != want {
			t.Errorf("%d open breakers, want %d", got, want)
		}
		time.Sleep(firstTerm + time.Second)
		g.want(t, "after its term", true)
		g.want(t, "during the trial", false)
		time.Sleep(halfOpenTerm)
		g.want(t, "when nobody renews it", true)
		if got := len(g.Breakers()) + len(g.sources); got != 0 {
			t.Errorf("%d breakers are remembered, want none", got)
		}
	})
}

func TestResponsesAreReportedWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		g.Begun([]string{bad}, time.Now())
		time.Sleep(time.Second)
		if got := len(g.sent()); got != 0 {
			t.Errorf("%d reports of a segment that nobody asked for, want none", got)
		}
		g.Begun([]string{bad}, time.Now())
		g.tell(1, Suspected)
		g.tell(1, HalfOpen)
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 1; got != want {
			t.Fatalf("%d reports, want %d", got, want)
		}
		if got, want := g.sent()[0].GetBegun()[0].GetId(), bad; got != want {
			t.Errorf("reported %q, want %q", got, want)
		}
		g.want(t, "with a response since the ends", true)
		time.Sleep(2 * time.Second)
		g.tell(1, HalfOpen)
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 1; got != want {
			t.Errorf("%d reports although no response has begun since the ends, want %d", got, want)
		}
		g.Begun([]string{bad}, time.Now())
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 2; got != want {
			t.Errorf("%d reports after the next response, want %d", got, want)
		}
	})
}

func TestEndsAreReportedTogetherAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		u := catalog.Upstream{ID: "u", StartTimeMs: 7}
		for range 3 {
			g.Ended(End{Upstream: u, At: time.Now(), SentAt: time.Now().Add(-time.Second), Segments: []string{"route", bad}})
		}
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 1; got != want {
			t.Fatalf("%d reports, want %d", got, want)
		}
		ends := g.sent()[0].GetEnds()
		if len(ends) != 1 || ends[0].GetBornMs() != 7 || len(ends[0].GetWaiting()) != 2 {
			t.Errorf("reported %v, want one end with two segments", ends)
		}
		g.Apply(&fleetpb.News{Incarnation: 2, Whole: true})
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 2; got != want {
			t.Fatalf("%d reports after a control instance was joined anew, want %d", got, want)
		}
		if got, want := g.sent()[1].GetEnds()[0].GetAgeMs(), uint32(1000); got < want {
			t.Errorf("the end is %d ms old, want at least %d", got, want)
		}
		time.Sleep(resendAge)
		g.Apply(&fleetpb.News{Incarnation: 3, Whole: true})
		time.Sleep(time.Second)
		if got, want := len(g.sent()), 2; got != want {
			t.Errorf("%d reports long after the end, want %d", got, want)
		}
	})
}

func TestGuardIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		for i := range 2 * maxKnown {
			g.Begun([]string{string(rune(i + 1))}, time.Now())
		}
		if got := len(g.known); got > maxKnown || g.recent.Len() != got {
			t.Errorf("%d segments are remembered, want at most %d", got, maxKnown)
		}
	})
}

func TestResponseToAnyPromptIsReportedAfterAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		g.Ended(End{Upstream: catalog.Upstream{ID: "u"}, At: time.Now(), SentAt: time.Now(), Segments: []string{bad}})
		g.Begun([]string{"early"}, time.Now())
		time.Sleep(2 * sameTime)
		g.Begun([]string{"first"}, time.Now())
		g.Begun([]string{"second"}, time.Now())
		time.Sleep(time.Second)
		var got []string
		for _, seen := range g.sent() {
			for _, b := range seen.GetBegun() {
				got = append(got, b.GetId())
			}
		}
		if want := []string{"first"}; !slices.Equal(got, want) {
			t.Errorf("responses to %v are reported, want %v", got, want)
		}
	})
}

func TestBreakerClosedWithoutResponseGivesHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuarded(t, 0)
		closed := Breaker{Segment: bad}
		g.Apply(&fleetpb.News{Incarnation: 1, Breakers: []*fleetpb.Breaker{closed.Proto(time.Now())}})
		g.Ended(End{Upstream: catalog.Upstream{ID: "u"}, At: time.Now(), SentAt: time.Now(), Segments: []string{bad}})
		time.Sleep(time.Second)
		if got := g.sent()[0].GetEnds()[0].GetWaiting()[0].GetBegunMs(); got != 0 {
			t.Errorf("a response is said to have begun %d ms ago, want none", got)
		}
	})
}
