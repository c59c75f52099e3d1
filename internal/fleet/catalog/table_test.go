package catalog

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
)

// TestMain runs the tests with a fixed random seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

var t0 = time.Unix(1_790_000_000, 0)

func announcement(id, address string, startMs int64, seq uint64, s State) Upstream {
	return Upstream{ID: id, Service: "rerank", Address: address, Zone: "z", Slots: 1, State: s, StartTimeMs: startMs, Seq: seq, LastSeen: t0}
}

func states(t *Table) map[string]string {
	out := make(map[string]string)
	for _, u := range t.All() {
		out[u.ID] = fmt.Sprintf("%s, start %d", u.State, u.StartTimeMs)
	}
	return out
}

func TestMergeOfLateAnnouncements(t *testing.T) {
	tests := []struct {
		name          string
		announcements []Upstream
		want          map[string]string
	}{
		{"a late announcement does not undo draining", []Upstream{
			announcement("a", "1:1", 10, 2, Draining), announcement("a", "1:1", 10, 1, Ready),
		}, map[string]string{"a": "draining, start 10"}},
		{"a later announcement of the same start does not undo draining", []Upstream{
			announcement("a", "1:1", 10, 2, Draining), announcement("a", "1:1", 10, 3, Ready),
		}, map[string]string{"a": "draining, start 10"}},
		{"an entry that knows only an old announcement reports that the upstream leaves", []Upstream{
			announcement("a", "1:1", 10, 500, Ready), announcement("a", "1:1", 10, 2, Draining), announcement("a", "1:1", 10, 501, Ready),
		}, map[string]string{"a": "draining, start 10"}},
		{"an earlier start that leaves does not take its successor with it", []Upstream{
			announcement("a", "1:1", 20, 1, Ready), announcement("a", "1:1", 10, 500, Draining),
		}, map[string]string{"a": "ready, start 20"}},
		{"an upstream that has left does not come back", []Upstream{
			announcement("a", "1:1", 10, 2, Ready), {ID: "a", State: Left}, announcement("a", "1:1", 10, 9, Ready),
		}, map[string]string{"a": "left, start 10"}},
		{"a new start under the same id replaces one that has left", []Upstream{
			announcement("a", "1:1", 10, 2, Ready), {ID: "a", State: Left}, announcement("a", "1:1", 20, 1, Ready),
		}, map[string]string{"a": "ready, start 20"}},
		{"a leave of an earlier start is stale", []Upstream{
			announcement("a", "1:1", 20, 1, Ready), {ID: "a", State: Left, StartTimeMs: 10},
		}, map[string]string{"a": "ready, start 20"}},
		{"an address belongs to the upstream that started last there", []Upstream{
			announcement("a", "1:1", 10, 7, Ready), announcement("b", "1:1", 20, 1, Ready), announcement("a", "1:1", 10, 8, Ready),
		}, map[string]string{"a": "left, start 10", "b": "ready, start 20"}},
		{"an announcement delayed by a network partition does not take the address", []Upstream{
			announcement("b", "1:1", 20, 1, Ready), announcement("a", "1:1", 10, 8, Ready),
		}, map[string]string{"b": "ready, start 20"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Config{})
			for _, u := range tt.announcements {
				table.Merge(u)
			}
			if got, want := fmt.Sprint(states(table)), fmt.Sprint(tt.want); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
}

func TestMergeOutcomes(t *testing.T) {
	table := New(Config{})
	for i, tt := range []struct {
		announcement Upstream
		want         Outcome
	}{
		{announcement("a", "1:1", 10, 1, Ready), Changed},
		{announcement("a", "1:1", 10, 2, Ready), Refreshed},
		{announcement("a", "1:1", 10, 2, Ready), Stale},
		{announcement("a", "1:1", 10, 3, Draining), Changed},
		{Upstream{ID: "a", State: Left}, Changed},
		{Upstream{ID: "a", State: Left}, Stale},
	} {
		if got := table.Merge(tt.announcement); got != tt.want {
			t.Errorf("announcement %d: got %s, want %s", i, got, tt.want)
		}
	}
}

// As long as upstreams keep their addresses, announcements give the same table
// in any order and with any number of duplicates.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) Upstream {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			s := rapid.SampledFrom([]State{Ready, Ready, Draining, Left}).Draw(t, "state")
			startMs := int64(rapid.IntRange(1, 3).Draw(t, "start"))
			// The sequence numbers of an upstream increase from state to state.
			seq := uint64(rapid.IntRange(1, 3).Draw(t, "seq")) + 10*uint64(s)
			return announcement(id, id+":1", startMs, seq, s)
		})
		announcements := rapid.SliceOfN(generator, 1, 12).Draw(t, "announcements")
		shuffled := rapid.Permutation(append(announcements, announcements...)).Draw(t, "order")
		a, b := New(Config{}), New(Config{})
		for _, u := range announcements {
			a.Merge(u)
		}
		for _, u := range shuffled {
			b.Merge(u)
		}
		if got, want := fmt.Sprint(states(b)), fmt.Sprint(states(a)); got != want {
			t.Fatalf("in another order: got %s, want %s", got, want)
		}
	})
}

func TestReadyListsReadyUpstreamsOnly(t *testing.T) {
	table := New(Config{})
	table.Merge(announcement("b", "2:1", 10, 1, Ready))
	table.Merge(announcement("a", "1:1", 10, 1, Ready))
	table.Merge(announcement("c", "3:1", 10, 1, Draining))
	if got, want := len(table.Ready("rerank")), 2; got != want {
		t.Fatalf("%d ready, want %d", got, want)
	}
	table.Merge(announcement("a", "1:1", 10, 2, Draining))
	if got, want := table.Ready("rerank")[0].ID, "b"; got != want {
		t.Errorf("ready: %s, want %s", got, want)
	}
}

func TestRemoveExpired(t *testing.T) {
	table := New(Config{})
	table.Merge(announcement("a", "1:1", 10, 1, Ready))
	table.Merge(Upstream{ID: "a", State: Left, LastSeen: t0})
	table.RemoveExpired(t0.Add(tombstoneTTL/2), time.Minute)
	if got, want := table.Merge(announcement("a", "1:1", 10, 5, Ready)), Stale; got != want {
		t.Errorf("late announcement while the tombstone is kept: %s, want %s", got, want)
	}
	table.RemoveExpired(t0.Add(2*tombstoneTTL), time.Minute)
	if got, want := len(table.All()), 0; got != want {
		t.Errorf("%d upstreams kept, want %d", got, want)
	}
}
