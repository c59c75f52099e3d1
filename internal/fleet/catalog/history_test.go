package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// silentAt is a time at which an upstream that was last heard at t0 is silent.
var silentAt = t0.Add(silentAfter + time.Millisecond)

// Guards against a heartbeat of an ended or replaced start that is accepted, against one
// that ends a live start because it says that it was born later or is unknown, and against
// one of another upstream that takes the address of a live one.
func TestJudge(t *testing.T) {
	ready := func(id, address string, born int64) Upstream { return announcement(id, address, born, 9, Ready) }
	tests := []struct {
		name   string
		known  []Upstream
		silent bool
		u      Upstream
		want   Standing
		// replaced are the starts that have ended if the announcement is accepted.
		replaced []int64
	}{
		{"unknown upstream", nil, false, ready("a", "1:1", 10), Newcomer, nil},
		{"known start", []Upstream{ready("a", "1:1", 10)}, false, ready("a", "1:1", 10), Known, nil},
		{"later start", []Upstream{ready("a", "1:1", 10)}, false, ready("a", "1:1", 20), Newcomer, nil},
		{"earlier born start beside a live one", []Upstream{ready("a", "1:1", 10)}, false, ready("a", "1:1", 5), Disputed, []int64{10}},
		{"earlier born start after one that has stopped", []Upstream{ready("a", "1:1", 10)}, true, ready("a", "1:1", 5), Disputed, []int64{10}},
		{"late announcement of a start that was replaced", []Upstream{ready("a", "1:1", 10), ready("a", "1:1", 20)}, true, ready("a", "1:1", 10), Ended, nil},
		{"earlier born than several", []Upstream{ready("a", "1:1", 10), ready("a", "1:1", 20)}, true, ready("a", "1:1", 5), Disputed, []int64{10, 20}},
		{"start that drains", []Upstream{announcement("a", "1:1", 10, 1, Draining)}, false, ready("a", "1:1", 10), Ended, nil},
		{"earlier born start after one that drains", []Upstream{announcement("a", "1:1", 10, 1, Draining)}, true, ready("a", "1:1", 5), Ended, nil},
		{"later start after one that has left", []Upstream{ready("a", "1:1", 10), {ID: "a", State: Left}}, false, ready("a", "1:1", 20), Newcomer, nil},
		{"address of a live upstream", []Upstream{ready("b", "1:1", 10)}, false, ready("a", "1:1", 20), Disputed, []int64{10}},
		{"address of a live upstream, by a known one", []Upstream{ready("b", "1:1", 10), ready("a", "1:2", 20)}, false, ready("a", "1:1", 20), Disputed, []int64{10}},
		{"address of an upstream that drains", []Upstream{announcement("b", "1:1", 10, 1, Draining)}, false, ready("a", "1:1", 20), Newcomer, nil},
		{"address of an upstream that has stopped", []Upstream{ready("b", "1:1", 10)}, true, ready("a", "1:1", 20), Newcomer, nil},
		{"address of a later born upstream that has stopped", []Upstream{ready("b", "1:1", 30)}, true, ready("a", "1:1", 20), Disputed, []int64{30}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Config{})
			for _, u := range tt.known {
				table.Announce(u)
			}
			if tt.silent {
				table.UpdateSilence(silentAt)
			}
			got := table.Judge(tt.u)
			if got.Standing != tt.want || !slices.Equal(got.Replaced, tt.replaced) {
				t.Fatalf("got standing %d, replaced %v, want %d, %v", got.Standing, got.Replaced, tt.want, tt.replaced)
			}
			if got.Standing != Disputed || !got.Other.Silent {
				return
			}
			table.NoteEnded(got.Other.ID, starts.Ended{}.WithReplaced(got.Replaced...), silentAt)
			if got, want := table.Judge(tt.u).Standing, Newcomer; got != want {
				t.Errorf("after the replaced starts have ended: standing %d, want %d", got, want)
			}
			table.Announce(tt.u)
			if !table.Heeds(tt.u) {
				t.Errorf("the announcement is not heeded: %v", states(table))
			}
		})
	}
}

