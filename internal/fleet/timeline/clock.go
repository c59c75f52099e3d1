package timeline

import (
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// MaxClockSkew is how far a received timestamp may be ahead of the local wall
// clock. One further ahead is taken as wrong and ignored, so that one wrong clock
// does not advance those of all processes.
const MaxClockSkew = time.Minute

// Clock is a hybrid logical clock. Its zero value is ready to use. It is safe for
// concurrent use.
type Clock struct {
	mu      sync.Mutex
	wallMs  int64
	logical uint32
	// Now returns the wall clock time; nil means time.Now.
	Now func() time.Time
}

// nowMs returns the wall clock time in Unix milliseconds.
func (c *Clock) nowMs() int64 {
	if c.Now != nil {
		return c.Now().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Next returns a timestamp that is after all timestamps returned or observed so
// far.
func (c *Clock) Next() *fleetpb.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.nowMs(); now > c.wallMs {
		c.wallMs, c.logical = now, 0
	} else {
		c.logical++
	}
	return &fleetpb.Clock{WallMs: c.wallMs, Logical: c.logical}
}

// Observe advances the clock to a received timestamp, unless the clock is already
// past it.
func (c *Clock) Observe(s *fleetpb.Clock) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMs > c.nowMs()+MaxClockSkew.Milliseconds() {
		return
	}
	if s.WallMs > c.wallMs || s.WallMs == c.wallMs && s.Logical > c.logical {
		c.wallMs, c.logical = s.WallMs, s.Logical
	}
}
