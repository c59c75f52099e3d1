package rendezvous

import (
	"fmt"
	"hash/fnv"
	"testing"
)

func identity(name string) string { return name }

func TestOnlyKeysOfRemovedNameMove(t *testing.T) {
	names := []string{"10.1.0.1:7740", "10.1.0.2:7740", "10.1.0.3:7740", "10.1.0.4:7740"}
	counts := make(map[string]int)
	for i := range 4000 {
		key := fmt.Sprint("k", i)
		with, _ := Best(key, names, identity)
		without, _ := Best(key, names[1:], identity)
		counts[with]++
		if with != names[0] && with != without {
			t.Fatalf("key %s moves from %s to %s although %[2]s was not removed", key, with, without)
		}
	}
	for _, n := range names {
		if got := counts[n]; got < 800 || got > 1200 {
			t.Errorf("%s has %d of 4000 keys, want about 1000", n, got)
		}
	}
}

func TestOrderDoesNotMatter(t *testing.T) {
	a, _ := Best("k", []string{"x", "y", "z"}, identity)
	b, _ := Best("k", []string{"z", "x", "y"}, identity)
	if a != b {
		t.Errorf("got %s and %s", a, b)
	}
	if _, ok := Best("k", nil, identity); ok {
		t.Error("an item was chosen from an empty list")
	}
}

// Guards against weights that change with a program version: entries of two versions would
// then disagree about the owner of a service.
func TestWeightIsFinalizedFNV(t *testing.T) {
	for _, tt := range []struct{ key, name string }{{"", ""}, {"scan", "10.1.0.1:7740"}, {"k", "ü\x00"}} {
		h := fnv.New64a()
		h.Write([]byte(tt.key + "\x00" + tt.name))
		want := h.Sum64()
		want ^= want >> 33
		want *= 0xff51afd7ed558ccd
		want ^= want >> 33
		if got := Weight(tt.key, tt.name); got != want {
			t.Errorf("key %q, name %q: got %x, want %x", tt.key, tt.name, got, want)
		}
	}
}
