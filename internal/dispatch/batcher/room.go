package batcher

import "time"

const (
	// roomShare is the part of the memory that is filled: results are only
	// about as large as the configuration says.
	roomShare = 0.92
	// shortShare is the part that is filled after an upstream had no room, as
	// it holds results that another owner had made, for shortFor.
	shortShare = 0.5
	shortFor   = 1500 * time.Millisecond
)

// room is what is known of the memory for results at one upstream.
type room struct {
	// reserved is the memory of the results that calls in progress make.
	reserved int64
	held     map[string]result
	// shortTil is until when less than usual is filled.
	shortTil time.Time
}

// left returns how much of the memory of an upstream may still be filled.
func (r *room) left(now time.Time, total int64) int64 {
	share := roomShare
	if now.Before(r.shortTil) {
		share = shortShare
	}
	return int64(share*float64(total)) - r.used(now)
}

// short notes that the upstream had less room than was known.
func (r *room) short(now time.Time) { r.shortTil = now.Add(shortFor) }

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
