package batcher

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

func upstreamsIn(counts map[string]int) []catalog.Upstream {
	var out []catalog.Upstream
	for zone, n := range counts {
		for i := range n {
			out = append(out, catalog.Upstream{ID: fmt.Sprint(zone, i), Zone: zone})
		}
	}
	return out
}

func TestShardOf(t *testing.T) {
	tests := []struct {
		name      string
		upstreams map[string]int
		zone      string
		want      string
	}{
		{"few upstreams have one owner", map[string]int{"a": 2, "b": 2, "c": 2}, "b", ""},
		{"three in each zone have one there", map[string]int{"a": 3, "b": 3, "c": 3}, "b", "b"},
		{"many have one in each zone", map[string]int{"a": 9, "b": 7, "c": 7}, "b", "b"},
		{"upstreams in one zone have one owner", map[string]int{"a": 40}, "a", ""},
		{"no upstreams have one owner", nil, "a", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := shardOf(Job{Service: "scan", Zone: tt.zone, RequestID: "r"}, upstreamsIn(tt.upstreams))
			if want := (shard{service: "scan", zone: tt.want}); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// Jobs whose zone has no upstream are spread over the zones that have.
func TestJobsWithoutZoneAreSpread(t *testing.T) {
	upstreams := upstreamsIn(map[string]int{"a": 9, "b": 9, "c": 9})
	counts := make(map[string]int)
	for i := range 300 {
		counts[shardOf(Job{Service: "scan", Zone: "elsewhere", RequestID: fmt.Sprint(i)}, upstreams).zone]++
	}
	for _, zone := range []string{"a", "b", "c"} {
		if got := counts[zone]; got < 60 || got > 140 {
			t.Errorf("zone %s got %d of 300 jobs, want about 100", zone, got)
		}
	}
}

func TestShardIncludesItsZone(t *testing.T) {
	upstreams := upstreamsIn(map[string]int{"a": 9, "b": 7})
	if got, want := len(shard{service: "scan", zone: "b"}.includes(upstreams)), 7; got != want {
		t.Errorf("%d upstreams in the shard, want %d", got, want)
	}
	if got, want := len(shard{service: "scan"}.includes(upstreams)), 16; got != want {
		t.Errorf("%d upstreams without a zone, want %d", got, want)
	}
}

// A service with many upstreams in each zone is batched by zone: a job runs in the
// zone that it prefers, at the owner of that zone, which also frees its results.
func TestJobsStayInTheirZone(t *testing.T) {
	fakes := map[string]*fakeUpstream{"a": newFakeUpstream(t), "b": newFakeUpstream(t)}
	var upstreams []catalog.Upstream
	for i := range minShardUpstreams {
		// The upstreams of a zone differ in their identity alone.
		for zone, u := range fakes {
			upstreams = append(upstreams, catalog.Upstream{ID: fmt.Sprint(zone, i), Service: "scan", Address: u.address(), Zone: zone, Slots: 1, State: catalog.Ready})
		}
	}
	own := newOwner(t, 1<<40)
	own.cfg.Upstreams = func(string) []catalog.Upstream { return upstreams }
	var asked []string
	r := newRouter(t, own, "self", nil)
	r.cfg.Owners = func(zone string) []Candidate {
		asked = append(asked, zone)
		return candidates("self")
	}
	job := newJob("r", 4)
	job.Zone = "b"
	completed := checkCompleted(t, r.Do(context.Background(), job), "r", 4)
	if calls, _ := fakes["a"].recorded(); len(calls) != 0 {
		t.Errorf("%d calls in the other zone, want 0", len(calls))
	}
	r.Release("scan", completed.Handles)
	eventually(t, "the release of results", func() bool { _, released := fakes["b"].recorded(); return len(released) >= 4 })
	for _, got := range asked {
		if want := "b"; got != want {
			t.Errorf("asked for the owner in zone %q, want %q", got, want)
		}
	}
	if got, want := len(own.dispatchers), 1; got != want {
		t.Errorf("%d queues, want %d", got, want)
	}
}

// A zone may be evacuated while pieces wait there. They must be run in other zones, nothing
// more may be sent to the zone, and results there are not released.
func TestPiecesOfEvacuatedZoneAreStranded(t *testing.T) {
	fakes := map[string]*fakeUpstream{"a": newFakeUpstream(t), "b": newFakeUpstream(t)}
	fakes["a"].hold = make(chan struct{})
	all := map[string][]catalog.Upstream{}
	for i := range minShardUpstreams {
		for zone, u := range fakes {
			all[zone] = append(all[zone], catalog.Upstream{ID: fmt.Sprint(zone, i), Service: "scan", Address: u.address(), Zone: zone, Slots: 1, State: catalog.Ready})
		}
	}
	var evacuated atomic.Bool
	own := newOwner(t, 1<<40)
	own.cfg.Upstreams = func(string) []catalog.Upstream {
		if evacuated.Load() {
			return all["b"]
		}
		return append(slices.Clone(all["a"]), all["b"]...)
	}
	r := newRouter(t, own, "self", func() []string { return []string{"self"} })
	run := func(request string, pieces int) chan Result {
		done := make(chan Result, 1)
		job := newJob(request, pieces)
		job.Zone = "a"
		go func() { done <- r.Do(context.Background(), job) }()
		return done
	}
	callsIn := func(zone string) int { calls, _ := fakes[zone].recorded(); return len(calls) }
	// Each upstream of the zone is busy with one call, and more pieces wait.
	first := run("first", 6*minShardUpstreams)
	eventually(t, "calls to all upstreams of the zone", func() bool { return callsIn("a") == minShardUpstreams })
	waiting := run("waiting", 4)
	eventually(t, "the waiting job", func() bool {
		d, _ := own.dispatcher(shard{service: "scan", zone: "a"})
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.queue.Waiting() == 4
	})
	evacuated.Store(true)
	checkCompleted(t, <-waiting, "waiting", 4)
	close(fakes["a"].hold)
	completed := checkCompleted(t, <-first, "first", 6*minShardUpstreams)
	r.Release("scan", completed.Handles)
	checkCompleted(t, <-run("later", 4), "later", 4)
	if got, want := callsIn("a"), minShardUpstreams; got != want {
		t.Errorf("%d calls in the evacuated zone, want the %d from before", got, want)
	}
	if _, released := fakes["a"].recorded(); len(released) > 0 {
		t.Errorf("%d results were released in the evacuated zone, want none", len(released))
	}
}
