package batcher

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

// closedUntil is a rule by which no upstream may be called before a time.
type closedUntil struct{ at time.Time }

func (c closedUntil) Wait(now time.Time, _ catalog.Upstream) time.Duration {
	return max(0, c.at.Sub(now))
}

// Guards against pieces that are refused although an upstream may be called in time, and
// against pieces that wait although none may: the refusal has to be at once and true.
func TestPiecesWaitForUpstreamThatMayBeCalledInTime(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	o.cfg.Rules = eligible.Rules{closedUntil{at: time.Now().Add(300 * time.Millisecond)}}
	start := time.Now()
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
	if took := time.Since(start); took < 250*time.Millisecond {
		t.Errorf("completed after %v, want 300 ms at the earliest", took)
	}
	o.cfg.Rules = eligible.Rules{closedUntil{at: time.Now().Add(time.Minute)}}
	start = time.Now()
	refused, ok := o.Do(context.Background(), newJob("r2", 2)).(Refused)
	if took := time.Since(start); !ok || took > 200*time.Millisecond || refused.RetryAfter < 50*time.Second {
		t.Errorf("got %+v after %v, want a refusal at once for a minute", refused, took)
	}
}

// Guards against an upstream that is avoided for a second, and a job that fails, because
// the share of a cold upstream was taken between the choice and the write.
func TestDeferredCallIsNoFailure(t *testing.T) {
	u := newFakeUpstream(t)
	o := newOwner(t, 1<<40, u)
	send, sends := o.cfg.Send, atomic.Int64{}
	o.cfg.Send = func(ctx context.Context, target transport.Target, r transport.Request) transport.Outcome {
		if sends.Add(1) <= 2*maxFailures {
			return transport.NotSent{Err: &eligible.WaitError{Upstream: target.ID, Wait: time.Second}, Local: true}
		}
		return send(ctx, target, r)
	}
	start := time.Now()
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
	if took := time.Since(start); took > failureBackoff/2 {
		t.Errorf("completed after %v, want without a back-off", took)
	}
}
