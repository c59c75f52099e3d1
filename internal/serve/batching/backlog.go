package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Backlog is how long the upstreams of a service need for the pieces that wait.
// The zero value means that nothing waits.
type Backlog struct {
	// Ranks is the wait at each rank that waits on time, for its pieces and
	// those of all more urgent ranks, in the order of the ranks.
	Ranks []RankWait
	// Last is the wait of a group that goes behind all others.
	Last time.Duration
}

// RankWait is the wait at one rank.
type RankWait struct {
	Rank site.Rank
	Wait time.Duration
}

// For returns the wait of a new group of a rank that is on time.
func (b Backlog) For(rank site.Rank) time.Duration {
	wait := time.Duration(0)
	for _, w := range b.Ranks {
		if w.Rank > rank {
			break
		}
		wait = w.Wait
	}
	return wait
}
