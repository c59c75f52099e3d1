package warmup

import (
	"math"
	"time"
)

const (
	// arrivalJitter is added to the window in which sent requests count: requests that
	// are written a second apart arrive closer together if the first one is delayed.
	arrivalJitter = 50 * time.Millisecond
	// maxWindow bounds the time per request of an upstream that tolerates less than one
	// a second.
	maxWindow = 24 * time.Hour
	// maxShare bounds the number of sent requests that are remembered for an upstream.
	maxShare = 4096
)

// rate is what a cold upstream tolerates: count requests in a window.
type rate struct {
	count  int
	window time.Duration
}

// rateOf returns the rate of an upstream that tolerates a number of requests a second.
// Of less than one a second, one is allowed in as many seconds as it takes.
func rateOf(perSecond float64) rate {
	if perSecond >= 1 {
		return rate{count: int(math.Floor(perSecond)), window: time.Second + arrivalJitter}
	}
	window := min(float64(time.Second)/perSecond, float64(maxWindow))
	return rate{count: 1, window: time.Duration(window) + arrivalJitter}
}

// isolatedPart is the part of the margin between the tolerance of an upstream and the
// bound that isolated entries share: one of so many. Those that have lost their contact
// and those that have just started may not know of each other, and each share a part.
const isolatedPart = 2

// isolatedBudget returns the number of requests in a window that isolated entries share.
func (c Config) isolatedBudget(perSecond float64) int {
	margin := int(math.Floor(perSecond*c.Over+c.Slack)) - rateOf(perSecond).count
	return max(0, margin/isolatedPart)
}

// shareOf returns the share of the entry at a rank among n entries in a number of
// requests. The shares of all ranks add up to that number.
func shareOf(requests, n, rank int) int {
	share := requests / n
	if rank < requests%n {
		share++
	}
	return min(share, maxShare)
}

// window holds the times of the last requests to an upstream, the oldest first.
type window struct{ sent []time.Duration }

// add records a request. It keeps at most the given number, which has to be at least the
// largest share of the upstream.
func (w *window) add(now time.Duration, keep int) {
	if len(w.sent) >= keep {
		n := copy(w.sent, w.sent[len(w.sent)-keep+1:])
		w.sent = w.sent[:n]
	}
	w.sent = append(w.sent, now)
}

// last returns the n last requests, or all if there are fewer.
func (w *window) last(n int) []time.Duration { return w.sent[max(0, len(w.sent)-n):] }

// wait returns how long after now the next request of a share, which is positive, may be
// sent.
func (w *window) wait(now time.Duration, share int, length time.Duration) time.Duration {
	last := w.last(share)
	if len(last) < share {
		return 0
	}
	return max(0, last[0]+length-now)
}
