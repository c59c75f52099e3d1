package batcher

import (
	"context"
	"testing"
	"time"
)

func TestSlowness(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	var s slowness
	if got := s.factor(now); got != 1 {
		t.Errorf("without observations: %.2f, want 1", got)
	}
	s.observeTimeout(now, 5)
	if got := s.factor(now); got != 5 {
		t.Errorf("after a call that timed out: %.2f, want 5", got)
	}
	s.observeTimeout(now, 2)
	if got := s.factor(now); got != 5 {
		t.Errorf("a shorter timeout lowered it to %.2f, want 5", got)
	}
	if got := s.factor(now.Add(slownessHalfLife)); got != 3 {
		t.Errorf("after %v: %.2f, want 3", slownessHalfLife, got)
	}
	for range 20 {
		s.observe(now, 1)
	}
	if got := s.factor(now); got > 1.01 {
		t.Errorf("after many calls of expected duration: %.2f, want 1", got)
	}
}

// If every upstream is slow, pieces do not wait for a faster one.
func TestAllSlowUpstreamsAreUsed(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	checkCompleted(t, o.Do(context.Background(), newJob("first", 1)), "first", 1)
	d := o.dispatchers[shard{service: "scan"}]
	d.mu.Lock()
	d.upstream("u0").slowness.observeTimeout(time.Now(), 500)
	d.mu.Unlock()
	start := time.Now()
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("completed after %v, want at once", took)
	}
}

// Guards against an upstream that is never called at low load because the others happen to be
// faster than expected, and against one that is tried although it is known as slow.
func TestUpstreamThatWasNotCalledForLongGoesFirst(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	d, _ := o.dispatcher(shard{service: "scan"})
	now := time.Now()
	d.upstream("fast").slowness.observe(now, 0.5)
	d.upstream("fast").calledAt = now
	d.upstream("slow").slowness.observe(now, 20)
	if got, other := d.speedStep(now, "idle"), d.speedStep(now, "fast"); got >= other {
		t.Errorf("step %d of an upstream that was never called, want less than %d", got, other)
	}
	if got, other := d.speedStep(now, "slow"), d.speedStep(now, "fast"); got <= other {
		t.Errorf("step %d of a slow upstream, want more than %d", got, other)
	}
}
