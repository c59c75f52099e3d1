package batcher

import (
	"context"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

// learnCalls lets a dispatcher with three upstreams observe calls of two to six pieces over
// a time, of which scale returns the duration as a multiple of the configured one.
func learnCalls(t *testing.T, d *dispatcher, from time.Time, span time.Duration, scale func(id string) float64) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for at := time.Duration(0); at < span; at += 50 * time.Millisecond {
		for _, id := range []string{"u0", "u1", "u2"} {
			pieces := 2 + n%5
			n++
			nominal := 5*time.Millisecond + time.Duration(pieces)*time.Millisecond
			d.observeCall(from.Add(at), id, make([]Output, pieces), time.Duration(scale(id)*float64(nominal)), nominal)
		}
	}
}

func learningOwner(t *testing.T) (*Owner, *dispatcher) {
	t.Helper()
	o := newOwner(t, 1<<40, newFakeUpstream(t), newFakeUpstream(t), newFakeUpstream(t))
	o.cfg.Model = capacity.NewModel()
	d, ok := o.dispatcher(shard{service: "scan"})
	if !ok {
		t.Fatal("the service has no dispatcher")
	}
	return o, d
}

// Guards against batches for a slow upstream while faster ones are idle, and against an
// upstream that has recovered and still counts as slow.
func TestLearnedFactorFollowsUpstream(t *testing.T) {
	_, d := learningOwner(t)
	start := time.Now().Add(-time.Minute)
	slow := func(id string) float64 { return map[bool]float64{true: 4, false: 1}[id == "u1"] }
	learnCalls(t, d, start, 10*time.Second, slow)
	factors := func(at time.Duration) (slow, other float64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.factor(start.Add(at), "u1"), d.factor(start.Add(at), "u0")
	}
	if got, other := factors(10 * time.Second); got < 2.8*other {
		t.Errorf("calls that take 4 times as long: got a factor of %.2f against %.2f", got, other)
	}
	learnCalls(t, d, start.Add(10*time.Second), 10*time.Second, func(string) float64 { return 1 })
	if got, other := factors(20 * time.Second); got > 1.4*other {
		t.Errorf("10 s after the recovery: got a factor of %.2f against %.2f", got, other)
	}
}

// Guards against waits that are promised by the configured duration of calls where all take
// longer, and against learned durations without bounds.
func TestLearnedDurationScalesConfiguredOne(t *testing.T) {
	for _, tt := range []struct{ actual, least, most float64 }{{1, 0.9, 1.1}, {2, 1.7, 2.3}, {100, maxScale, maxScale}, {0.01, minScale, minScale}} {
		o, d := learningOwner(t)
		learnCalls(t, d, time.Now().Add(-10*time.Second), 10*time.Second, func(string) float64 { return tt.actual })
		d, _ = o.dispatcher(shard{service: "scan"})
		nominal := 5*time.Millisecond + 6*time.Millisecond
		if got := float64(d.queue.Duration(6)) / float64(nominal); got < tt.least || got > tt.most {
			t.Errorf("calls take %.2f times the configured duration: got %.2f, want %.2f to %.2f", tt.actual, got, tt.least, tt.most)
		}
	}
}

// Guards against jobs that fail, or wait, because a model is used.
func TestJobsCompleteWithLearnedDurations(t *testing.T) {
	o, _ := learningOwner(t)
	for range 30 {
		checkCompleted(t, o.Do(context.Background(), newJob("r", 4)), "r", 4)
	}
	if got := o.cfg.Model.Services(); len(got) != 1 || got[0] != callsOf("scan") {
		t.Errorf("learned of %v, want %s", got, callsOf("scan"))
	}
}
