package catalog

import (
	"sort"
	"sync"
	"time"
)

// leftLife is how long an upstream that has left is remembered; it must exceed
// the longest delay of a word.
const leftLife = 2 * time.Minute

// Outcome tells what a word did to the table.
type Outcome int

// The outcomes of Merge.
const (
	// Stale words are older than what is known.
	Stale Outcome = iota
	// Refreshed words only show that the upstream lives.
	Refreshed
	// Changed words change what calls may be sent.
	Changed
)

// String names the outcome.
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

// Config builds a Table.
type Config struct {
	// Changed is told of each upstream that a word changed, and what was known
	// before; nil is told nothing. It must not call the Table.
	Changed func(before, after Upstream)
}

// Table is the set of known upstreams. It is safe for concurrent use.
type Table struct {
	cfg    Config
	mu     sync.Mutex
	byID   map[string]Upstream
	byAddr map[string]string
	// ready holds the upstreams of each service that are ready, by id; nil
	// after a change.
	ready map[string][]Upstream
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, byID: make(map[string]Upstream), byAddr: make(map[string]string)}
}

// Merge takes a word over, unless what is known is newer.
func (t *Table) Merge(u Upstream) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	have, known := t.byID[u.ID]
	if u.State == Left {
		return t.leave(have, known, u)
	}
	if known && !newer(have, u) {
		return Stale
	}
	if !t.claimAddress(u) {
		return Stale
	}
	if known && have.Born == u.Born && have.State > u.State {
		u = u.WithState(have.State)
	}
	if known && u.Heard.Before(have.Heard) {
		u.Heard = have.Heard
	}
	t.put(have, u)
	if known && same(have, u) {
		return Refreshed
	}
	t.tell(have, u)
	return Changed
}

// Heard notes that an upstream's word of a number, which changed nothing else,
// was received at a time.
func (t *Table) Heard(id string, seq uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, known := t.byID[id]
	if !known || u.State == Left || seq < u.Seq {
		return
	}
	u.Seq = seq
	if at.After(u.Heard) {
		u.Heard = at
	}
	t.put(u, u)
}

// newer reports whether u may replace have.
func newer(have, u Upstream) bool {
	if u.Born != have.Born {
		return u.Born > have.Born
	}
	return u.Seq > have.Seq && have.State != Left
}

// same reports whether two words call for the same calls.
func same(a, b Upstream) bool {
	a.Seq, b.Seq = 0, 0
	a.Heard, b.Heard = time.Time{}, time.Time{}
	return a == b
}

// leave marks an upstream as left. A word without a start means the start that
// is known.
func (t *Table) leave(have Upstream, known bool, u Upstream) Outcome {
	if !known {
		t.put(Upstream{}, u)
		return Changed
	}
	if u.Born != 0 && u.Born < have.Born || have.State == Left && have.Born >= u.Born {
		return Stale
	}
	left := have.WithState(Left)
	left.Born = max(have.Born, u.Born)
	left.Heard = u.Heard
	t.put(have, left)
	t.tell(have, left)
	return Changed
}

// claimAddress gives the address to the upstream that started last there, and
// reports whether u is it. The one that started before has gone without a word.
func (t *Table) claimAddress(u Upstream) bool {
	id, taken := t.byAddr[u.Address]
	if !taken || id == u.ID {
		return true
	}
	other := t.byID[id]
	if other.State != Left && other.Born > u.Born {
		return false
	}
	if other.State != Left {
		gone := other.WithState(Left)
		gone.Heard = u.Heard
		t.byID[id] = gone
		t.ready = nil
		t.tell(other, gone)
	}
	return true
}

func (t *Table) put(have, u Upstream) {
	t.ready = nil
	if have.Address != u.Address && t.byAddr[have.Address] == u.ID {
		delete(t.byAddr, have.Address)
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

func (t *Table) tell(before, after Upstream) {
	if t.cfg.Changed != nil {
		t.cfg.Changed(before, after)
	}
}

// Get returns what is known of an upstream.
func (t *Table) Get(id string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byID[id]
	return u, ok
}

// At returns the upstream that has an address.
func (t *Table) At(address string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u, ok := t.byID[t.byAddr[address]]
	return u, ok
}

// All returns every known upstream by id, those that have left too.
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

// Service returns the upstreams of a service that are ready, by id. The caller
// must not change them.
func (t *Table) Service(service string) []Upstream {
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

// Forget drops what left long before now, and what has been silent for longer
// than silence.
func (t *Table) Forget(now time.Time, silence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, u := range t.byID {
		age := now.Sub(u.Heard)
		if u.State == Left && age > leftLife || age > leftLife+silence {
			delete(t.byID, id)
			t.ready = nil
			if t.byAddr[u.Address] == id {
				delete(t.byAddr, u.Address)
			}
		}
	}
}