// A DELETE that carries no born may be a late one of an earlier start. It must not end the
// next one, nor be acknowledged where it ends nothing.
func TestLeaveWithoutStart(t *testing.T) {
	ready := func(born int64, after time.Duration) Upstream {
		u := announcement("a", "1:1", born, 1, Ready)
		u.LastSeen = t0.Add(after)
		return u
	}
	left := Upstream{ID: "a", State: Left, LastSeen: t0}
	tests := []struct {
		name  string
		known []Upstream
		after time.Duration
		want  bool
	}{
		{"unknown upstream", nil, 0, false},
		{"only start", []Upstream{ready(10, 0)}, time.Second, true},
		{"sent again", []Upstream{ready(10, 0), left}, time.Second, true},
		{"start after one that has left", []Upstream{ready(10, 0), left, ready(20, time.Second)}, 2 * time.Second, false},
		{"start after one that has crashed", []Upstream{ready(10, 0), ready(20, time.Second)}, 2 * time.Second, false},
		{"start after one that has left long before", []Upstream{ready(10, 0), left, ready(20, time.Second)}, MaxDelay + time.Second, true},
		{"start that drains, after one that has left", []Upstream{ready(10, 0), left, announcement("a", "1:1", 20, 1, Draining)}, time.Second, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Config{})
			for _, u := range tt.known {
				table.Announce(u)
			}
			if _, got := table.LeavingStart("a", t0.Add(tt.after)); got != tt.want {
				t.Errorf("certain: %t, want %t", got, tt.want)
			}
		})
	}
}

// An end that the log holds must reach processes that know nothing of the upstream, or only
// that it is ready.
func TestNoteEnded(t *testing.T) {
	ended := starts.Ended{}.WithEnd(10)
	table := New(Config{})
	if !table.NoteEnded("a", ended, t0) {
		t.Error("the end of an unknown upstream is no change")
	}
	if table.NoteEnded("a", ended, t0) {
		t.Error("the same end again is a change")
	}
	if got, want := fmt.Sprint(states(table)), "map[a:left, start 10]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	table.Merge(announcement("a", "1:1", 20, 1, Ready))
	table.NoteEnded("a", starts.Ended{}.WithEnd(20), t0)
	if got, want := fmt.Sprint(states(table)), "map[a:draining, start 20]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	table.RemoveExpired(t0.Add(2*tombstoneTTL), 0)
	table.Merge(Upstream{ID: "a", State: Left, LastSeen: t0})
	table.RemoveExpired(t0.Add(2*tombstoneTTL), 0)
	if got, want := len(table.histories), 0; got != want {
		t.Errorf("%d histories kept of upstreams that were forgotten, want %d", got, want)
	}
}

// Each process must take the same start for the present one, in whatever order it learns of
// starts, of ends and of starts that were replaced by one that was born earlier.
func TestStartsAreOrderedAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The later half of the starts was born after a clock went back, and each has
		// replaced those of the first half that were born after it.
		generator := rapid.Custom(func(t *rapid.T) Upstream {
			s := rapid.SampledFrom([]State{Ready, Ready, Draining, Left}).Draw(t, "state")
			born := rapid.SampledFrom([]int64{10, 20, 30, 12, 13}).Draw(t, "start")
			u := announcement("a", "a:1", born, uint64(rapid.IntRange(1, 3).Draw(t, "seq"))+10*uint64(s), s)
			if born == 12 || born == 13 {
				u.ended = starts.Ended{}.WithReplaced(20, 30)
			}
			return u
		})
		words := rapid.SliceOfN(generator, 1, 12).Draw(t, "announcements")
		shuffled := rapid.Permutation(append(slices.Clone(words), words...)).Draw(t, "order")
		a, b := New(Config{}), New(Config{})
		for _, u := range words {
			a.Merge(u)
		}
		for _, u := range shuffled {
			b.Merge(FromProto(u.Proto(t0), t0))
		}
		if got, want := fmt.Sprint(states(b)), fmt.Sprint(states(a)); got != want {
			t.Fatalf("in another order: got %s, want %s", got, want)
		}
	})
}

// fakeRegistry is a table together with the log, without the network.
type fakeRegistry struct {
	table *Table
	log   *starts.State
	index uint64
}

func (r *fakeRegistry) record(c *statepb.EndStart) {
	r.index++
	r.log.Apply(r.index, c)
	for _, u := range r.log.Proto().Upstreams {
		r.table.NoteEnded(u.Upstream, starts.FromProto(u), t0)
	}
}

// loseMemory starts the registry with an empty table and the log.
func (r *fakeRegistry) loseMemory() {
	r.table = New(Config{})
	r.record(&statepb.EndStart{})
}

