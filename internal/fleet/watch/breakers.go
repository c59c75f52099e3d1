package watch

import (
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// decideBreakers publishes the breakers of prompt segments that have changed. The caller
// holds mu.
func (h *Hub) decideBreakers(now time.Time) {
	changes, forgotten := h.board.Decide(now)
	for _, c := range changes {
		h.publish(key{kind: breakerChange, id: c.After.Segment})
		if max(c.Before, c.After.State) >= breaker.HalfOpen && c.Before != c.After.State {
			h.cfg.Log.Info("breaker of a prompt segment changed", zap.String("segment", c.After.Segment), zap.Stringer("before", c.Before),
				zap.Stringer("state", c.After.State), zap.String("evidence", h.board.Evidence(c.After.Segment)))
		}
	}
	for _, id := range forgotten {
		h.changes.forget(key{kind: breakerChange, id: id})
	}
}

// Breakers returns the number of half-open and of open breakers.
func (h *Hub) Breakers() (halfOpen, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.board.Count(breaker.HalfOpen), h.board.Count(breaker.Open)
}

// Report sends what this process has seen of prompt segments to all connected control
// instances.
func (f *Follower) Report(seen *fleetpb.NewsSeen) { f.tellAll(seen) }
