package registry

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// currencyLease is how long a control instance passes on the state of the log as the
// present one after it last knew that it follows the leader. It spans several ticks of
// confirmInterval, and is shorter than the time for which an instance must have been
// suspended or cut off to miss an order that others have acknowledged.
const currencyLease = 500 * time.Millisecond

// deafTime is how long an instance may be busy, or without a leader, and still have heard
// the upstreams that are alive: what they send meanwhile waits for it. A busy machine delays
// the ticks that extend a lease by more than the lease lasts.
const deafTime = time.Second

// currency is whether the evacuated zones and the ended starts that a control instance
// knows are sure to be the present ones. They are after a confirmed read from the leader,
// for as long as the instance goes on following a leader without a gap. It has no clock:
// times count from the start of the machine and include its suspension.
type currency struct {
	// until is the end of the lease, 0 if there is none. since is when the first of the
	// leases began that have followed each other within deafTime.
	until, since time.Duration
	// lapsed is the end of the last lease, or the start of the instance. confirmed is set
	// once there has been a lease.
	lapsed    time.Duration
	confirmed bool
}

// tick extends the lease if a leader is known and the lease has not ended. It reports
// whether a read from the leader has to confirm the state.
func (c *currency) tick(now time.Duration, leaderKnown bool) (needsRead bool) {
	switch {
	case !leaderKnown:
		c.until = 0
		return false
	case !c.valid(now):
		return true
	default:
		c.extend(now)
		return false
	}
}

// confirm begins a lease after a read that began at the given time.
func (c *currency) confirm(began time.Duration) {
	if !c.confirmed || began-c.lapsed > deafTime {
		c.since = began
	}
	c.confirmed = true
	c.extend(began)
}

func (c *currency) extend(now time.Duration) {
	c.until = max(c.until, now+currencyLease)
	c.lapsed = max(c.lapsed, c.until)
}

// valid reports whether the state is sure to be the present one.
func (c *currency) valid(now time.Duration) bool { return now < c.until }

// missesNoEnd reports whether no message can arrive any more that was sent before the end
// of a start that is not known here. Without a leader that is so after the longest delay
// of a message: no end is acknowledged meanwhile, or others know of it.
func (c *currency) missesNoEnd(now time.Duration) bool {
	return c.valid(now) || now-c.lapsed > catalog.MaxDelay
}

// steadyFor returns for how long the state has been sure without a gap of over deafTime.
func (c *currency) steadyFor(now time.Duration) time.Duration {
	if !c.valid(now) {
		return 0
	}
	return now - c.since
}