// announce applies an announcement and reports whether it is acknowledged.
func (r *fakeRegistry) announce(u Upstream) bool {
	j := r.table.Judge(u)
	if j.Standing == Disputed && j.Other.Silent {
		r.record(&statepb.EndStart{Upstream: j.Other.ID, ReplacedMs: j.Replaced})
		j = r.table.Judge(u)
	}
	if j.Standing == Disputed || j.Standing == Ended && u.State == Ready {
		return false
	}
	if u.State != Ready {
		r.record(&statepb.EndStart{Upstream: u.ID, BornMs: u.StartTimeMs})
	}
	r.table.Announce(u)
	return r.table.Heeds(u)
}

// With any number of restarts under one ID, jumps of its clock, late copies of what was
// sent and losses of all memory: a start whose end was acknowledged takes no calls, nor does
// an earlier one; and a start after a crash is accepted once the crashed one is silent.
func TestEndedStartsStayAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &fakeRegistry{table: New(Config{}), log: starts.Restore(nil), index: 1}
		var sent []Upstream
		ended := make(map[int64]bool)
		usedBorn := make(map[int64]bool)
		clock, seq, drained := int64(1000), uint64(0), false
		// Two starts in a row fit into the record of replaced ones, whatever they replace.
		back := 0
		live := announcement("u", "1:1", clock, 0, Ready)
		usedBorn[clock] = true
		say := func(s State) bool {
			seq++
			live.Seq, live.State = seq, s
			sent = append(sent, live)
			return r.announce(live)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				say(live.State)
			case 2:
				if say(Draining) {
					ended[live.StartTimeMs], drained = true, true
				}
			case 3:
				// The upstream stops, is silent, and starts again; its clock may have gone back.
				step := int64(rapid.IntRange(-300, 500).Draw(t, "clock"))
				if step < 0 {
					back++
				}
				if back > 2 {
					step = max(0, step)
				}
				clock += step
				for clock <= 0 || usedBorn[clock] {
					clock++
				}
				usedBorn[clock] = true
				r.table.UpdateSilence(silentAt)
				wasDrained := drained
				live, seq, drained = announcement("u", "1:1", clock, 0, Ready), 0, false
				if !say(Ready) && !wasDrained && len(ended) == 0 {
					t.Fatalf("start %d is not accepted after a crash: %v", clock, states(r.table))
				}
			case 4:
				r.loseMemory()
			default:
				if len(sent) > 0 {
					r.announce(rapid.SampledFrom(sent).Draw(t, "late"))
				}
			}
			if u, known := r.table.Get("u"); known && u.State == Ready && ended[u.StartTimeMs] {
				t.Fatalf("start %d takes calls after its end was acknowledged", u.StartTimeMs)
			}
		}
	})
}

// Guards against an upstream that stays away for good because its clock has gone back past
// its last planned stop.
func TestForgottenEndLetsEarlierBornStartIn(t *testing.T) {
	table := New(Config{})
	table.Announce(announcement("a", "1:1", 20, 1, Ready))
	table.Announce(announcement("a", "1:1", 20, 2, Draining))
	table.NoteEnded("a", starts.Ended{}.WithEnd(20), t0)
	u := announcement("a", "1:1", 10, 1, Ready)
	for _, tt := range []struct {
		after time.Duration
		want  Standing
	}{{MaxDelay, Ended}, {tombstoneTTL + silentAfter + time.Second, Newcomer}} {
		table.UpdateSilence(t0.Add(tt.after))
		table.RemoveExpired(t0.Add(tt.after), 0)
		if got := table.Judge(u).Standing; got != tt.want {
			t.Errorf("%v after the end: standing %d, want %d", tt.after, got, tt.want)
		}
	}
}

// BenchmarkJudge judges announcements of 400 upstreams.
func BenchmarkJudge(b *testing.B) {
	table := New(Config{})
	upstreams := make([]Upstream, 400)
	for i := range upstreams {
		upstreams[i] = announcement(fmt.Sprint("u", i), fmt.Sprint("10.0.0.1:", i+1), 10, 1, Ready)
		table.Announce(upstreams[i])
	}
	for i := 0; b.Loop(); i++ {
		u := upstreams[i%len(upstreams)]
		u.StartTimeMs -= int64(i % 2)
		table.Judge(u)
	}
}
