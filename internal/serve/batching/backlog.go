package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
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
	// Below and Unmet are set while capacity is shared between accounts. They hold the
	// delay at each rank that has jobs for an account with that standing.
	Below, Unmet []RankWait
	// Over holds the accounts that ask for more than their share with their standing.
	// Others are below their share.
	Over map[string]fairshare.Standing
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

// ForAccount returns the expected queueing delay of a new job of an account and a rank:
// onTime if it can still meet its objective, total if it can't.
func (b Backlog) ForAccount(account string, rank site.Rank) (onTime, total time.Duration) {
	if len(b.Over) == 0 {
		return b.For(rank), b.Total
	}
	switch b.Over[account] {
	case fairshare.Below:
		wait := b.at(b.Below, rank)
		return wait, wait
	case fairshare.Unmet:
		return b.at(b.Unmet, rank), b.Total
	default:
		return b.For(rank), b.Total
	}
}

// at returns the delay in waits at exactly the given rank. Where no job has that rank,
// only more urgent ranks cause a delay.
func (b Backlog) at(waits []RankWait, rank site.Rank) time.Duration {
	for _, w := range waits {
		if w.Rank == rank {
			return w.Wait
		}
	}
	return b.For(rank)
}
