package batcher

import (
	"math"
	"time"
)

const (
	// paceShare is the weight of a new observation in an upstream's pace.
	paceShare = 0.3
	// paceLife is the time in which a pace halves its distance from the usual
	// one while no call ends, so that a slow upstream is tried again.
	paceLife = 4 * time.Second
)

// pace is how many times its expected time a call takes at an upstream. The
// zero value is the usual pace.
type pace struct {
	// excess is what the pace is over 1; seen is when it was noted.
	excess float64
	seen   time.Time
}

// factor returns the pace.
func (p pace) factor(now time.Time) float64 {
	if p.excess == 0 {
		return 1
	}
	return 1 + p.excess*math.Exp2(-now.Sub(p.seen).Seconds()/paceLife.Seconds())
}

// took notes a call that ended after observed times its expected time.
func (p *pace) took(now time.Time, observed float64) {
	before := p.factor(now)
	p.excess, p.seen = before+paceShare*(observed-before)-1, now
}

// exceeded notes a call that was given up after observed times its expected
// time.
func (p *pace) exceeded(now time.Time, observed float64) {
	p.excess, p.seen = max(p.factor(now), observed)-1, now
}
