package eligible

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
)

// Backoff is the rule of what upstreams say in their answers: that they leave, or that they
// want no requests for a while.
type Backoff struct {
	Table *backoff.Table
	// Now is a clock that also counts while the machine is suspended. The time that the
	// methods are given leaves that out.
	Now func() time.Duration
}

// StartOf returns the start that an announcement is of.
func StartOf(u catalog.Upstream) backoff.Start {
	return backoff.Start{ID: u.ID, StartTimeMs: u.StartTimeMs}
}

// Wait implements Rule. It leaves out the pace of a return, so that a request that has been
// let through is not kept from its upstream when it is about to be written.
func (b Backoff) Wait(_ time.Time, u catalog.Upstream) time.Duration {
	if b.Table.Empty() {
		return 0
	}
	d := b.Table.Decide(b.Now(), StartOf(u))
	if d.State == backoff.Returning {
		return 0
	}
	return waitOf(d)
}

// Applies implements BatchRule.
func (b Backoff) Applies() bool { return !b.Table.Empty() }

// WaitAll implements BatchRule. It reads the clock once, and counts the pace of a return.
func (b Backoff) WaitAll(_ time.Time, candidates []catalog.Upstream, waits []time.Duration) {
	now := b.Now()
	for i := range candidates {
		waits[i] = max(waits[i], waitOf(b.Table.Decide(now, StartOf(candidates[i]))))
	}
}

func waitOf(d backoff.Decision) time.Duration {
	if d.State == backoff.Leaving {
		return Unknown
	}
	return d.Wait
}
