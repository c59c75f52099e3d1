package gateway

import (
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// durationWeight is the weight of a new sample in the moving average of
	// durations.
	durationWeight = 0.1
	// peakDecay is the share of its distance to a shorter sample by which the
	// longest duration falls.
	peakDecay = 0.02
	// averageMargin and peakMargin are the multiples of the average and of the
	// longest duration that must be left for something to end in time.
	averageMargin = 2
	peakMargin    = 1.2
	// tokenMargin is that multiple for the time that the tokens of a stream take. A full
	// engine takes 2.5 times as long for a token as an idle one, and a stream that is
	// refused goes to another entry at once.
	tokenMargin = 2.5
)

// routeDurations keeps how long the requests of each route, or a part of them, take:
// on average, and at the longest in recent times. It is safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]durations
}

type durations struct {
	average, peak time.Duration
	// head is the longest time until the first event, and perToken the longest time for
	// each token that the caller has asked for after it, 0 if no stream with a known
	// number of tokens has ended.
	head, perToken time.Duration
}

// elapsed is how long a request took. head is the time until the first event of a stream,
// and tokens the number of tokens that its caller has asked for, 0 if it is not known.
type elapsed struct {
	total, head time.Duration
	tokens      int
}

// with returns the durations after one more sample.
func (d durations) with(e elapsed) durations {
	d.average += time.Duration(durationWeight * float64(e.total-d.average))
	d.peak = peakWith(d.peak, e.total)
	if e.tokens > 0 {
		d.head = peakWith(d.head, e.head)
		d.perToken = peakWith(d.perToken, (e.total-e.head)/time.Duration(e.tokens))
	}
	return d
}

func peakWith(peak, sample time.Duration) time.Duration {
	return max(sample, peak-time.Duration(peakDecay*float64(peak-sample)))
}

// record adds a finished request.
func (d *routeDurations) record(route string, e elapsed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]durations)
	}
	known, ok := d.routes[route]
	if !ok {
		known = durations{average: e.total, peak: e.total}
	}
	d.routes[route] = known.with(e)
}

// typical returns the average duration of a route, false if none has ended yet.
func (d *routeDurations) typical(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[route]
	return known.average, ok
}

// bound returns the time in which a request of the route ends, also on a slow
// upstream, false if none has ended yet. Streams vary more than other requests: with the
// number of tokens, if that is known.
func (d *routeDurations) bound(r *site.Route, tokens int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[r.Name]
	bound := time.Duration(peakMargin * float64(known.peak))
	switch {
	case r.Kind == site.Streaming && tokens > 0 && known.perToken > 0:
		bound = time.Duration(peakMargin*float64(known.head)) + time.Duration(tokenMargin*float64(tokens)*float64(known.perToken))
	case r.Kind == site.Streaming:
		bound = max(bound, averageMargin*known.average)
	}
	return bound, ok
}

// outlastsShutdown reports whether a request that takes as long as d says might still run
// when this process stops. Another entry can serve it to its end. Of a route of which
// nothing is known, only a request whose deadline is before the stop is sure to have ended.
func (q *request) outlastsShutdown(d *routeDurations) bool {
	end, ok := q.server.stopAt.Load().(time.Time)
	if !ok || q.deadline.Before(end) {
		return false
	}
	bound, known := d.bound(q.route, q.OutputTokens)
	return !known || time.Until(end) < bound
}
