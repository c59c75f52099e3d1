package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that gain a place by repeating at once or by coming too late, and
// against one Retry-After that brings two requests forward.
func TestReturnsOnTimeAreClaimedOnce(t *testing.T) {
	r := NewReturns()
	key := ReturnKey{Account: "north", Route: "plans", Connection: "1"}
	r.Expect(t0, key, 3*time.Second)
	r.Expect(t0, key, time.Second)
	for _, tt := range []struct {
		after time.Duration
		key   ReturnKey
		want  bool
	}{
		{0, key, false},
		{999 * time.Millisecond, key, false},
		{time.Second, ReturnKey{Account: "north", Route: "plans", Connection: "2"}, false},
		{time.Second, ReturnKey{Account: "north", Route: "other", Connection: "1"}, false},
		{time.Second, ReturnKey{Account: "south", Route: "plans", Connection: "1"}, false},
		{1900 * time.Millisecond, key, true},
		{1900 * time.Millisecond, key, false},
		{4100 * time.Millisecond, key, false},
	} {
		if got := r.Claim(t0.Add(tt.after), tt.key); got != tt.want {
			t.Errorf("%v after %v: claimed %t, want %t", tt.key, tt.after, got, tt.want)
		}
	}
}

// Guards against memory that grows with the requests that were refused.
func TestReturnsAreBounded(t *testing.T) {
	r := NewReturns()
	for i := range 2 * maxReturns {
		r.Expect(t0, ReturnKey{Account: "north", Connection: fmt.Sprint(i)}, time.Second)
	}
	if got := len(r.due); got != maxReturns || r.tokens != got {
		t.Errorf("%d returns are expected and %d counted, want %d", got, r.tokens, maxReturns)
	}
	r.Expect(t0.Add(time.Hour), ReturnKey{Account: "south"}, time.Second)
	if got := len(r.due); got != 1 || r.tokens != 1 {
		t.Errorf("%d returns are expected and %d counted after an hour, want 1", got, r.tokens)
	}
}

// Guards against callers that were refused together and return together.
func TestRetryAfterIsSpread(t *testing.T) {
	if first, last := RetryAfter(2*time.Second, 0), RetryAfter(2*time.Second, 1); first != 2*time.Second || last != 3*time.Second {
		t.Errorf("a wait of 2 s gives %v to %v, want 2 s to 3 s", first, last)
	}
}
