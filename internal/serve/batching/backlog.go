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
	// Below is set while capacity is shared between accounts. It holds the delay at each
	// rank that has jobs for an account below its share.
	Below []RankWait
	// Over holds the accounts that ask for more than their share. Others are below it.
	Over map[string]AccountWait
}

// AccountWait is the expected queueing delay of an account that asks for more than its
// share.
type AccountWait struct {
	Standing fairshare.Standing
	// OnTime is that of a job on time behind all others that are on time, Total that of a job
	// behind all others.
	OnTime, Total time.Duration
	// Piece is the delay that each further piece of the account adds.
	Piece time.Duration
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
	over, ok := b.Over[account]
	if !ok {
		wait := b.below(rank)
		return wait, wait
	}
	onTime = max(over.OnTime, b.below(rank))
	return onTime, max(onTime, over.Total)
}

// below returns the delay of an account below its share at a rank. Where no job has that
// rank, only more urgent ranks cause a delay.
func (b Backlog) below(rank site.Rank) time.Duration {
	for _, w := range b.Below {
		if w.Rank == rank {
			return w.Wait
		}
	}
	return b.For(rank)
}
