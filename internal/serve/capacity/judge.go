package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowFrom and slowUntil are the paces from which an upstream is judged slow and below
	// which it has recovered. They are apart so that noise does not change the judgement.
	slowFrom  = 1.5
	slowUntil = 1.2
)

// Status is what is known of one upstream.
type Status struct {
	Service, Upstream string
	// Pace is its time as a multiple of the typical time.
	Pace float64
	// Concurrency is the number of requests at once up to which it keeps its pace.
	Concurrency int
	// Slow is set if it is judged slow, Changed if that is new.
	Slow, Changed bool
}

// Judge returns what is known of all upstreams, and updates which ones are judged slow.
// It drops upstreams that have not been observed for long.
func (m *Model) Judge(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Status
	for name, s := range m.services {
		for id, u := range s.upstreams {
			if now.Sub(u.usedAt) > retention {
				delete(s.upstreams, id)
				continue
			}
			pace := math.Exp(s.relativePace(now, u))
			slow := pace >= slowFrom || u.slow && pace > slowUntil
			out = append(out, Status{Service: name, Upstream: id, Pace: pace, Concurrency: int(s.concurrency(now, u)), Slow: slow, Changed: slow != u.slow})
			u.slow = slow
		}
	}
	slices.SortFunc(out, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out
}
