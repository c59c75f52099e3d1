package catalog

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain fixes the seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

var t0 = time.Unix(1_790_000_000, 0)

func word(id, address string, born int64, seq uint64, s State) Upstream {
	return Upstream{ID: id, Service: "rerank", Address: address, Zone: "z", Slots: 1, State: s, Born: born, Seq: seq, Heard: t0}
}

func states(t *Table) map[string]string {
	out := make(map[string]string)
	for _, u := range t.All() {
		out[u.ID] = fmt.Sprintf("%s born %d", u.State, u.Born)
	}
	return out
}

func TestWords(t *testing.T) {
	tests := []struct {
		name  string
		words []Upstream
		want  map[string]string
	}{
		{"a late word does not undo draining", []Upstream{
			word("a", "1:1", 10, 2, Draining), word("a", "1:1", 10, 1, Ready),
		}, map[string]string{"a": "draining born 10"}},
		{"nor does a later word of the same start", []Upstream{
			word("a", "1:1", 10, 2, Draining), word("a", "1:1", 10, 3, Ready),
		}, map[string]string{"a": "draining born 10"}},
		{"what has left does not come back", []Upstream{
			word("a", "1:1", 10, 2, Ready), {ID: "a", State: Left}, word("a", "1:1", 10, 9, Ready),
		}, map[string]string{"a": "left born 10"}},
		{"a new start under the same id does", []Upstream{
			word("a", "1:1", 10, 2, Ready), {ID: "a", State: Left}, word("a", "1:1", 20, 1, Ready),
		}, map[string]string{"a": "ready born 20"}},
		{"a leave of an earlier start is late", []Upstream{
			word("a", "1:1", 20, 1, Ready), {ID: "a", State: Left, Born: 10},
		}, map[string]string{"a": "ready born 20"}},
		{"an address belongs to the last start there", []Upstream{
			word("a", "1:1", 10, 7, Ready), word("b", "1:1", 20, 1, Ready), word("a", "1:1", 10, 8, Ready),
		}, map[string]string{"a": "left born 10", "b": "ready born 20"}},
		{"a word that a cut held back does not take the address", []Upstream{
			word("b", "1:1", 20, 1, Ready), word("a", "1:1", 10, 8, Ready),
		}, map[string]string{"b": "ready born 20"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Config{})
			for _, w := range tt.words {
				table.Merge(w)
			}
			if got, want := fmt.Sprint(states(table)), fmt.Sprint(tt.want); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func TestOutcomes(t *testing.T) {
	table := New(Config{})
	for i, tt := range []struct {
		word Upstream
		want Outcome
	}{
		{word("a", "1:1", 10, 1, Ready), Changed},
		{word("a", "1:1", 10, 2, Ready), Refreshed},
		{word("a", "1:1", 10, 2, Ready), Stale},
		{word("a", "1:1", 10, 3, Draining), Changed},
		{Upstream{ID: "a", State: Left}, Changed},
		{Upstream{ID: "a", State: Left}, Stale},
	} {
		if got := table.Merge(tt.word); got != tt.want {
			t.Errorf("word %d: got %s, want %s", i, got, tt.want)
		}
	}
}

// The words of upstreams that keep to their addresses give the same table in
// any order and however often they come.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) Upstream {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			s := rapid.SampledFrom([]State{Ready, Ready, Draining, Left}).Draw(t, "state")
			born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
			// An upstream's own words rise through its states.
			seq := uint64(rapid.IntRange(1, 3).Draw(t, "seq")) + 10*uint64(s)
			return word(id, id+":1", born, seq, s)
		})
		words := rapid.SliceOfN(one, 1, 12).Draw(t, "words")
		again := rapid.Permutation(append(words, words...)).Draw(t, "order")
		a, b := New(Config{}), New(Config{})
		for _, w := range words {
			a.Merge(w)
		}
		for _, w := range again {
			b.Merge(w)
		}
		if got, want := fmt.Sprint(states(b)), fmt.Sprint(states(a)); got != want {
			t.Fatalf("in another order: got %s, want %s", got, want)
		}
	})
}

func TestServiceListsReadyOnly(t *testing.T) {
	table := New(Config{})
	table.Merge(word("b", "2:1", 10, 1, Ready))
	table.Merge(word("a", "1:1", 10, 1, Ready))
	table.Merge(word("c", "3:1", 10, 1, Draining))
	if got, want := len(table.Service("rerank")), 2; got != want {
		t.Fatalf("%d ready, want %d", got, want)
	}
	table.Merge(word("a", "1:1", 10, 2, Draining))
	if got, want := table.Service("rerank")[0].ID, "b"; got != want {
		t.Errorf("ready: %s, want %s", got, want)
	}
}

func TestForget(t *testing.T) {
	table := New(Config{})
	table.Merge(word("a", "1:1", 10, 1, Ready))
	table.Merge(Upstream{ID: "a", State: Left, Heard: t0})
	table.Forget(t0.Add(leftLife/2), time.Minute)
	if got, want := table.Merge(word("a", "1:1", 10, 5, Ready)), Stale; got != want {
		t.Errorf("a late word while the leave is remembered: %s, want %s", got, want)
	}
	table.Forget(t0.Add(2*leftLife), time.Minute)
	if got, want := len(table.All()), 0; got != want {
		t.Errorf("%d remembered, want %d", got, want)
	}
}
