package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Backlog is the expected queueing delay at the upstreams of a service. The zero
// value is an empty queue.
type Backlog struct {
	// Ranks holds the delay at each rank that has jobs on time, in ascending
	// order of rank. It covers the pieces of that rank and of all more urgent
	// ranks.
	Ranks []RankWait
	// Total is the delay of a job that is queued behind all others.
	Total time.Duration
}

// RankWait is the expected queueing delay at one rank.
type RankWait struct {
	Rank site.Rank
	Wait time.Duration
}

// For returns the expected queueing delay of a new job of a rank that can still
// meet its objective.
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
