package starts

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain makes the random tests reproducible with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

const (
	ok      = statepb.ResultKind_RESULT_KIND_OK
	refusal = statepb.ResultKind_RESULT_KIND_REFUSED
)

func ended(s *State, id string) Ended {
	for _, u := range s.Proto().Upstreams {
		if u.Upstream == id {
			return FromProto(u)
		}
	}
	return Ended{}
}

// Guards against a repeated command that is refused or takes room in the log's state, and
// against the end of a replaced start that ends the one that has replaced it.
func TestApply(t *testing.T) {
	s := Restore(nil)
	for i, tt := range []struct {
		name    string
		command *statepb.EndStart
		kind    statepb.ResultKind
		index   uint64
		has     []int64
		hasNot  []int64
	}{
		{"end", &statepb.EndStart{Upstream: "a", BornMs: 20}, ok, 10, []int64{10, 20}, []int64{21}},
		{"the same again", &statepb.EndStart{Upstream: "a", BornMs: 20}, ok, 10, []int64{20}, []int64{21}},
		{"end of an earlier start", &statepb.EndStart{Upstream: "a", BornMs: 5}, ok, 10, []int64{20}, []int64{21}},
		{"replaced by one that was born earlier", &statepb.EndStart{Upstream: "a", ReplacedMs: []int64{90}}, ok, 13, []int64{20, 90}, []int64{30, 91}},
		{"end of the replaced one", &statepb.EndStart{Upstream: "a", BornMs: 90}, ok, 13, []int64{90}, []int64{30, 91}},
		{"end of the one that has replaced it", &statepb.EndStart{Upstream: "a", BornMs: 30}, ok, 15, []int64{20, 30, 90}, []int64{31, 91}},
		{"end of a later start", &statepb.EndStart{Upstream: "a", BornMs: 95}, ok, 16, []int64{30, 91, 90, 95}, []int64{96}},
		{"born unknown", &statepb.EndStart{Upstream: "a"}, ok, 16, []int64{0, 95}, []int64{96}},
		{"negative", &statepb.EndStart{Upstream: "a", BornMs: -1}, refusal, 0, nil, []int64{96}},
		{"not UTF-8", &statepb.EndStart{Upstream: "\xff", BornMs: 1}, refusal, 0, nil, nil},
		{"too long", &statepb.EndStart{Upstream: strings.Repeat("x", MaxIDBytes+1), BornMs: 1}, refusal, 0, nil, nil},
	} {
		r := s.Apply(uint64(10+i), tt.command)
		if r.Kind != tt.kind || r.Index != tt.index {
			t.Errorf("%s: got %v at %d, want %v at %d", tt.name, r.Kind, r.Index, tt.kind, tt.index)
		}
		for _, b := range tt.has {
			if !ended(s, "a").Has(b) {
				t.Errorf("%s: start %d has not ended, want it ended", tt.name, b)
			}
		}
		for _, b := range tt.hasNot {
			if ended(s, "a").Has(b) {
				t.Errorf("%s: start %d has ended, want it not ended", tt.name, b)
			}
		}
	}
	if got, want := len(s.Proto().Upstreams), 1; got != want {
		t.Errorf("%d records, want %d", got, want)
	}
}

// Guards against an upstream whose start was born at an unknown time and that counts as
// ended without a record.
func TestNothingHasEndedWithoutRecord(t *testing.T) {
	for _, b := range []int64{0, 1} {
		if (Ended{}).Has(b) {
			t.Errorf("start %d has ended, want it not ended", b)
		}
	}
}

