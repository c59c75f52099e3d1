package timeline

import (
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// MaxAhead bounds how far a received clock may move the local one. A clock
// further ahead is taken as wrong and ignored.
const MaxAhead = time.Minute

// Clock is a hybrid logical clock. Its zero value is ready to use.
type Clock struct {
	mu      sync.Mutex
	wallMs  int64
	logical uint32
	// Now returns the wall time; nil is time.Now.
	Now func() time.Time
}

func (c *Clock) wall() int64 {
	if c.Now != nil {
		return c.Now().UnixMilli()
	}
	return time.Now().UnixMilli()
}

// Next returns a stamp that is after every stamp returned or observed before.
func (c *Clock) Next() *fleetpb.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.wall(); now > c.wallMs {
		c.wallMs, c.logical = now, 0
	} else {
		c.logical++
	}
	return &fleetpb.Clock{WallMs: c.wallMs, Logical: c.logical}
}

// Observe moves the clock past a received stamp.
func (c *Clock) Observe(s *fleetpb.Clock) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMs > c.wall()+MaxAhead.Milliseconds() {
		return
	}
	if s.WallMs > c.wallMs || s.WallMs == c.wallMs && s.Logical > c.logical {
		c.wallMs, c.logical = s.WallMs, s.Logical
	}
}
