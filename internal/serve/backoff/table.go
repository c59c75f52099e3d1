package backoff

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxRetryAfter is the longest time that one answer closes an upstream for. No caller
	// waits nearly as long, and an upstream that needs more says so again in its answer
	// to the first request after it.
	MaxRetryAfter = time.Minute
	// jitterShare is the largest part of the time without requests that is added to it at
	// random, and maxJitter limits that.
	jitterShare = 0.2
	maxJitter   = time.Second
	// After the time without requests they are paced for as long again, and for
	// maxReturnTime at most. The first ones are a returnSteps-th of that apart, and the
	// interval halves returnHalvings times: after a long time the first ones are 200 ms
	// apart, and in the end over a thousand a second pass.
	maxReturnTime  = 2 * time.Second
	returnSteps    = 10
	returnHalvings = 8
	// leavingRetention is how long a start that leaves is remembered if no later one is
	// seen. It must exceed the longest delay of an announcement that says ready.
	leavingRetention = 30 * time.Minute
	// maxEntries bounds the memory: more upstreams than that are not closed at once.
	maxEntries = 1 << 14
)

// Start identifies one start of an upstream.
type Start struct {
	ID string
	// StartTimeMs is the start in Unix milliseconds, 0 if it is not known.
	StartTimeMs int64
}

// Signal is what an answer says of the upstream that sent it. Its zero value says nothing.
type Signal struct {
	// Leaving is set if the upstream leaves.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests, 0 if it says nothing.
	RetryAfter time.Duration
}

// Cause is why no requests are sent to an upstream.
type Cause string

// Causes.
const (
	CauseLeaving    Cause = "leaving"
	CauseRetryAfter Cause = "retry-after"
)

// Event is the begin or the end of a time in which no requests are sent to a start.
type Event struct {
	Start Start
	Cause Cause
	// Ended is set at the end.
	Ended bool
	// Left is the time until the end if it is known, at the begin.
	Left time.Duration
}

// State is whether requests may be sent to a start.
type State int

const (
	// Open means that requests may be sent.
	Open State = iota
	// Leaving means that none may be sent any more.
	Leaving
	// Closed means that none may be sent for a while.
	Closed
	// Returning means that they may be sent one by one.
	Returning
)

// Decision is the state of a start. It is no interface, which would cost an allocation for
// each upstream that a request could go to.
type Decision struct {
	State State
	// Wait is how long the start stays closed, or the time until the next request may be
	// sent while requests return; 0 in the other states.
	Wait time.Duration
}

// ClosedError reports that a request may not be sent to an upstream now.
type ClosedError struct {
	Start Start
	// Wait is the time after which it may be, 0 if that will never be.
	Wait  time.Duration
	Cause Cause
}

// Error returns the reason together with a remedy.
func (e *ClosedError) Error() string {
	if e.Cause == CauseLeaving {
		return fmt.Sprintf("upstream %s said that it leaves; use another", e.Start.ID)
	}
	return fmt.Sprintf("upstream %s asked for no requests for another %v; use another or wait", e.Start.ID, e.Wait.Round(time.Millisecond))
}

// Config configures a Table.
type Config struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Table holds the upstreams that requests are kept from. It is safe for concurrent use.
type Table struct {
	cfg Config
	// count is the number of entries, which is read without mu: mostly there are none.
	count   atomic.Int64
	mu      sync.Mutex
	entries map[string]*entry
}

// entry is what is known of the newest start of an upstream that has sent a signal.
type entry struct {
	startTimeMs int64
	leaving     bool
	leavingAt   time.Duration
	// closedUntil is the end of the time without requests, jitter included, 0 if there
	// was none. endDue is set until that end is returned as an Event.
	closedUntil time.Duration
	endDue      bool
	// returnTime is how long requests are paced from then on.
	returnTime time.Duration
	// next is when the next request may be sent while requests return.
	next time.Duration
}

// closed reports whether the upstream wants no requests at now.
func (e *entry) closed(now time.Duration) bool { return now < e.closedUntil }

// returning reports whether requests are paced at now.
func (e *entry) returning(now time.Duration) bool {
	return e.closedUntil > 0 && !e.closed(now) && now-e.closedUntil < e.returnTime
}

// NewTable returns a Table that lets all requests pass.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, entries: make(map[string]*entry)} }

// Observe records a signal of a start, and returns what begins with it. Signals of a start
// earlier than the newest one seen say nothing.
func (t *Table) Observe(now time.Duration, s Start, sig Signal) []Event {
	if !sig.Leaving && sig.RetryAfter <= 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, events, ok := t.entry(s)
	if !ok {
		return nil
	}
	if sig.Leaving && !e.leaving {
		e.leaving, e.leavingAt = true, now
		events = append(events, Event{Start: s, Cause: CauseLeaving})
	}
	if sig.RetryAfter > 0 {
		events = append(events, e.close(now, s, t.withJitter(min(sig.RetryAfter, MaxRetryAfter)))...)
	}
	return events
}

