package registry

import "time"

// currencyLease is how long a control instance passes on the evacuated zones as the
// present ones after it last knew that it follows the leader. It spans several ticks of
// confirmInterval, and is shorter than the time for which an instance must have been
// suspended or cut off to miss an order that others have acknowledged.
const currencyLease = 500 * time.Millisecond

// currency is whether the evacuated zones that a control instance knows are sure to be the
// present ones. They are after a confirmed read from the leader, for as long as the
// instance goes on following a leader without a gap. It has no clock: times count from
// the start of the machine and include its suspension.
type currency struct {
	// until is the end of the lease, 0 if there is none.
	until time.Duration
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
		c.until = now + currencyLease
		return false
	}
}

// confirm begins a lease after a read that began at the given time.
func (c *currency) confirm(began time.Duration) { c.until = max(c.until, began+currencyLease) }

// valid reports whether the state is sure to be the present one.
func (c *currency) valid(now time.Duration) bool { return now < c.until }
