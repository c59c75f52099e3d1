package watch

import (
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain runs the tests with a fixed random seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// Whoever has seen the changes up to some number, and asks for those since then, is
// told of every key that changed later, once, and of no other. If a key was forgotten
// since, that is reported.
func TestChangesSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChanges()
		last := make(map[key]uint64)
		forgotten := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			x := key{kind: peerChange, id: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "key"))}
			if rapid.IntRange(0, 7).Draw(t, "forget") == 0 {
				forgotten = max(forgotten, last[x])
				c.forget(x)
				delete(last, x)
				continue
			}
			c.add(x)
			last[x] = c.last
		}
		seq := uint64(rapid.IntRange(0, int(c.last)).Draw(t, "seq"))
		if got, want := c.holdsSince(seq), seq >= forgotten; got != want {
			t.Fatalf("changes since %d are held: %t, want %t", seq, got, want)
		}
		got := make(map[key]int)
		for _, x := range c.since(seq) {
			got[x]++
		}
		for x, at := range last {
			want := 0
			if at > seq {
				want = 1
			}
			if got[x] != want {
				t.Fatalf("%v, last changed at %d, is listed %d times since %d, want %d", x, at, got[x], seq, want)
			}
		}
	})
}
