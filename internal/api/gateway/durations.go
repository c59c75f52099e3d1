package gateway

import (
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// durationWeight is the weight of a new sample in the moving average of
	// request durations.
	durationWeight = 0.1
	// shutdownMargin is the multiple of a stream's average duration that must be
	// left before the process stops for a new stream to be accepted.
	shutdownMargin = 2
)

// routeDurations keeps an exponential moving average of the request duration
// of each route. It is safe for concurrent use.
type routeDurations struct {
	mu       sync.Mutex
	averages map[string]time.Duration
}

// record adds the duration of a finished request.
func (d *routeDurations) record(route string, elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.averages == nil {
		d.averages = make(map[string]time.Duration)
	}
	average, known := d.averages[route]
	if !known {
		average = elapsed
	}
	d.averages[route] = average + time.Duration(durationWeight*float64(elapsed-average))
}

// average returns the average duration of a route's requests, 0 if none has
// finished yet.
func (d *routeDurations) average(route string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.averages[route]
}

// outlastsShutdown reports whether a new stream would probably still run when
// this process stops. Another entry can serve it to its end.
func (s *Server) outlastsShutdown(r *site.Route) bool {
	end, ok := s.stopAt.Load().(time.Time)
	if !ok || r.Kind != site.Streaming {
		return false
	}
	return time.Until(end) < shutdownMargin*s.durations.average(r.Name)
}
