package catalog

import (
	"sort"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
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
	ready   map[string][]Upstream
	digests Digests
	// marks are the marks on zones, see MarkCold.
	marks map[string]uint64
	// histories holds what is known of the starts of each upstream.
	histories map[string]*history
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, byID: make(map[string]Upstream), byAddr: make(map[string]string), marks: make(map[string]uint64), histories: make(map[string]*history)}
}

// Merge applies an announcement of another process unless a newer one is known. What it
// says of a cold period is applied all the same if it is of the known start, see
// joinCold.
func (t *Table) Merge(u Upstream) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(u)
}

// merge is Merge for a caller that holds mu.
func (t *Table) merge(u Upstream) Outcome {
	current, known := t.byID[u.ID]
	if u.State == Left && u.StartTimeMs == 0 {
		// An announcement without a start time refers to the known start.
		u.StartTimeMs = current.StartTimeMs
	}
	learnt := t.learnReplaced(u)
	outcome := t.mergeStart(current, known, u)
	if learnt && t.retire(u.ID) {
		return Changed
	}
	return outcome
}

// mergeStart applies an announcement whose replaced starts are known. The caller holds mu.
func (t *Table) mergeStart(current Upstream, known bool, u Upstream) Outcome {
	if u.State == Left {
		return t.markLeft(current, known, u)
	}
	switch {
	case known && current.StartTimeMs == u.StartTimeMs && u.Seq <= current.Seq && u.State > current.State:
		// An upstream does not return from draining. Whoever has learnt that it drains need
		// not know its newest announcement, of which only the state is out of date.
		u = current.WithState(u.State)
	case known && !t.isNewer(current, u):
		return t.mergeCold(current, u)
	case u.State == Ready && current.StartTimeMs != u.StartTimeMs && t.historyOf(u.ID).ended.Has(u.StartTimeMs):
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
	u.Silent = known && current.StartTimeMs == u.StartTimeMs && current.Silent
	if known && current.StartTimeMs == u.StartTimeMs {
		u = u.joinCold(current)
	}
	u.zoneMark = t.marks[u.Zone]
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

// isNewer reports whether u may replace current. The caller holds mu.
func (t *Table) isNewer(current, u Upstream) bool {
	if u.StartTimeMs != current.StartTimeMs {
		return t.outranks(u, current)
	}
	return u.Seq > current.Seq && current.State != Left
}

// equalExceptLiveness reports whether two announcements differ at most in
// sequence number and time of receipt, so that routing is unaffected.
func equalExceptLiveness(a, b Upstream) bool {
	a.Seq, b.Seq = 0, 0
	a.LastSeen, b.LastSeen = time.Time{}, time.Time{}
	a.Silent, b.Silent = false, false
	a.ColdUntil, b.ColdUntil = time.Time{}, time.Time{}
	a.zoneMark, b.zoneMark = 0, 0
	a.ended, b.ended = starts.Ended{}, starts.Ended{}
	return a == b
}

// UpdateSilence judges by LastSeen which upstreams are silent at now, and returns the
// IDs of those that have fallen silent or have been heard again since the last call.
func (t *Table) UpdateSilence(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []string
	for id, u := range t.byID {
		silent := u.State != Left && now.Sub(u.LastSeen) > silentAfter
		if silent != u.Silent {
			t.put(u, u.withSilent(silent))
			changed = append(changed, id)
		}
	}
	return changed
}

// SetSilent sets which upstreams are silent at now, for a process that they do not
// announce themselves to.
func (t *Table) SetSilent(ids map[string]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.byID {
		if silent := ids[id]; silent != u.Silent {
			u.LastSeen = now
			t.put(u, u.withSilent(silent))
		}
	}
}

// Departed returns the upstreams that are draining or have left, as sent at now.
func (t *Table) Departed(now time.Time) []*fleetpb.UpstreamWord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*fleetpb.UpstreamWord
	for _, u := range t.byID {
		if u.State != Ready {
			out = append(out, u.Proto(now))
		}
	}
	return out
}

// Lacking returns the upstreams in the given buckets that the given announcements,
// which another process sent at now, leave out or hold in an older state. Those that
// are not silent count as seen now.
func (t *Table) Lacking(buckets []uint32, known []*fleetpb.UpstreamWord, now time.Time) []*fleetpb.UpstreamWord {
	held := protoByID(known)
	var out []*fleetpb.UpstreamWord
	for _, u := range t.InBuckets(bucketSet(buckets)) {
		if w := held[u.ID]; w != nil && !t.lacks(w, u) {
			continue
		}
		if !u.Silent && u.State != Left {
			u.LastSeen = now
		}
		out = append(out, u.Proto(now))
	}
	return out
}

// lacks reports whether the announcement of an upstream that another process holds is of
// an earlier start than u, or of the same one in an older state.
func (t *Table) lacks(w *fleetpb.UpstreamWord, u Upstream) bool {
	if w.BornMs == u.StartTimeMs {
		return State(w.State) < u.State || coldLacks(w, u)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.outranks(Upstream{ID: u.ID, StartTimeMs: w.BornMs}, u)
}

// markLeft marks an upstream as left.
func (t *Table) markLeft(current Upstream, known bool, u Upstream) Outcome {
	if !known {
		t.put(Upstream{}, u.withoutCold())
		return Changed
	}
	same := current.StartTimeMs == u.StartTimeMs
	if same && current.State == Left || !same && !t.outranks(u, current) {
		return Stale
	}
	left := current.WithState(Left).withoutCold()
	left.StartTimeMs = u.StartTimeMs
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
	if other.State == Left {
		return true
	}
	if other.StartTimeMs > u.StartTimeMs && !t.historyOf(id).ended.Replaced(other.StartTimeMs) {
		return false
	}
	left := other.WithState(Left).withoutCold()
	left.LastSeen = u.LastSeen
	t.put(other, left)
	t.notify(other, left)
	return true
}

// put replaces current by u and keeps the address index and the cache in step.
func (t *Table) put(current, u Upstream) {
	t.ready = nil
	if current.Address != u.Address && t.byAddr[current.Address] == u.ID {
		delete(t.byAddr, current.Address)
	}
	t.replaceDigest(current, u)
	h := t.historyOf(u.ID)
	h.noteStart(u.StartTimeMs, u.LastSeen)
	u.ended = h.ended.OnlyReplaced()
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
// and silent ones that were last seen more than tombstoneTTL+extra before now and may
// have stopped without announcing so. It returns the IDs of those that it removed.
func (t *Table) RemoveExpired(now time.Time, extra time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []string
	for id, u := range t.byID {
		age := now.Sub(u.LastSeen)
		if !(u.State == Left && age > tombstoneTTL || u.Silent && age > tombstoneTTL+extra) {
			continue
		}
		t.replaceDigest(u, Upstream{})
		delete(t.byID, id)
		removed = append(removed, id)
		t.ready = nil
		if t.byAddr[u.Address] == id {
			delete(t.byAddr, u.Address)
		}
	}
	t.expireHistories(now)
	return removed
}
