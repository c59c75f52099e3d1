package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

// closedUntil is a rule by which no upstream may be called before a time.
type closedUntil struct{ at atomic.Int64 }

func newClosed(d time.Duration) *closedUntil {
	c := &closedUntil{}
	c.at.Store(time.Now().Add(d).UnixNano())
	return c
}

func (c *closedUntil) Wait(now time.Time, _ catalog.Upstream) time.Duration {
	return max(0, time.Duration(c.at.Load()-now.UnixNano()))
}

// Guards against a request that is refused although it can still meet its objective, and
// against one that is held although it cannot: its refusal would come late.
func TestRequestWaitsForUpstreamWithinObjective(t *testing.T) {
	for _, tt := range []struct {
		name   string
		closed time.Duration
		status int
	}{
		{"open soon", 300 * time.Millisecond, http.StatusOK},
		{"open after the objective", 3 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, ok)
			f := newFixture(t, document(), u.URL)
			f.cfg.Rules = eligible.Rules{newClosed(tt.closed)}
			start := time.Now()
			resp, _, err := f.call(t, "/unsafe/x")
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.StatusCode; got != tt.status {
				t.Fatalf("status %d, want %d", got, tt.status)
			}
			took := time.Since(start)
			if tt.status == http.StatusOK {
				if took < tt.closed {
					t.Errorf("sent after %v, want %v at the earliest", took, tt.closed)
				}
				return
			}
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil || after < 2.5 || after > 3 {
				t.Errorf("Retry-After %q, want the 3 s until the upstream may be called", resp.Header.Get("Retry-After"))
			}
			if took > 500*time.Millisecond || u.runs.Load() != 0 {
				t.Errorf("refused after %v and %d runs, want at once and none", took, u.runs.Load())
			}
		})
	}
}

// Guards against work that goes on for a caller that has left while its request waited.
func TestWaitEndsWithCaller(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(), u.URL)
	f.cfg.Rules = eligible.Rules{newClosed(700 * time.Millisecond)}
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/unsafe/x", strings.NewReader("body"))
	r.Host, r.Header = "a.example", http.Header{"Id": {"r1"}, "Key": {"k"}}
	time.AfterFunc(100*time.Millisecond, cancel)
	if _, err := http.DefaultTransport.RoundTrip(r); err == nil {
		t.Fatal("the request was answered, want it cancelled")
	}
	for until := time.Now().Add(500 * time.Millisecond); f.InFlight() > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the request is still in progress half a second after its caller left")
		}
	}
	time.Sleep(700 * time.Millisecond)
	if got := u.runs.Load(); got != 0 {
		t.Errorf("%d runs, want 0", got)
	}
	if got := f.waiting.add("s", 0); got != 0 {
		t.Errorf("%d requests count as waiting, want 0", got)
	}
}

// Guards against an upstream that is lost to a request because another one took its share
// between the choice and the write.
func TestDeferredRequestIsSentToSameUpstream(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(), u.URL)
	send, refusals := f.cfg.Send, atomic.Int64{}
	f.cfg.Send = func(ctx context.Context, target transport.Target, r transport.Request) transport.Outcome {
		if refusals.Add(1) <= 2*maxPicks {
			return transport.NotSent{Err: fmt.Errorf("permit: %w", &eligible.WaitError{Upstream: target.ID, Wait: time.Second}), Local: true}
		}
		return send(ctx, target, r)
	}
	resp, _, err := f.call(t, "/once/x")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusOK; got != want || u.runs.Load() != 1 {
		t.Errorf("status %d after %d runs, want %d after 1", got, u.runs.Load(), want)
	}
}

// Guards against requests that all wait for the same share: each is told the time at
// which it is its turn, and those that cannot wait that long are refused at once.
func TestWaitingRequestsCountThoseAhead(t *testing.T) {
	const callers, perStep = 8, 200 * time.Millisecond
	u := newUpstream(t, ok)
	f := newFixture(t, document(), u.URL)
	f.cfg.Rules = eligible.Rules{newClosed(perStep)}
	f.cfg.NextCall = func(_ time.Time, upstreams []catalog.Upstream, ahead int) time.Duration {
		return time.Duration(len(upstreams)*(ahead+1)) * perStep
	}
	var served, refused atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			start := time.Now()
			resp, _, err := f.call(t, "/unsafe/x")
			switch {
			case err != nil:
				t.Error(err)
			case resp.StatusCode == http.StatusOK:
				served.Add(1)
			default:
				refused.Add(1)
				if took := time.Since(start); took > perStep {
					t.Errorf("refused after %v, want at once", took)
				}
			}
		})
	}
	wg.Wait()
	// The objective of a second, less the expected time of a request, leaves four steps.
	// Requests that a busy machine delays until the first ones have been served find fewer
	// ahead.
	if got := served.Load(); got < 4 || got > 6 || refused.Load() != callers-got {
		t.Errorf("%d served and %d refused, want 4 served, or up to 6 on a busy machine, and the others refused", got, refused.Load())
	}
}
