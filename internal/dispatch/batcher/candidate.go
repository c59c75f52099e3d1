package batcher

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
)

// Candidate is an entry that may own services.
type Candidate struct {
	// Link is the entry's link address.
	Link string
	// Incarnation tells one start of the entry from another.
	Incarnation uint64
}

// lostOwner is an owner that a job could not reach.
type lostOwner struct {
	// incarnation is that of the process that was lost. A later start is a new owner.
	incarnation uint64
	// backoffEnds is when a job may try it again.
	backoffEnds time.Time
}

const (
	// lostOwnerBackoff is how long a lost owner is sent no jobs.
	lostOwnerBackoff = 3 * time.Second
	// lostRetention is how long after its backoff a lost owner that nobody has tried again
	// is remembered.
	lostRetention = time.Minute
)

// ownerOf returns the owner of a shard among the candidates that are not excluded.
func ownerOf(s shard, candidates []Candidate, excluded func(Candidate) bool) (Candidate, bool) {
	var left []Candidate
	for _, c := range candidates {
		if !excluded(c) {
			left = append(left, c)
		}
	}
	return rendezvous.Best(s.key(), left, func(c Candidate) string { return c.Link })
}

// owner returns the owner of a shard among the entries of its zone that were not lost
// recently, or among those of the whole fleet if there are none. Without the latter, each
// entry would run the shard's jobs itself until the zone's entries are back, and all of
// them would call the same upstreams.
func (r *Router) owner(s shard) (Candidate, bool) {
	if c, ok := r.ownerAmong(s, r.cfg.Owners(s.zone)); ok || s.zone == "" {
		return c, ok
	}
	return r.ownerAmong(s, r.cfg.Owners(""))
}

// ownerAmong returns the owner of a shard among the candidates that were not lost recently.
// After the backoff from a lost one, the first caller gets it for a trial, and the others go
// on without it until that has succeeded.
func (r *Router) ownerAmong(s shard, candidates []Candidate) (Candidate, bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := ownerOf(s, candidates, func(c Candidate) bool {
		lost, known := r.lostRecord(now, c)
		return known && now.Before(lost.backoffEnds)
	})
	if !ok {
		return c, false
	}
	if lost, known := r.lostRecord(now, c); known {
		lost.backoffEnds = now.Add(connectTimeout)
		r.lost[c.Link] = lost
	}
	return c, true
}

// lostRecord returns the record of a candidate that was lost, false if there is none or its
// process has started again since. The caller holds mu.
func (r *Router) lostRecord(now time.Time, c Candidate) (lostOwner, bool) {
	lost, known := r.lost[c.Link]
	if known && (lost.incarnation != c.Incarnation || now.Sub(lost.backoffEnds) > lostRetention) {
		delete(r.lost, c.Link)
		return lostOwner{}, false
	}
	return lost, known
}

// markFound ends the backoff from an owner that is connected.
func (r *Router) markFound(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lost, address)
}

// markLost starts the backoff from a lost owner.
func (r *Router) markLost(c Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[c.Link] = lostOwner{incarnation: c.Incarnation, backoffEnds: time.Now().Add(lostOwnerBackoff)}
}
