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
	// unknownMargin is the multiple of the latency objective that is used for a route
	// without samples.
	unknownMargin = 2
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

// bound returns the time in which a request of the route ends, also on a slow
// upstream.
func (d *routeDurations) bound(r *site.Route) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.routes[r.Name]
	if !ok {
		return unknownMargin * r.Objective
	}
	return max(averageMargin*known.average, time.Duration(peakMargin*float64(known.peak)))
}

// outlastsShutdown reports whether a stream that takes as long as d says might still
// run when this process stops. Another entry can serve it to its end.
func (s *Server) outlastsShutdown(r *site.Route, d *routeDurations) bool {
	end, ok := s.stopAt.Load().(time.Time)
	if !ok || r.Kind != site.Streaming {
		return false
	}
	return time.Until(end) < d.bound(r)
}
