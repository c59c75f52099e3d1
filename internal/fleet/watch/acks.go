package watch

import (
	"context"
	"time"
)

const (
	// rejoinGrace is how long an entry whose stream has ended counts as one that will
	// return: it may still act on what it knew. One that lives returns well before.
	rejoinGrace = time.Second
	// rejoinInterval is the time between two looks for such an entry.
	rejoinInterval = 20 * time.Millisecond
)

// waitAcked returns once all watchers have acknowledged the change with a number, or
// ctx is done. It returns the names of those that have not.
func (h *Hub) waitAcked(ctx context.Context, seq uint64) []string {
	return h.waitAll(ctx, func(w *watcher) bool { return w.acked >= seq || w.peer.GetRole() == RoleRelay })
}

// WaitDocument returns once a site document with at least the given version is in force
// at all entries that watch this instance, or ctx is done. It returns the names of those
// that lack it.
func (h *Hub) WaitDocument(ctx context.Context, number uint64) []string {
	wanted := version{number: number, exists: true}
	return h.waitAll(ctx, func(w *watcher) bool { return !wanted.newerThan(w.document) || w.peer.GetRole() != RoleEntry })
}

// waitAll returns once done holds for each present watcher and each entry that was lost
// just before, or they are gone, or ctx is done. It returns the names of those for which it
// does not hold. done is called with mu held.
func (h *Hub) waitAll(ctx context.Context, done func(*watcher) bool) []string {
	h.mu.Lock()
	waiting := make([]*watcher, 0, len(h.watchers))
	for w := range h.watchers {
		if !done(w) {
			waiting = append(waiting, w)
		}
	}
	var lost []string
	for name := range h.lost {
		lost = append(lost, name)
	}
	h.mu.Unlock()
	var lacking []string
	for _, w := range waiting {
		if !h.wait(ctx, w, done) {
			lacking = append(lacking, w.peer.GetName())
		}
	}
	for _, name := range lost {
		if !h.waitReturn(ctx, name, done) {
			lacking = append(lacking, name)
		}
	}
	return lacking
}

// wait returns true once done holds for a watcher, for the one that replaces it, or it is
// gone, and false if ctx is done before.
func (h *Hub) wait(ctx context.Context, w *watcher, done func(*watcher) bool) bool {
	for {
		h.mu.Lock()
		satisfied, removed, ackSignal := done(w), !h.watchers[w], w.ackSignal
		h.mu.Unlock()
		switch {
		case satisfied:
			return true
		case removed:
			return h.waitReturn(ctx, w.peer.GetName(), done)
		}
		select {
		case <-ctx.Done():
			return false
		case <-ackSignal:
		}
	}
}

// waitReturn returns true once done holds for a watcher with a name, or an entry of that
// name has been lost for rejoinGrace, and false if ctx is done or the hub is closed before.
func (h *Hub) waitReturn(ctx context.Context, name string, done func(*watcher) bool) bool {
	for {
		if h.returned(name, done) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-h.done:
			return false
		case <-time.After(rejoinInterval):
		}
	}
}

// returned reports whether done holds for a watcher with a name, or there is none and none
// is expected.
func (h *Hub) returned(name string, done func(*watcher) bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := false
	for w := range h.watchers {
		if w.peer.GetName() != name {
			continue
		}
		if done(w) {
			return true
		}
		present = true
	}
	_, lost := h.lost[name]
	return !present && !lost && !h.closed
}

// forgetLost forgets entries that have not returned in time. The caller holds mu.
func (h *Hub) forgetLost(now time.Time) {
	for name, at := range h.lost {
		if now.Sub(at) > rejoinGrace {
			delete(h.lost, name)
		}
	}
}