// withJitter returns a time without requests with a random part added.
func (t *Table) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(t.cfg.Random()*float64(min(maxJitter, time.Duration(jitterShare*float64(d)))))
}

// entry returns the entry of a start, which replaces that of an earlier one, and the
// events of the one that it replaces. It returns false for a start that is not the newest,
// and if there are too many. The caller holds mu.
func (t *Table) entry(s Start) (*entry, []Event, bool) {
	e := t.entries[s.ID]
	switch {
	case e == nil && len(t.entries) >= maxEntries, e != nil && e.startTimeMs > s.StartTimeMs:
		return nil, nil, false
	case e != nil && e.startTimeMs == s.StartTimeMs:
		return e, nil, true
	}
	var events []Event
	if e != nil {
		events = e.ends(s.ID)
	}
	e = &entry{startTimeMs: s.StartTimeMs}
	t.entries[s.ID] = e
	t.count.Store(int64(len(t.entries)))
	return e, events, true
}

// close closes an entry for a time unless it is closed for longer, and returns what that
// begins and what has ended before.
func (e *entry) close(now time.Duration, s Start, left time.Duration) []Event {
	until, returnTime := now+left, min(left, maxReturnTime)
	if e.closed(now) {
		e.closedUntil, e.returnTime = max(e.closedUntil, until), max(e.returnTime, returnTime)
		return nil
	}
	events := e.takeEnd(now, s)
	e.closedUntil, e.returnTime, e.endDue, e.next = until, returnTime, true, until
	return append(events, Event{Start: s, Cause: CauseRetryAfter, Left: left})
}

// takeEnd returns the end of the time without requests once it is over.
func (e *entry) takeEnd(now time.Duration, s Start) []Event {
	if !e.endDue || e.closed(now) {
		return nil
	}
	e.endDue = false
	return []Event{{Start: s, Cause: CauseRetryAfter, Ended: true}}
}

// ends returns the events of an entry that is dropped.
func (e *entry) ends(id string) []Event {
	var out []Event
	s := Start{ID: id, StartTimeMs: e.startTimeMs}
	if e.leaving {
		out = append(out, Event{Start: s, Cause: CauseLeaving, Ended: true})
	}
	if e.endDue {
		out = append(out, Event{Start: s, Cause: CauseRetryAfter, Ended: true})
	}
	return out
}

// Empty reports whether all requests may be sent.
func (t *Table) Empty() bool { return t.count.Load() == 0 }

// Decide returns whether requests may be sent to a start.
func (t *Table) Decide(now time.Duration, s Start) Decision {
	if t.count.Load() == 0 {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(now, s)
}

func (t *Table) decide(now time.Duration, s Start) Decision {
	e := t.entries[s.ID]
	switch {
	case e == nil || e.startTimeMs != s.StartTimeMs:
		return Decision{}
	case e.leaving:
		return Decision{State: Leaving}
	case e.closed(now):
		return Decision{State: Closed, Wait: e.closedUntil - now}
	case e.returning(now):
		return Decision{State: Returning, Wait: max(0, e.next-now)}
	default:
		return Decision{}
	}
}

// Admit lets a request through to a start, or returns a *ClosedError. While requests
// return, it takes the turn of the next one. It is called once for each request, before a
// connection is opened for it.
func (t *Table) Admit(now time.Duration, s Start) error {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.decide(now, s)
	switch {
	case d.State == Leaving:
		return &ClosedError{Start: s, Cause: CauseLeaving}
	case d.Wait > 0:
		return &ClosedError{Start: s, Wait: d.Wait, Cause: CauseRetryAfter}
	case d.State == Returning:
		t.entries[s.ID].takeTurn(now)
	}
	return nil
}

// takeTurn sets when the next request may be sent after one at now. The interval depends on
// how long the time without requests has been over.
func (e *entry) takeTurn(now time.Duration) {
	halvings := returnHalvings * (now - e.closedUntil) / max(1, e.returnTime)
	e.next = now + e.returnTime/returnSteps>>halvings
}

// Replace records which start of an upstream is the present one, which ends what others have
// said. It returns what ends. The present one may say that it was born earlier than one that
// it has replaced.
func (t *Table) Replace(s Start) []Event {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[s.ID]
	if e == nil || e.startTimeMs == s.StartTimeMs {
		return nil
	}
	t.remove(s.ID)
	return e.ends(s.ID)
}

// Expire returns what has ended by now, and forgets what is over.
func (t *Table) Expire(now time.Duration) []Event {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Event
	for id, e := range t.entries {
		out = append(out, e.takeEnd(now, Start{ID: id, StartTimeMs: e.startTimeMs})...)
		if e.leaving && now-e.leavingAt < leavingRetention || e.closed(now) || e.returning(now) {
			continue
		}
		out = append(out, e.ends(id)...)
		t.remove(id)
	}
	return out
}

func (t *Table) remove(id string) {
	delete(t.entries, id)
	t.count.Store(int64(len(t.entries)))
}
