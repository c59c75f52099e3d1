package gather

import "time"

// ranks is the number of ranks that are told apart; less urgent ones count as
// the last of them.
const ranks = 4

// Backlog is how long the upstreams of a service need for the pieces that wait:
// at each rank for those of this rank and all more urgent ones. The last entry
// is for all of them. An empty Backlog means that nothing waits.
type Backlog []time.Duration

// For returns the wait of a new group of a rank that is on time.
func (b Backlog) For(rank int) time.Duration {
	if len(b) == 0 {
		return 0
	}
	return b[min(rankIndex(rank), len(b)-1)]
}

// All returns the wait of a group that goes behind all others.
func (b Backlog) All() time.Duration {
	if len(b) == 0 {
		return 0
	}
	return b[len(b)-1]
}

func rankIndex(rank int) int { return min(max(0, rank), ranks-1) }
