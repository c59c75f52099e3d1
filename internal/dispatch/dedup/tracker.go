package dedup

import (
	"fmt"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// defaultCapacity is the number of attempts that are kept by default.
const defaultCapacity = 65536

// ID identifies an attempt of an at-most-once call.
type ID struct {
	Account string
	Key     string
	Attempt uint32
}

// Claim is the ledger claim under which an attempt was sent.
type Claim struct {
	ID
	// Incarnation is the agent incarnation that the claim names.
	Incarnation uint64
	// Index is the log index at which the claim was bound.
	Index uint64
}

// State is the state of an attempt.
type State int

// The states of an attempt.
const (
	// Barred attempts never start.
	Barred State = iota + 1
	// Admitted attempts are queued.
	Admitted
	// Running attempts have been handed to the upstream.
	Running
	// Finished attempts have an outcome.
	Finished
	// Forgotten attempts are not kept, and their claims are so old that they may
	// have run and been evicted.
	Forgotten
)

// Attempt is what the Tracker knows about one attempt.
type Attempt struct {
	State   State
	Outcome statepb.Outcome
	Result  []byte
}

// record is a kept attempt with the index of its claim.
type record struct {
	Attempt
	index uint64
}

// Config configures a Tracker.
type Config struct {
	// Incarnation is the agent's own incarnation.
	Incarnation uint64
	// Capacity is the number of attempts kept; 0 means 65536.
	Capacity int
}

// Tracker keeps the states of attempts. It is not safe for concurrent use.
type Tracker struct {
	cfg      Config
	attempts map[ID]*record
	// order lists the kept attempts, oldest first.
	order []ID
	// evictedIndex is the highest claim index of an evicted attempt.
	evictedIndex uint64
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Tracker{cfg: cfg, attempts: make(map[ID]*record)}
}

// IncarnationError rejects a claim made for another incarnation of the agent.
// The attempt did not and will not start here.
type IncarnationError struct{ Claimed, Own uint64 }

// Error returns the reason together with a remedy.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("the claim names incarnation %d, this agent is %d; bind the claim to a present agent", e.Claimed, e.Own)
}

// RepeatError rejects an attempt that was seen before.
type RepeatError struct{ Attempt Attempt }

// Error returns the reason together with a remedy.
func (e *RepeatError) Error() string {
	return "the attempt was seen before; ask for its outcome instead of sending it again"
}

// Admit registers an attempt that is to be queued. The error is an
// *IncarnationError or a *RepeatError.
func (t *Tracker) Admit(c Claim) error {
	if c.Incarnation != t.cfg.Incarnation {
		return &IncarnationError{Claimed: c.Incarnation, Own: t.cfg.Incarnation}
	}
	if a := t.lookup(c); a.State != 0 {
		return &RepeatError{Attempt: a}
	}
	t.add(c, Admitted)
	return nil
}

// lookup returns what is known about an attempt, or the zero Attempt if it was
// never seen.
func (t *Tracker) lookup(c Claim) Attempt {
	if r := t.attempts[c.ID]; r != nil {
		return r.Attempt
	}
	if c.Index <= t.evictedIndex {
		return Attempt{State: Forgotten, Outcome: statepb.Outcome_OUTCOME_UNKNOWN}
	}
	return Attempt{}
}

func (t *Tracker) add(c Claim, s State) {
	t.attempts[c.ID] = &record{Attempt: Attempt{State: s}, index: c.Index}
	t.order = append(t.order, c.ID)
	t.evict()
}

// evict drops the oldest attempts while there are more than the capacity. It
// stops at an attempt that is queued or running.
func (t *Tracker) evict() {
	for len(t.order) > t.cfg.Capacity {
		id := t.order[0]
		r := t.attempts[id]
		if r != nil && (r.State == Admitted || r.State == Running) {
			return
		}
		if r != nil {
			t.evictedIndex = max(t.evictedIndex, r.index)
			delete(t.attempts, id)
		}
		t.order = t.order[1:]
	}
}

// Start marks an admitted attempt as running. It returns false if the attempt
// must not start.
func (t *Tracker) Start(id ID) bool {
	r := t.attempts[id]
	if r == nil || r.State != Admitted {
		return false
	}
	r.State = Running
	return true
}

// Bar prevents a kept attempt that has not started from ever starting. It
// returns false if the attempt has started or is not kept.
func (t *Tracker) Bar(id ID) bool {
	r := t.attempts[id]
	if r == nil || r.State == Running || r.State == Finished {
		return false
	}
	r.State = Barred
	return true
}

// Finish records the outcome of a running attempt.
func (t *Tracker) Finish(id ID, o statepb.Outcome, result []byte) {
	r := t.attempts[id]
	if r == nil || r.State != Running {
		return
	}
	r.Attempt = Attempt{State: Finished, Outcome: o, Result: result}
}

// Query returns the state of an attempt of this incarnation. An attempt that
// has not started, or has not even arrived, is barred first.
func (t *Tracker) Query(c Claim) Attempt {
	a := t.lookup(c)
	switch a.State {
	case 0:
		t.add(c, Barred)
		return Attempt{State: Barred}
	case Admitted:
		t.Bar(c.ID)
		return Attempt{State: Barred}
	default:
		return a
	}
}
