package catalog

import (
	"sort"
	"sync"
	"time"
)

// tombstoneTTL is how long an upstream that has left is kept; it must exceed
// the longest delay of an announcement.
const tombstoneTTL = 2 * time.Minute

// Outcome is the effect of an announcement on the table.
type Outcome int

// Outcomes of Merge.
const (
	// Stale announcements are older than the known one.
	Stale Outcome = iota
	// Refreshed announcements change only the sequence number and LastSeen.
	Refreshed
	// Changed announcements change which calls may be sent to the upstream.
	Changed
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Stale:
		return "stale"
	case Refreshed:
		return "refreshed"
	case Changed:
		return "changed"
	default:
		return "unknown"
	}
}

// Config configures a Table.
type Config struct {
	// OnChange is called for each upstream that an announcement changed, if not
	// nil. It runs with the Table locked and must not call it.
	OnChange func(before, after Upstream)
}

// Table is the set of known upstreams. It is safe for concurrent use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	byID   map[string]Upstream
	byAddr map[string]string
	// ready caches the ready upstreams of each service, sorted by ID; nil after
	// a change.
	ready map[string][]Upstream
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, byID: make(map[string]Upstream), byAddr: make(map[string]string)}
}

// Merge applies an announcement unless a newer one is known.
func (t *Table) Merge(u Upstream) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byID[u.ID]
	if u.State == Left {
		return t.markLeft(current, known, u)
	}
	if known && !isNewer(current, u) {
		return Stale
	}
	if !t.claimAddress(u) {
		return Stale
	}
	if known && current.StartTimeMs == u.StartTimeMs && current.State > u.State {
		u = u.WithState(current.State)
	}
	if known && u.LastSeen.Before(current.LastSeen) {
		u.LastSeen = current.LastSeen
	}
	t.put(current, u)
	if known && equalExceptLiveness(current, u) {
		return Refreshed
	}
	t.notify(current, u)
	return Changed
}

// Refresh records that announcement seq of an upstream was received at the given
// time and changed nothing else.
func (t *Table) Refresh(id string, seq uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, known := t.byID[id]
	if !known || u.State == Left || seq < u.Seq {
		return
	}
	u.Seq = seq
	if at.After(u.LastSeen) {
		u.LastSeen = at
	}
	t.put(u, u)
}

// isNewer reports whether u may replace current.
func isNewer(current, u Upstream) bool {
	if u.StartTimeMs != current.StartTimeMs {
		return u.StartTimeMs > current.StartTimeMs
	}
	return u.Seq > current.Seq && current.State != Left
}

// equalExceptLiveness reports whether two announcements differ at most in
// sequence number and time of receipt, so that routing is unaffected.
func equalExceptLiveness(a, b Upstream) bool {
	a.Seq, b.Seq = 0, 0
	a.LastSeen, b.LastSeen = time.Time{}, time.Time{}
	return a == b
}

// markLeft marks an upstream as left. An announcement without a start time
// refers to the known start.
func (t *Table) markLeft(current Upstream, known bool, u Upstream) Outcome {
	if !known {
		t.put(Upstream{}, u)
		return Changed
	}
	if u.StartTimeMs != 0 && u.StartTimeMs < current.StartTimeMs || current.State == Left && current.StartTimeMs >= u.StartTimeMs {
		return Stale
	}
	left := current.WithState(Left)
	left.StartTimeMs = max(current.StartTimeMs, u.StartTimeMs)
	left.LastSeen = u.LastSeen
	t.put(current, left)
	t.notify(current, left)
	return Changed
}

// claimAddress reports whether u may have its address. It may not if an upstream
// that started later holds the address. Any other holder is marked as left: it
// must have stopped without announcing so.
func (t *Table) claimAddress(u Upstream) bool {
	id, held := t.byAddr[u.Address]
	if !held || id == u.ID {
		return true
	}
	other := t.byID[id]
	if other.State != Left && other.StartTimeMs > u.StartTimeMs {
		return false
	}
	if other.State != Left {
		left := other.WithState(Left)
		left.LastSeen = u.LastSeen
		t.byID[id] = left
		t.ready = nil
		t.notify(other, left)
	}
	return true
}

// put replaces current by u and keeps the address index and the cache in step.
func (t *Table) put(current, u Upstream) {
	t.ready = nil
	if current.Address != u.Address && t.byAddr[current.Address] == u.ID {
		delete(t.byAddr, current.Address)
	}
	t.byID[u.ID] = u
	if u.Address == "" {
		return
	}
	if u.State == Left {
		if t.byAddr[u.Address] == u.ID {
			delete(t.byAddr, u.Address)
		}
		return
	}
	t.byAddr[u.Address] = u.ID
}

func (t *Table) notify(before, after Upstream) {
	if t.cfg.OnChange != nil {
		t.cfg.OnChange(before, after)
	}
}

// Get returns an upstream by ID.
func (t *Table) Get(id string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byID[id]
	return u, ok
}

// ByAddress returns the upstream that serves at an address.
func (t *Table) ByAddress(address string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byID[t.byAddr[address]]
	return u, ok
}

// All returns every known upstream, including those that have left, sorted by
// ID.
func (t *Table) All() []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sorted()
}

func (t *Table) sorted() []Upstream {
	out := make([]Upstream, 0, len(t.byID))
	for _, u := range t.byID {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Ready returns the ready upstreams of a service, sorted by ID. The caller must
// not modify the slice.
func (t *Table) Ready(service string) []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ready == nil {
		t.ready = make(map[string][]Upstream)
		for _, u := range t.sorted() {
			if u.State == Ready {
				t.ready[u.Service] = append(t.ready[u.Service], u)
			}
		}
	}
	return t.ready[service]
}

// RemoveExpired removes upstreams that left more than tombstoneTTL before now,
// and those that were last seen more than tombstoneTTL+extra before now and may
// have stopped without announcing so.
func (t *Table) RemoveExpired(now time.Time, extra time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.byID {
		age := now.Sub(u.LastSeen)
		if u.State == Left && age > tombstoneTTL || age > tombstoneTTL+extra {
			delete(t.byID, id)
			t.ready = nil
			if t.byAddr[u.Address] == id {
				delete(t.byAddr, u.Address)
			}
		}
	}
}
