package batcher

import "time"

// recentLife is how long results are remembered; it must exceed the time after
// which a second answer may still arrive.
const recentLife = 15 * time.Second

// recent remembers the results that an upstream has answered with. Answers to
// calls with pieces bear no name of the call, so a second answer to an earlier
// one, which comes where the next is due, is known by its results alone.
type recent struct {
	handles map[string]time.Time
	pruned  time.Time
}

// fresh reports whether none of the results was answered before, and remembers
// them.
func (r *recent) fresh(now time.Time, outputs []Output) bool {
	r.prune(now)
	for _, o := range outputs {
		if _, old := r.handles[o.Handle]; old && o.Handle != "" {
			return false
		}
	}
	for _, o := range outputs {
		if o.Handle != "" {
			r.handles[o.Handle] = now
		}
	}
	return true
}

func (r *recent) prune(now time.Time) {
	if r.handles == nil {
		r.handles = make(map[string]time.Time)
	}
	if now.Sub(r.pruned) < recentLife/4 {
		return
	}
	r.pruned = now
	for h, at := range r.handles {
		if now.Sub(at) > recentLife {
			delete(r.handles, h)
		}
	}
}
