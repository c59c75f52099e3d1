package registry

import "time"

const (
	// endRetention is how long an instance must have known the end of a start before it
	// lets the log forget it. It exceeds the longest delay of a message, catalog.MaxDelay.
	endRetention = 2 * time.Minute
	// forgetInterval is the time between two looks for ends that the log may forget.
	forgetInterval = 10 * time.Second
)

// retention is how long an instance has known the changes of the log up to an index. It has
// no clock: times count from the start of the machine and include its suspension. A clock
// of the day could jump over the retention.
type retention struct {
	// known are log indices and since when they are known, in ascending order.
	known []knownIndex
	// forgettable is the highest index that has been known for endRetention.
	forgettable uint64
}

type knownIndex struct {
	index uint64
	since time.Duration
}

// note records that the changes up to an index are known at now, and returns the index up
// to which they have been known for endRetention, 0 if there is none.
func (r *retention) note(index uint64, now time.Duration) uint64 {
	if n := len(r.known); index > r.forgettable && (n == 0 || r.known[n-1].index < index) {
		r.known = append(r.known, knownIndex{index: index, since: now})
	}
	for len(r.known) > 0 && now-r.known[0].since >= endRetention {
		r.forgettable = r.known[0].index
		r.known = r.known[1:]
	}
	return r.forgettable
}
