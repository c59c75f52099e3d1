package watch

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// staleAfter is how long a follower may act on what it knows. A hub waits
	// ackTimeout for a watcher before it acknowledges changes without it; the
	// difference allows for clocks that do not run alike. News come at least twice in
	// that time.
	staleAfter = ackTimeout - 100*time.Millisecond
	// resyncTimeout is the maximum time to wait for the state after staleAfter.
	resyncTimeout = 500 * time.Millisecond
	// agreementTimeout is how long after a gap the digest of upstreams has to agree
	// with that of a control instance. Where upstreams change all the time, it may not
	// agree at any moment; the differences have been asked for by then.
	agreementTimeout = time.Second
)

// StaleError reports that a process has heard from no control instance for longer than
// staleAfter, although it is connected to some: it was suspended, or is too busy to
// follow them.
type StaleError struct{ Age time.Duration }

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("this process has not followed the control instances for %v; send the request to another", e.Age.Round(time.Millisecond))
}

// BootTime returns the time since the machine started, including the time for which it
// was suspended, which time.Since leaves out.
func BootTime() time.Duration {
	var ts unix.Timespec
	// The clock exists on every Linux since 2.6.39, and the address is valid.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}

// Contact is how much a process knows of the present state of the fleet.
type Contact struct {
	// Current is set if it knows the present state, from a control instance that it is
	// still in contact with.
	Current bool
	// Majority is set if it is in contact with more than half of the control instances.
	// Each of these lists the processes that follow it, so that two processes in contact
	// with a majority know of each other.
	Majority bool
}

// Contact returns how much this process knows of the present state.
func (f *Follower) Contact() Contact {
	_, current := f.checkCurrent()
	controls := f.Peers(RoleControl)
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh, now := 0, f.cfg.Now()
	for _, p := range controls {
		if s := f.sources[p.GetLink()]; s != nil && s.connected && now-s.ackedAt <= staleAfter {
			fresh++
		}
	}
	return Contact{Current: current && !f.freshness.behind && fresh > 0, Majority: 2*fresh > len(controls)}
}

// freshness is whether a Follower knows the present state. The Follower's mu guards it.
type freshness struct {
	// confirmed is a time, by Config.Now, at which no control instance can have taken
	// this process for lost: the last News was sent after it.
	confirmed time.Duration
	// agreed is such a time for the last News whose digest agreed with the own one.
	agreed time.Duration
	// zonesKnown is such a time for the last News of a control instance that was sure to
	// know the evacuated zones.
	zonesKnown time.Duration
	// behind is set after a gap of staleAfter, noticed at behindSince, until the state
	// is known again.
	behind      bool
	behindSince time.Duration
	// changed is closed when something may have changed, nil while nobody waits.
	changed chan struct{}
}

// AwaitCurrent returns once this process knows the present state: if it has heard from
// no control instance for a while, it waits for News, and for the document and the evacuated
// zones that these offer.
// A process that no control instance has been connected to for resyncTimeout goes on
// with what it knows; one that was suspended may just have lost its connections. The
// error is a *StaleError after resyncTimeout, or that of ctx.
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
			if _, current := f.checkCurrent(); current {
				return nil
			}
			return &StaleError{Age: f.age()}
		}
	}
}

// checkCurrent reports whether this process knows the present state. If not, it returns
// a channel that is closed when that may have changed.
func (f *Follower) checkCurrent() (changed <-chan struct{}, current bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fr, now, newest := &f.freshness, f.cfg.Now(), f.newestSource()
	fr.noteGap(now)
	settled := newest != nil && (!newest.document.newerThan(f.documents.settled) || f.cfg.OnDocument == nil)
	if settled && fr.caughtUp(now) && f.evacuationsSettled(fr) {
		fr.behind = false
	}
	if !fr.behind || newest == nil && now-fr.behindSince >= resyncTimeout {
		return nil, true
	}
	if fr.changed == nil {
		fr.changed = make(chan struct{})
	}
	return fr.changed, false
}

// noteGap sets behind if the state has not been confirmed for staleAfter.
func (fr *freshness) noteGap(now time.Duration) {
	if now-fr.confirmed > staleAfter && !fr.behind {
		fr.behind, fr.behindSince = true, now
	}
}

// caughtUp reports whether the upstreams are known again after a gap. A control instance
// that this process is still connected to need not be the one that has acknowledged a
// change without it; the digest shows whether it has missed any.
func (fr *freshness) caughtUp(now time.Duration) bool {
	return now-fr.confirmed <= staleAfter && (fr.agreed >= fr.behindSince || now-fr.behindSince > agreementTimeout)
}

// confirm records a News that was sent after the given time, and whether its digest
// agrees with the own one.
func (fr *freshness) confirm(since, now time.Duration, agrees bool) {
	fr.noteGap(now)
	fr.confirmed = max(fr.confirmed, since)
	if agrees {
		fr.agreed = max(fr.agreed, since)
	}
}

// age returns how old the state that this process knows may be.
func (f *Follower) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Now() - f.freshness.confirmed
}

// signalCurrent wakes those who wait for the present state. The caller holds mu.
func (f *Follower) signalCurrent() {
	if f.freshness.changed != nil {
		close(f.freshness.changed)
		f.freshness.changed = nil
	}
}
