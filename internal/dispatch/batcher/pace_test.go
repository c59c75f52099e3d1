package batcher

import (
	"context"
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	var p pace
	if got := p.factor(now); got != 1 {
		t.Errorf("unknown: %.2f, want 1", got)
	}
	p.exceeded(now, 5)
	if got := p.factor(now); got != 5 {
		t.Errorf("after a call that was given up: %.2f, want 5", got)
	}
	p.exceeded(now, 2)
	if got := p.factor(now); got != 5 {
		t.Errorf("a shorter wait lowered it to %.2f, want 5", got)
	}
	if got := p.factor(now.Add(paceLife)); got != 3 {
		t.Errorf("after %v: %.2f, want 3", paceLife, got)
	}
	for range 20 {
		p.took(now, 1)
	}
	if got := p.factor(now); got > 1.01 {
		t.Errorf("after many usual calls: %.2f, want 1", got)
	}
}

// Where every upstream is slow there is no faster one to wait for.
func TestAllSlowUpstreamsAreUsed(t *testing.T) {
	o := newOwner(t, 1<<40, newMaker(t))
	checkMade(t, o.Do(context.Background(), order("first", 1)), "first", 1)
	p := o.pools["scan"]
	p.mu.Lock()
	p.state("m0").pace.exceeded(time.Now(), 500)
	p.mu.Unlock()
	began := time.Now()
	checkMade(t, o.Do(context.Background(), order("r", 2)), "r", 2)
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("made after %v, want at once", took)
	}
}
