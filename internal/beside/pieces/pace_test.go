package pieces

import (
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
