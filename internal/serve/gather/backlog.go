package gather

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Backlog is how long the upstreams of a service need for the pieces that wait,
// at each rank that waits for these and all more urgent ones, in the order of
// the ranks. The last entry is for all of them. An empty Backlog means that
// nothing waits.
type Backlog []RankWait

// RankWait is the wait at one rank.
type RankWait struct {
	Rank site.Rank
	Wait time.Duration
}

// For returns the wait of a new group of a rank that is on time.
func (b Backlog) For(rank site.Rank) time.Duration {
	wait := time.Duration(0)
	for _, w := range b {
		if w.Rank > rank {
			break
		}
		wait = w.Wait
	}
	return wait
}

// All returns the wait of a group that goes behind all others.
func (b Backlog) All() time.Duration {
	if len(b) == 0 {
		return 0
	}
	return b[len(b)-1].Wait
}
