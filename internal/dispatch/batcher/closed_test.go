package batcher

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

// heed makes an owner heed the header Wait of answers, and returns what it knows of the
// upstreams u0, u1 and so on and its clock.
func heed(t *testing.T, o *Owner) (*backoff.Table, func() time.Duration) {
	epoch := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(epoch) }
	table := backoff.NewTable(backoff.Config{Random: func() float64 { return 0 }})
	pool := transport.NewPool(transport.Config{
		Classify: func(_ int, h http.Header) transport.Reply {
			wait, _ := time.ParseDuration(h.Get("Wait"))
			return transport.Reply{NotExecuted: h.Get("Not-Run") != "", Signal: backoff.Signal{RetryAfter: wait}}
		},
		Admit: func(to transport.Target, _ transport.Request) error {
			return table.Admit(now(), backoff.Start{ID: to.ID})
		},
		OnSignal: func(to transport.Target, s backoff.Signal) { table.Observe(now(), backoff.Start{ID: to.ID}, s) },
		Log:      zap.NewNop(),
	})
	t.Cleanup(func() { pool.Close() })
	o.cfg.Send = pool.Send
	o.cfg.Rules = eligible.Rules{eligible.Backoff{Table: table, Now: now}}
	return table, now
}

// wanting makes an upstream want no calls for a while, each of its first n times.
func (u *fakeUpstream) wanting(n int, wait string) {
	inner := u.Config.Handler
	served := 0
	u.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		served++
		refuse := served <= n
		u.mu.Unlock()
		if !refuse {
			inner.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Wait", wait)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// Guards against an owner that calls an upstream for one job after it has wanted no calls at
// that of another.
func TestOwnerHeedsBackPressureForAllJobs(t *testing.T) {
	closed, other := newFakeUpstream(t), newFakeUpstream(t)
	o := newOwner(t, 1<<40, closed, other)
	table, now := heed(t, o)
	table.Observe(now(), backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: time.Minute})
	for i := range 6 {
		id := fmt.Sprint("r", i)
		checkCompleted(t, o.Do(context.Background(), newJob(id, 4)), id, 4)
	}
	if calls, _ := closed.recorded(); len(calls) != 0 {
		t.Errorf("the closed upstream got %d calls, want none", len(calls))
	}
}

// Guards against back-pressure that fails jobs as failed calls do.
func TestBackPressureFailsNoJob(t *testing.T) {
	u := newFakeUpstream(t)
	u.wanting(maxFailures+1, "80ms")
	o := newOwner(t, 1<<40, u)
	heed(t, o)
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
}

// Guards against a job that is refused although the upstreams come back in time, and against
// one that is held back although they do not.
func TestJobWaitsForClosedUpstreams(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t), newFakeUpstream(t))
	table, now := heed(t, o)
	table.Observe(now(), backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: 400 * time.Millisecond})
	table.Observe(now(), backoff.Start{ID: "u1"}, backoff.Signal{RetryAfter: time.Minute})
	hopeless := newJob("r0", 2)
	hopeless.Timeout = 200 * time.Millisecond
	start := time.Now()
	refused, ok := o.Do(context.Background(), hopeless).(Refused)
	if !ok || time.Since(start) > 100*time.Millisecond {
		t.Errorf("got %#v after %v, want Refused at once", refused, time.Since(start))
	}
	if refused.RetryAfter < 300*time.Millisecond || refused.RetryAfter > 400*time.Millisecond {
		t.Errorf("refused for %v, want a little less than 400 ms", refused.RetryAfter)
	}
	checkCompleted(t, o.Do(context.Background(), newJob("r1", 2)), "r1", 2)
	if took := time.Since(start); took < 400*time.Millisecond {
		t.Errorf("completed after %v, want 400 ms at least", took)
	}
}

// Guards against results that stay at an upstream that takes no calls any more.
func TestResultsAreReleasedAtLeavingUpstream(t *testing.T) {
	leaving, other := newFakeUpstream(t), newFakeUpstream(t)
	o := newOwner(t, 1<<40, other)
	known := catalog.Upstream{ID: "gone", Address: leaving.address(), State: catalog.Draining}
	o.cfg.Holder = func(address string) (catalog.Upstream, bool) { return known, address == known.Address }
	cleanups := make(chan bool, 2)
	send := o.cfg.Send
	o.cfg.Send = func(ctx context.Context, to transport.Target, r transport.Request) transport.Outcome {
		cleanups <- r.Cleanup
		return send(ctx, to, r)
	}
	o.release(shard{service: "scan"}, []string{leaving.address() + "/a", other.address() + "/b", "127.0.0.1:9/c"})
	eventually(t, "the release", func() bool {
		_, a := leaving.recorded()
		_, b := other.recorded()
		return len(a) == 1 && len(b) == 1
	})
	for range 2 {
		if !<-cleanups {
			t.Error("a release is not marked as one")
		}
	}
}
