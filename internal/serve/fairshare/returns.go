package fairshare

import (
	"slices"
	"time"
)

const (
	// returnWindow is the time after the end of a Retry-After in which a request counts as
	// the return of the caller that was given it. It covers connecting, and callers that
	// round the time up to whole seconds.
	returnWindow = time.Second
	// maxReturns is the number of returns that are expected at most, 100 bytes each. More
	// callers than that come back as newcomers.
	maxReturns = 1 << 13
)

// ReturnKey is the sign by which a caller is recognized that returns: its connection. By
// account and route alone, newcomers took more of the tokens than callers that returned.
type ReturnKey struct{ Account, Route, Connection string }

// Returns keeps one token for each Retry-After that was given, by which a caller that
// returns on time is preferred to newcomers of its account and route. It is not safe for
// concurrent use.
type Returns struct {
	// due holds the times from which the tokens are valid, in ascending order.
	due map[ReturnKey][]time.Time
	// tokens is their number.
	tokens int
	// swept is when expired tokens were last removed.
	swept time.Time
}

// NewReturns returns a Returns without tokens.
func NewReturns() *Returns { return &Returns{due: make(map[ReturnKey][]time.Time)} }

// Expect records that a caller was told to come back after the given time.
func (r *Returns) Expect(now time.Time, key ReturnKey, after time.Duration) {
	r.sweep(now)
	if r.tokens >= maxReturns {
		return
	}
	due, at := r.due[key], now.Add(after)
	i, _ := slices.BinarySearchFunc(due, at, time.Time.Compare)
	r.set(key, slices.Insert(due, i, at))
}

// Claim takes a token for a request that arrives now, and reports whether there was one.
// Tokens are not valid before their time: a caller that repeats at once counts as a
// newcomer.
func (r *Returns) Claim(now time.Time, key ReturnKey) bool {
	due := valid(r.due[key], now)
	claimed := len(due) > 0 && !due[0].After(now)
	if claimed {
		due = due[1:]
	}
	r.set(key, due)
	return claimed
}

// set replaces the tokens under a key.
func (r *Returns) set(key ReturnKey, due []time.Time) {
	r.tokens += len(due) - len(r.due[key])
	if len(due) == 0 {
		delete(r.due, key)
		return
	}
	r.due[key] = due
}

// valid returns the tokens that have not expired.
func valid(due []time.Time, now time.Time) []time.Time {
	for len(due) > 0 && now.Sub(due[0]) > returnWindow {
		due = due[1:]
	}
	return due
}

// sweep removes expired tokens of all callers now and then.
func (r *Returns) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepInterval {
		return
	}
	r.swept = now
	for key, due := range r.due {
		r.set(key, valid(due, now))
	}
}

// sweepInterval is the time between two removals of all expired tokens.
const sweepInterval = 10 * time.Second

// retrySpread is the part of a Retry-After that is added at most to spread returns.
const retrySpread = 0.5

// RetryAfter returns the Retry-After for an expected wait, later by up to half of it so
// that callers that were refused together do not return together. random is from 0 to 1.
func RetryAfter(wait time.Duration, random float64) time.Duration {
	return wait + time.Duration(retrySpread*random*float64(wait))
}
