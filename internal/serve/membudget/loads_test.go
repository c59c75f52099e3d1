package membudget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func self(s string) string { return s }

// Guards against an upstream that gets bodies without bound, and against a rule that leaves
// no upstream although the budget admitted the body.
func TestUpstreamHoldsItsShareAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		list := make([]string, rapid.IntRange(1, 8).Draw(t, "upstreams"))
		for i := range list {
			list[i] = fmt.Sprint(i)
		}
		largest := rapid.Int64Range(1, limit).Draw(t, "largest")
		l, total := NewLoads(), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "bodies") {
			n := rapid.Int64Range(1, largest).Draw(t, "bytes")
			if total+n > limit {
				break
			}
			left := BelowShare(l, limit, list, self)
			if len(left) == 0 {
				t.Fatalf("no upstream is left for %d bytes beside %d", n, total)
			}
			u := rapid.SampledFrom(left).Draw(t, "upstream")
			l.Add(u, n)
			total += n
			if got, want := l.Bytes(u), limit/int64(len(list))+largest; got > want {
				t.Fatalf("an upstream holds %d bytes, want %d at most", got, want)
			}
		}
	})
}

// Guards against counts that stay after the requests have ended.
func TestLoadsReturnToNone(t *testing.T) {
	l := NewLoads()
	l.Add("a", 5)
	l.Add("a", -5)
	if got := len(l.bytes); got != 0 {
		t.Errorf("%d upstreams are counted, want 0", got)
	}
}

// BenchmarkBelowShare shows the cost at 400 upstreams of which all hold something.
func BenchmarkBelowShare(b *testing.B) {
	for _, name := range []string{"none above", "half above"} {
		b.Run(name, func(b *testing.B) {
			const upstreams = 400
			l, list := NewLoads(), make([]string, upstreams)
			for i := range list {
				list[i] = fmt.Sprint(i)
				l.Add(list[i], int64(1+i))
			}
			limit := int64(upstreams * upstreams / 2)
			if name == "none above" {
				limit *= 4
			}
			for b.Loop() {
				BelowShare(l, limit, list, self)
			}
		})
	}
}