// Guards against a state that grows with every ID that is sent, and against dropping a
// record to make room for another: an acknowledged end is a promise.
func TestNumberOfRecordsIsLimited(t *testing.T) {
	s := Restore(nil)
	for i := range MaxUpstreams {
		if got := s.Apply(uint64(i+2), &statepb.EndStart{Upstream: fmt.Sprint("u", i), BornMs: 1}).Kind; got != ok {
			t.Fatalf("end %d: %v, want %v", i, got, ok)
		}
	}
	if got := s.Apply(MaxUpstreams+2, &statepb.EndStart{Upstream: "one-more", BornMs: 1}).Kind; got != refusal {
		t.Errorf("end over the limit: %v, want %v", got, refusal)
	}
	if !ended(s, "u0").Has(1) {
		t.Error("the oldest record was dropped")
	}
	if got := s.Apply(MaxUpstreams+3, &statepb.EndStart{Upstream: "one-more", BornMs: 1, Forget: 2}).Kind; got != ok {
		t.Errorf("end after a record may be forgotten: %v, want %v", got, ok)
	}
	for b := range int64(MaxReplaced) {
		if got := s.Apply(uint64(MaxUpstreams+10+b), &statepb.EndStart{Upstream: "u1", ReplacedMs: []int64{10 + b}}).Kind; got != ok {
			t.Errorf("replacement %d: %v, want %v", b, got, ok)
		}
	}
	if got := s.Apply(MaxUpstreams+20, &statepb.EndStart{Upstream: "u1", ReplacedMs: []int64{9}}).Kind; got != refusal {
		t.Errorf("replacement over the limit: %v, want %v", got, refusal)
	}
}

// What two processes know of ended starts must not depend on the order in which they learnt
// it: they would disagree on which start takes calls.
func TestJoinIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) Ended {
			e := Ended{}
			if rapid.Bool().Draw(t, "end") {
				e = e.WithEnd(int64(rapid.IntRange(0, 6).Draw(t, "born")))
			}
			return e.WithReplaced(rapid.SliceOfN(rapid.Int64Range(1, 9), 0, 2).Draw(t, "replaced")...)
		})
		a, b, c := generator.Draw(t, "a"), generator.Draw(t, "b"), generator.Draw(t, "c")
		if got, want := b.Join(a), a.Join(b); got != want {
			t.Fatalf("other order: got %v, want %v", got, want)
		}
		if got, want := a.Join(b.Join(c)), a.Join(b).Join(c); got != want {
			t.Fatalf("other grouping: got %v, want %v", got, want)
		}
		if got, want := a.Join(b).Join(b), a.Join(b); got != want {
			t.Fatalf("repeated: got %v, want %v", got, want)
		}
		for born := range int64(10) {
			if a.Has(born) && !a.Join(b).Has(born) {
				t.Fatalf("start %d has ended in %v and not in %v", born, a, a.Join(b))
			}
		}
	})
}

// With any number of repeated commands and restarts from a snapshot, each end stays
// recorded until it may be forgotten, and no start counts as ended that did not end before
// another one.
func TestEndsStayUntilForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Restore(nil)
		index := uint64(1)
		type start struct {
			id   string
			born int64
		}
		recorded := make(map[start]uint64)
		last := make(map[string]int64)
		var copies []*statepb.EndStart
		ids := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			index++
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s = Restore(proto.CloneOf(s.Proto()))
			case 1:
				if len(copies) > 0 {
					s.Apply(index, proto.CloneOf(rapid.SampledFrom(copies).Draw(t, "copy")))
				}
			case 2:
				forget := uint64(rapid.IntRange(0, int(index)).Draw(t, "forget"))
				s.Apply(index, &statepb.EndStart{Forget: forget})
				for st, at := range recorded {
					if at <= forget {
						delete(recorded, st)
					}
				}
			default:
				c := &statepb.EndStart{Upstream: id, BornMs: int64(rapid.IntRange(1, 9).Draw(t, "born"))}
				copies = append(copies, c)
				last[id] = max(last[id], c.BornMs)
				r := s.Apply(index, c)
				if r.Kind != ok {
					t.Fatalf("end of %s@%d: %v, want it recorded", id, c.BornMs, r.Kind)
				}
				recorded[start{id, c.BornMs}] = r.Index
			}
			for st := range recorded {
				if !ended(s, st.id).Has(st.born) {
					t.Fatalf("the end of %s@%d was forgotten", st.id, st.born)
				}
			}
			for _, id := range ids {
				if got, want := ended(s, id).Last(), last[id]; got > want {
					t.Fatalf("last end of %s: %d, want at most %d", id, got, want)
				}
			}
			if !slices.IsSortedFunc(s.Proto().Upstreams, func(a, b *statepb.UpstreamEnds) int { return int(a.Index) - int(b.Index) }) {
				t.Fatal("records are not sorted by index")
			}
		}
	})
}
