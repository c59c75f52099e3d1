package batcher

import (
	"testing"

	"go.uber.org/zap"
)

// twoZones returns the candidates of two zones, and of both for any other zone.
func twoZones(zone string) []Candidate {
	switch zone {
	case "a":
		return candidates("a1", "a2")
	case "b":
		return candidates("b1", "b2", "b3")
	default:
		return candidates("a1", "a2", "b1", "b2", "b3")
	}
}

// Guards against entries that each run the jobs of a shard themselves while all entries of
// its zone are lost: the upstreams get the calls of all of them, and refuse most.
func TestEntriesAgreeOnOwnerWhileZoneIsLost(t *testing.T) {
	s := shard{service: "scan", zone: "a"}
	owners := make(map[Candidate]bool)
	for _, self := range []string{"b1", "b2", "b3"} {
		r := NewRouter(RouterConfig{Self: self, Owners: twoZones, Log: zap.NewNop()})
		for _, c := range twoZones("a") {
			r.markLost(c)
		}
		c, ok := r.owner(s)
		if !ok {
			t.Fatalf("%s finds no owner, want one of the other zone", self)
		}
		owners[c] = true
	}
	if got, want := len(owners), 1; got != want {
		t.Errorf("%d owners of the shard, want %d: %v", got, want, owners)
	}
}

// Guards against entries that pass over a restarted owner for the whole backoff, while those
// that have restarted themselves call it: two owners call the same upstreams.
func TestRestartedOwnerIsCandidateAtOnce(t *testing.T) {
	s := shard{service: "scan", zone: "a"}
	current := twoZones
	r := NewRouter(RouterConfig{Self: "b1", Owners: func(zone string) []Candidate { return current(zone) }, Log: zap.NewNop()})
	lost, _ := r.owner(s)
	r.markLost(lost)
	if got, _ := r.owner(s); got.Link == lost.Link {
		t.Fatalf("owner %v during the backoff, want another", got)
	}
	current = func(zone string) []Candidate {
		out := twoZones(zone)
		for i := range out {
			if out[i].Link == lost.Link {
				out[i].Incarnation++
			}
		}
		return out
	}
	for range 3 {
		if got, _ := r.owner(s); got.Link != lost.Link {
			t.Errorf("owner %v after the restart, want %v", got, lost.Link)
		}
	}
}
