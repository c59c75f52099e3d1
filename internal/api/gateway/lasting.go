package gateway

import (
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// lastingShare is the weight of a new observation in how long answers last.
	lastingShare = 0.1
	// lastingMargin is the multiple of the usual time that must be left of a
	// process that stops for a stream to begin there.
	lastingMargin = 2
)

// lasting knows how long the requests of each route take to their end. It is
// safe for concurrent use.
type lasting struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

// note takes the time that a request has taken.
func (l *lasting) note(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = make(map[string]time.Duration)
	}
	usual, known := l.routes[route]
	if !known {
		usual = took
	}
	l.routes[route] = usual + time.Duration(lastingShare*float64(took-usual))
}

// usual returns how long the requests of a route take, 0 where none has ended.
func (l *lasting) usual(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.routes[route]
}

// outlasts reports whether a stream would probably not end before a process
// that stops does. Another entry can take it whole.
func (s *Server) outlasts(r *site.Route) bool {
	end, ok := s.stopAt.Load().(time.Time)
	if !ok || r.Kind != site.Streaming {
		return false
	}
	return time.Until(end) < lastingMargin*s.lasting.usual(r.Name)
}
