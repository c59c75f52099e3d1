package watch

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// staleAfter is how long a follower may act on what it knows after the last News.
	// It is shorter than ackTimeout, after which a hub takes a watcher for lost and
	// acknowledges changes that the watcher does not know of, and longer than two
	// probeIntervals.
	staleAfter = 1200 * time.Millisecond
	// resyncTimeout is the maximum time to wait for the state after staleAfter.
	resyncTimeout = 500 * time.Millisecond
)

// StaleError reports that a process has heard from no control instance for longer than
// staleAfter, although it is connected to some: it was suspended, or is too busy to
// follow them.
type StaleError struct{ Age time.Duration }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("this process has not followed the control instances for %v; send the request to another", e.Age.Round(time.Millisecond))
}

// bootTime returns the time since the machine started, including the time for which it
// was suspended, which time.Since leaves out.
func bootTime() time.Duration {
	var ts unix.Timespec
	// The clock exists on every Linux since 2.6.39, and the address is valid.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// freshness is whether a Follower knows the present state. The Follower's mu guards it.
type freshness struct {
	// heard is when the last News arrived, by Config.Now.
	heard time.Duration
	// behind is set after a gap of staleAfter until the state is known again.
	behind bool
	// changed is closed when something may have changed, nil while nobody waits.
	changed chan struct{}
}

// AwaitCurrent returns once this process knows the present state: if it has heard from
// no connected control instance for a while, it waits for News and the document that
// these offer. A process without any connected control instance goes on with what it
// knows. The error is a *StaleError after resyncTimeout, or that of ctx.
func (f *Follower) AwaitCurrent(ctx context.Context) error {
	if _, current := f.checkCurrent(); current {
		return nil
	}
	timer := time.NewTimer(resyncTimeout)
	defer timer.Stop()
	for {
		changed, current := f.checkCurrent()
		if current {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return &StaleError{Age: f.age()}
		}
	}
}

// checkCurrent reports whether this process knows the present state. If not, it returns
// a channel that is closed when that may have changed.
func (f *Follower) checkCurrent() (changed <-chan struct{}, current bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fr := &f.freshness
	newest := f.newestSource()
	switch {
	case newest == nil:
		fr.behind = false
	case f.cfg.Now()-fr.heard > staleAfter:
		fr.behind = true
	case newest.document <= f.documents.settled || f.cfg.OnDocument == nil:
		fr.behind = false
	}
	if !fr.behind {
		return nil, true
	}
	if fr.changed == nil {
		fr.changed = make(chan struct{})
	}
	return fr.changed, false
}

// age returns the time since the last News.
func (f *Follower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Now() - f.freshness.heard
}

// signalCurrent wakes those who wait for the present state. The caller holds mu.
func (f *Follower) signalCurrent() {
	if f.freshness.changed != nil {
		close(f.freshness.changed)
		f.freshness.changed = nil
	}
}
