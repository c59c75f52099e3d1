package evacuation

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

func order(zone string, revoke bool, seen uint64) *statepb.Evacuate {
	return &statepb.Evacuate{Zone: zone, Revoke: revoke, Seen: seen}
}

// Guards against a delayed copy of an order that undoes a later order, and against a
// resent order that is refused or changes the index that its acknowledgement waits for.
func TestApply(t *testing.T) {
	const (
		accepted = statepb.ResultKind_RESULT_KIND_OK
		conflict = statepb.ResultKind_RESULT_KIND_CONFLICT
	)
	s := Restore(nil)
	for i, tt := range []struct {
		name  string
		order *statepb.Evacuate
		kind  statepb.ResultKind
		index uint64
		zones string
	}{
		{"restore of a zone that was never evacuated", order("a", true, 0), accepted, 1, ""},
		{"evacuation", order("a", false, 0), accepted, 11, "a"},
		{"resent", order("a", false, 0), accepted, 11, "a"},
		{"resent to an instance that knows more", order("a", false, 11), accepted, 11, "a"},
		{"late copy of a restore from before", order("a", true, 0), conflict, 11, "a"},
		{"another zone", order("b", false, 0), accepted, 15, "a b"},
		{"restore", order("a", true, 11), accepted, 16, "b"},
		{"late copy of the evacuation", order("a", false, 0), conflict, 16, "b"},
		{"resent restore", order("a", true, 11), accepted, 16, "b"},
		{"second evacuation", order("a", false, 16), accepted, 19, "a b"},
		{"no name", order("", false, 0), statepb.ResultKind_RESULT_KIND_INVALID, 0, "a b"},
		{"name that is too long", order(strings.Repeat("x", MaxNameBytes+1), false, 0), statepb.ResultKind_RESULT_KIND_INVALID, 0, "a b"},
	} {
		r := s.Apply(uint64(10+i), tt.order)
		if r.Kind != tt.kind || r.Index != tt.index {
			t.Errorf("%s: got %v at %d, want %v at %d", tt.name, r.Kind, r.Index, tt.kind, tt.index)
		}
		if got := strings.Join(Zones(s.Proto()), " "); got != tt.zones {
			t.Errorf("%s: zones %q evacuated, want %q", tt.name, got, tt.zones)
		}
	}
}

// Guards against a state that grows with every name that is sent, and against dropping a
// zone that is evacuated to make room for another.
func TestNumberOfZonesIsLimited(t *testing.T) {
	s := Restore(nil)
	index := uint64(1)
	apply := func(zone string, revoke bool) statepb.ResultKind {
		index++
		return s.Apply(index, order(zone, revoke, index)).Kind
	}
	for i := range 3 * MaxZones {
		zone := fmt.Sprint("zone-", i)
		apply(zone, false)
		apply(zone, true)
	}
	if got, want := len(s.Proto().Zones), MaxZones; got != want {
		t.Errorf("%d zones kept, want %d", got, want)
	}
	for i := range MaxZones {
		if got, want := apply(fmt.Sprint("held-", i), false), statepb.ResultKind_RESULT_KIND_OK; got != want {
			t.Fatalf("evacuation %d: %v, want %v", i, got, want)
		}
	}
	if got, want := apply("one-more", false), statepb.ResultKind_RESULT_KIND_INVALID; got != want {
		t.Errorf("evacuation over the limit: %v, want %v", got, want)
	}
	if got, want := len(Zones(s.Proto())), MaxZones; got != want {
		t.Errorf("%d zones evacuated, want %d", got, want)
	}
}

// With any number of delayed copies and restarts from a snapshot, the state of a zone is
// what the last order says that the operator gave: copies of earlier ones change nothing.
func TestDelayedCopiesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Restore(nil)
		index := uint64(1)
		var copies []*statepb.Evacuate
		want := make(map[string]bool)
		zones := []string{"a", "b", "c"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			index++
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s = Restore(proto.CloneOf(s.Proto()))
			case 1:
				if len(copies) > 0 {
					s.Apply(index, rapid.SampledFrom(copies).Draw(t, "copy"))
				}
			default:
				zone := rapid.SampledFrom(zones).Draw(t, "zone")
				o := order(zone, rapid.Bool().Draw(t, "revoke"), Seen(s.Proto(), zone))
				copies = append(copies, o)
				if got := s.Apply(index, o).Kind; got != statepb.ResultKind_RESULT_KIND_OK {
					t.Fatalf("order for zone %s: %v, want it accepted", zone, got)
				}
				want[zone] = !o.Revoke
			}
			for _, zone := range zones {
				if got := slices.Contains(Zones(s.Proto()), zone); got != want[zone] {
					t.Fatalf("zone %s evacuated: %t, want %t", zone, got, want[zone])
				}
			}
		}
	})
}
