package zonefilter

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// returnTime is the time after the end of an evacuation in which the load on the zone
	// rises to its full share. An engine needs some seconds to warm its caches.
	returnTime = 5 * time.Second
	// firstShare is the share of the requests for which the upstreams of a restored zone
	// are offered at first.
	firstShare = 0.05
)

// Config configures a Filter.
type Config struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Filter holds the evacuated zones. It is safe for concurrent use.
type Filter struct {
	cfg     Config
	applied atomic.Pointer[zones]
	mu      sync.Mutex
	// lists caches the lists of upstreams by service.
	lists map[string]lists
}

// zones are the evacuated zones and those that return. They are immutable.
type zones struct {
	index     uint64
	evacuated map[string]bool
	// returning are the restored zones that do not have their full share of the load yet.
	// It rises anew for all of them when another one is restored, at lastEnd.
	returning map[string]bool
	lastEnd   time.Time
}

// lists are the upstreams of a service in zones that are not evacuated, and those that do
// not return either.
type lists struct {
	zones *zones
	// first and count identify the list of all upstreams: the catalog makes a new one at
	// each change.
	first              *catalog.Upstream
	count              int
	available, settled []catalog.Upstream
}

// New returns a Filter that keeps nothing away.
func New(cfg Config) *Filter {
	f := &Filter{cfg: cfg, lists: make(map[string]lists)}
	f.applied.Store(&zones{})
	return f
}

// Apply replaces the evacuated zones unless their log index is at most that of the present
// ones. It returns the zones whose evacuation has begun and those for which it has ended.
func (f *Filter) Apply(now time.Time, e *statepb.Evacuations) (begun, ended []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.applied.Load()
	if e.GetIndex() <= before.index {
		return nil, nil
	}
	next := &zones{index: e.GetIndex(), evacuated: make(map[string]bool), returning: make(map[string]bool), lastEnd: before.lastEnd}
	for _, zone := range evacuation.Zones(e) {
		next.evacuated[zone] = true
		if !before.evacuated[zone] {
			begun = append(begun, zone)
		}
	}
	for zone := range before.returning {
		next.returning[zone] = !next.evacuated[zone] && now.Sub(before.lastEnd) < returnTime
	}
	for zone := range before.evacuated {
		if !next.evacuated[zone] {
			ended = append(ended, zone)
			next.returning[zone], next.lastEnd = true, now
		}
	}
	clear(f.lists)
	f.applied.Store(next)
	slices.Sort(ended)
	return begun, ended
}

// Evacuated reports whether a zone is evacuated.
func (f *Filter) Evacuated(zone string) bool { return f.applied.Load().evacuated[zone] }

// Count returns the number of evacuated zones.
func (f *Filter) Count() int { return len(f.applied.Load().evacuated) }

// Wait implements eligible.Rule. Nobody knows when an evacuation ends.
func (f *Filter) Wait(_ time.Time, u catalog.Upstream) time.Duration {
	if f.Evacuated(u.Zone) {
		return eligible.Unknown
	}
	return 0
}

// Applies implements eligible.BatchRule. Mostly no zone is evacuated, and a choice among
// hundreds of upstreams need not look at their zones.
func (f *Filter) Applies() bool { return f.Count() > 0 }

// WaitAll implements eligible.BatchRule.
func (f *Filter) WaitAll(_ time.Time, candidates []catalog.Upstream, waits []time.Duration) {
	evacuated := f.applied.Load().evacuated
	for i := range candidates {
		if evacuated[candidates[i].Zone] {
			waits[i] = eligible.Unknown
		}
	}
}

// Available returns the upstreams of a service that lie in no evacuated zone. The result
// may share the array of upstreams; the caller must modify neither.
func (f *Filter) Available(service string, upstreams []catalog.Upstream) []catalog.Upstream {
	return f.listsOf(f.applied.Load(), service, upstreams).available
}

// Offered returns the upstreams that a request may be sent to: those that Available
// returns, without the ones in zones that return, for a share of the requests that falls
// with time. It leaves out none if there would be none left.
func (f *Filter) Offered(now time.Time, service string, upstreams []catalog.Upstream) []catalog.Upstream {
	z := f.applied.Load()
	l := f.listsOf(z, service, upstreams)
	since := now.Sub(z.lastEnd)
	if len(l.settled) == len(l.available) || len(l.settled) == 0 || since >= returnTime || f.cfg.Random() < share(since) {
		return l.available
	}
	return l.settled
}

// listsOf returns the lists of a service with the given upstreams.
func (f *Filter) listsOf(z *zones, service string, upstreams []catalog.Upstream) lists {
	if len(z.evacuated)+len(z.returning) == 0 || len(upstreams) == 0 {
		return lists{available: upstreams, settled: upstreams}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.lists[service]
	if l.zones == z && l.first == &upstreams[0] && l.count == len(upstreams) {
		return l
	}
	l = lists{zones: z, first: &upstreams[0], count: len(upstreams)}
	l.available = without(upstreams, z.evacuated)
	l.settled = without(l.available, z.returning)
	f.lists[service] = l
	return l
}

// share returns the share of the requests for which the upstreams of a zone are offered
// that was restored some time ago.
func share(since time.Duration) float64 {
	return min(1, firstShare+(1-firstShare)*float64(since)/float64(returnTime))
}

// without returns the upstreams that lie in none of the zones.
func without(upstreams []catalog.Upstream, zones map[string]bool) []catalog.Upstream {
	out := make([]catalog.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if !zones[u.Zone] {
			out = append(out, u)
		}
	}
	return out
}
