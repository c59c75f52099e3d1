package batcher

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new observation in the moving average.
	slownessWeight = 0.3
	// slownessHalfLife is the time in which the excess over 1 halves while no call
	// ends, so that a slow upstream is tried again.
	slownessHalfLife = 4 * time.Second
)

// slowness is a moving average of the ratio of actual to expected call duration
// at one upstream. The zero value is a ratio of 1.
type slowness struct {
	// excess is the ratio minus 1, as of updated.
	excess  float64
	updated time.Time
}

// factor returns the ratio at now.
func (s slowness) factor(now time.Time) float64 {
	if s.excess == 0 {
		return 1
	}
	return 1 + s.excess*math.Exp2(-now.Sub(s.updated).Seconds()/slownessHalfLife.Seconds())
}

// observe records a call that took observed times its expected duration.
func (s *slowness) observe(now time.Time, observed float64) {
	before := s.factor(now)
	s.excess, s.updated = before+slownessWeight*(observed-before)-1, now
}

// observeTimeout records a call that timed out after observed times its
// expected duration. The true ratio is at least that, so it never lowers the
// average.
func (s *slowness) observeTimeout(now time.Time, observed float64) {
	s.excess, s.updated = max(s.factor(now), observed)-1, now
}
