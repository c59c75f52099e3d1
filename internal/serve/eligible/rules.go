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

// Filter returns the candidates that may be called now. wait is the time after which the
// first of the others may be called: 0 if there are no others, Unknown if no end is known.
// The result may share the array of candidates, which must not be modified.
func (r Rules) Filter(now time.Time, candidates []catalog.Upstream) (callable []catalog.Upstream, wait time.Duration) {
	if len(r) == 0 {
		return candidates, 0
	}
	wait = Unknown
	excluded := false
	for i, u := range candidates {
		w := r.Wait(now, u)
		if w == 0 {
			if excluded {
				callable = append(callable, u)
			}
			continue
		}
		if !excluded {
			excluded = true
			callable = append(make([]catalog.Upstream, 0, len(candidates)-1), candidates[:i]...)
		}
		wait = min(wait, w)
	}
	if !excluded {
		return candidates, 0
	}
	return callable, wait
}
