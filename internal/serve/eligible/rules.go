package eligible

import (
	"fmt"
	"math"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// Unknown is the wait for an upstream of which nobody knows when it may be called again.
const Unknown = time.Duration(math.MaxInt64)

// WaitError reports that a request was not sent because its upstream may not be called
// now.
type WaitError struct {
	Upstream string
	// Wait is how long it may not be called, Unknown if that is not known.
	Wait time.Duration
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("upstream %s may not be called now; use another or wait", e.Upstream)
}

// Rule keeps requests from upstreams.
type Rule interface {
	// Wait returns how long after now the upstream may not be called, 0 if it may be
	// called, Unknown if the end is not known.
	Wait(now time.Time, u catalog.Upstream) time.Duration
}

// Rules are the rules that an upstream must pass all of. The zero value lets every
// upstream pass.
type Rules []Rule

// Wait returns the longest wait of all rules for an upstream.
func (r Rules) Wait(now time.Time, u catalog.Upstream) time.Duration {
	longest := time.Duration(0)
	for _, rule := range r {
		longest = max(longest, rule.Wait(now, u))
	}
	return longest
}

// BatchRule is a Rule that decides on many upstreams at less cost than on each.
type BatchRule interface {
	Rule
	// Applies reports whether any upstream may have to wait at the moment.
	Applies() bool
	// WaitAll raises the wait of each candidate that has to wait for longer. waits has as
	// many elements as candidates.
	WaitAll(now time.Time, candidates []catalog.Upstream, waits []time.Duration)
}

// WaitAll returns the longest wait of all rules for each candidate, nil if none has to
// wait.
func (r Rules) WaitAll(now time.Time, candidates []catalog.Upstream) []time.Duration {
	var waits []time.Duration
	for _, rule := range r {
		batch, ok := rule.(BatchRule)
		if ok && !batch.Applies() {
			continue
		}
		if waits == nil {
			waits = make([]time.Duration, len(candidates))
		}
		if ok {
			batch.WaitAll(now, candidates, waits)
			continue
		}
		for i, u := range candidates {
			waits[i] = max(waits[i], rule.Wait(now, u))
		}
	}
	return waits
}

// Filter returns the candidates that may be called now. wait is the time after which the
// first of the others may be called: 0 if there are no others, Unknown if no end is known.
// The result may share the array of candidates, which must not be modified.
func (r Rules) Filter(now time.Time, candidates []catalog.Upstream) (callable []catalog.Upstream, wait time.Duration) {
	waits := r.WaitAll(now, candidates)
	wait = Unknown
	excluded := 0
	for _, w := range waits {
		if w > 0 {
			excluded++
			wait = min(wait, w)
		}
	}
	if excluded == 0 {
		return candidates, 0
	}
	if excluded == len(candidates) {
		return nil, wait
	}
	callable = make([]catalog.Upstream, 0, len(candidates)-excluded)
	for i, w := range waits {
		if w == 0 {
			callable = append(callable, candidates[i])
		}
	}
	return callable, wait
}
