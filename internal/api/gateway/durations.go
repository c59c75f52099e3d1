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
)

// routeDurations keeps how long the requests of each route, or a part of them, take:
// on average, and at the longest in recent times. It is safe for concurrent use.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string]durations
}

type durations struct{ average, peak time.Duration }

// with returns the durations after one more sample.
func (d durations) with(elapsed time.Duration) durations {
	d.average += time.Duration(durationWeight * float64(elapsed-d.average))
	d.peak = max(elapsed, d.peak-time.Duration(peakDecay*float64(d.peak-elapsed)))
	return d
}

// record adds the duration of a finished request.
func (d *routeDurations) record(route string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = make(map[string]durations)
	}
	known, ok := d.routes[route]
	if !ok {
		known = durations{average: elapsed, peak: elapsed}
	}
	d.routes[route] = known.with(elapsed)
}

// typical returns the average duration of a route, false if none has ended yet.
func (d *routeDurations) typical(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[route]
	return known.average, ok
}

// bound returns the time in which a request of the route ends, also on a slow
// upstream, false if none has ended yet. Streams vary more than other requests.
func (d *routeDurations) bound(r *site.Route) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[r.Name]
	bound := time.Duration(peakMargin * float64(known.peak))
	if r.Kind == site.Streaming {
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
	bound, known := d.bound(q.route)
	return !known || time.Until(end) < bound
}
