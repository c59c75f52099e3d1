package pieces

import "time"

// room is what is known of the memory for results at one upstream.
type room struct {
	// reserved is the memory of the results that calls in progress make.
	reserved int64
	held     map[string]result
}

// result is one result that an upstream holds.
type result struct {
	bytes int64
	// until is when the upstream drops it by itself.
	until time.Time
}

// used returns the memory that is taken, and forgets what has expired.
func (r *room) used(now time.Time) int64 {
	total := r.reserved
	for handle, held := range r.held {
		if now.After(held.until) {
			delete(r.held, handle)
			continue
		}
		total += held.bytes
	}
	return total
}

// hold notes a result that a call has made.
func (r *room) hold(handle string, held result) {
	if r.held == nil {
		r.held = make(map[string]result)
	}
	r.held[handle] = held
}

// free forgets results that were given back.
func (r *room) free(handles []string) {
	for _, h := range handles {
		delete(r.held, h)
	}
}
