package dedup

import (
	"fmt"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// defaultCapacity is the number of attempts that are remembered.
const defaultCapacity = 65536

// ID identifies an attempt of a once-only call.
type ID struct {
	Account string
	Key     string
	Attempt uint32
}

// Claim is what an attempt shows at the gate.
type Claim struct {
	ID
	// Incarnation is the agent incarnation that the claim names.
	Incarnation uint64
	// Index is the log index at which the claim was bound.
	Index uint64
}

// State is how far an attempt has come.
type State int

// The states of an attempt.
const (
	// Barred attempts never start.
	Barred State = iota + 1
	// Admitted attempts wait.
	Admitted
	// Running attempts have been handed to the upstream.
	Running
	// Finished attempts have an outcome.
	Finished
	// Forgotten attempts may have run long ago.
	Forgotten
)

// Attempt is what the gate knows of one attempt.
type Attempt struct {
	State   State
	Outcome statepb.Outcome
	Result  []byte
}

type entry struct {
	Attempt
	index uint64
}

// Config builds a Gate.
type Config struct {
	// Incarnation is the agent's own.
	Incarnation uint64
	// Capacity is the number of attempts remembered; 0 is 65536.
	Capacity int
}

// Gate is the set of attempts. It is not safe for concurrent use.
type Gate struct {
	cfg      Config
	attempts map[ID]*entry
	order    []ID
	floor    uint64
}

// New returns a Gate that has seen no attempt.
func New(cfg Config) *Gate {
	if cfg.Capacity == 0 {
		cfg.Capacity = defaultCapacity
	}
	return &Gate{cfg: cfg, attempts: make(map[ID]*entry)}
}

// IncarnationError refuses a claim made for another incarnation. The attempt
// did not and will not start here.
type IncarnationError struct{ Claimed, Own uint64 }

// Error names the remedy.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("the claim names incarnation %d, this agent is %d; bind the claim to a present agent", e.Claimed, e.Own)
}

// RepeatError refuses an attempt that the gate has seen.
type RepeatError struct{ Attempt Attempt }

// Error names the remedy.
func (e *RepeatError) Error() string {
	return "the attempt was seen before; ask for its outcome instead of sending it again"
}

// Admit takes an attempt into the queue. The error is an *IncarnationError or
// a *RepeatError.
func (g *Gate) Admit(c Claim) error {
	if c.Incarnation != g.cfg.Incarnation {
		return &IncarnationError{Claimed: c.Incarnation, Own: g.cfg.Incarnation}
	}
	if a := g.look(c); a.State != 0 {
		return &RepeatError{Attempt: a}
	}
	g.put(c, Admitted)
	return nil
}

// look returns what is known of an attempt; the zero Attempt is one never
// seen.
func (g *Gate) look(c Claim) Attempt {
	if e := g.attempts[c.ID]; e != nil {
		return e.Attempt
	}
	if c.Index <= g.floor {
		return Attempt{State: Forgotten, Outcome: statepb.Outcome_OUTCOME_UNKNOWN}
	}
	return Attempt{}
}

func (g *Gate) put(c Claim, s State) {
	g.attempts[c.ID] = &entry{Attempt: Attempt{State: s}, index: c.Index}
	g.order = append(g.order, c.ID)
	g.trim()
}

// trim drops the oldest attempts over the capacity, but none that is waiting
// or running.
func (g *Gate) trim() {
	for len(g.order) > g.cfg.Capacity {
		id := g.order[0]
		e := g.attempts[id]
		if e != nil && (e.State == Admitted || e.State == Running) {
			return
		}
		if e != nil {
			g.floor = max(g.floor, e.index)
			delete(g.attempts, id)
		}
		g.order = g.order[1:]
	}
}

// Start marks an admitted attempt as handed to the upstream. It returns false
// where the attempt must not start.
func (g *Gate) Start(id ID) bool {
	e := g.attempts[id]
	if e == nil || e.State != Admitted {
		return false
	}
	e.State = Running
	return true
}

// Bar ends an admitted attempt that has not started. It returns false where
// the attempt has started.
func (g *Gate) Bar(id ID) bool {
	e := g.attempts[id]
	if e == nil || e.State == Running || e.State == Finished {
		return false
	}
	e.State = Barred
	return true
}

// Finish records the outcome of a running attempt.
func (g *Gate) Finish(id ID, o statepb.Outcome, result []byte) {
	e := g.attempts[id]
	if e == nil || e.State != Running {
		return
	}
	e.Attempt = Attempt{State: Finished, Outcome: o, Result: result}
}

// Ask returns the state of an attempt of this incarnation, after barring one
// that has not started.
func (g *Gate) Ask(c Claim) Attempt {
	a := g.look(c)
	switch a.State {
	case 0:
		g.put(c, Barred)
		return Attempt{State: Barred}
	case Admitted:
		g.Bar(c.ID)
		return Attempt{State: Barred}
	default:
		return a
	}
}
