package batcher

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against a bound that lets more through than its burst and its rate, and against one
// that holds up what is below them.
func TestSpacing(t *testing.T) {
	const interval, burst = 50 * time.Millisecond, 10
	start := time.Now()
	tests := []struct {
		name        string
		every       time.Duration
		events      int
		least, most time.Duration
	}{
		{"below the burst", 0, burst, 0, 0},
		{"over the burst", 0, 20, 10 * interval, 10 * interval},
		{"at the rate", interval, 100, 0, 0},
		{"at twice the rate", interval / 2, 100, 40 * interval, 41 * interval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var p spacing
			now, waited := start, time.Duration(0)
			for range tt.events {
				wait := p.wait(now, interval, burst)
				waited += wait
				now = now.Add(wait)
				p.add(now, interval)
				now = now.Add(tt.every)
			}
			if waited < tt.least || waited > tt.most {
				t.Errorf("waited %v, want %v to %v", waited, tt.least, tt.most)
			}
		})
	}
}

// Guards against an upstream that fails every piece at once and is called, each time on a
// new connection, as fast as it answers.
func TestConnectionsToFailingUpstreamAreBounded(t *testing.T) {
	u := newFakeUpstream(t)
	u.answer = func(_ int, items []Item) (int, []Output) {
		out := make([]Output, len(items))
		for i := range out {
			out[i].Reason = ReasonFailed
		}
		return http.StatusOK, out
	}
	o := newOwner(t, 1<<40, u)
	start := time.Now()
	const duration = 600 * time.Millisecond
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for i := 0; time.Since(start) < duration; i++ {
				job := newJob(fmt.Sprint("r", caller, "-", i), 1)
				job.Timeout = 500 * time.Millisecond
				o.Do(t.Context(), job)
			}
		})
	}
	callers.Wait()
	most := int64(lostBurst + time.Since(start)/lostInterval + 1)
	got := u.connections.Load()
	if got > most {
		t.Errorf("%d connections in %v, want at most %d", got, time.Since(start), most)
	}
	if got < lostBurst {
		t.Errorf("%d connections in %v, want at least the burst of %d", got, time.Since(start), lostBurst)
	}
}

// Guards against many small releases that each take a connection at once, and against
// results that are lost or kept for long as their releases wait for one another.
func TestConnectionsOfReleasesAreBounded(t *testing.T) {
	u := newFakeUpstream(t)
	o := newOwner(t, 1<<40, u)
	const n = 500
	start := time.Now()
	for i := range n {
		o.release(shard{service: "scan"}, []string{fmt.Sprint(u.address(), "/", i)})
	}
	eventually(t, "the release of all results", func() bool {
		_, released := u.recorded()
		return len(released) >= n
	})
	took := time.Since(start)
	if limit := time.Second; took > limit {
		t.Errorf("the results were released after %v, want at most %v", took, limit)
	}
	if got, most := u.connections.Load(), int64(releaseBurst+took/releaseInterval+1); got > most {
		t.Errorf("%d connections in %v, want at most %d", got, took, most)
	}
	_, released := u.recorded()
	seen := make(map[string]bool)
	for _, handle := range released {
		if seen[handle] {
			t.Errorf("result %s was released twice", handle)
		}
		seen[handle] = true
	}
}

// Guards against an answer that gives two pieces the same result.
func TestResultTwiceInAnswerIsRejected(t *testing.T) {
	u := newFakeUpstream(t)
	u.answer = func(call int, items []Item) (int, []Output) {
		out := u.handles(call, items)
		if call == 1 {
			out[1] = out[0]
		}
		return http.StatusOK, out
	}
	o := newOwner(t, 1<<40, u)
	checkCompleted(t, o.Do(t.Context(), newJob("r", 2)), "r", 2)
}

// Guards against results of several shards of an upstream that share a release, of which
// only one regains the memory.
func TestSharedReleaseReturnsMemoryOfAllShards(t *testing.T) {
	var r releases
	now := time.Now()
	a, b := shard{service: "scan", zone: "a"}, shard{service: "scan", zone: "b"}
	if wait, take := r.add(now, "u", a, []string{"1"}); wait != 0 || !take {
		t.Errorf("first: got %v, %t, want to be sent at once", wait, take)
	}
	if _, take := r.add(now, "u", b, []string{"2"}); take {
		t.Error("second: got a release of its own, want to share that of the first")
	}
	got := r.take(now, "u")
	if len(got[a]) != 1 || len(got[b]) != 1 {
		t.Errorf("got %v, want one result of each shard", got)
	}
	if r.take(now, "u"); len(r.upstreams) != 1 {
		t.Errorf("%d upstreams known, want 1", len(r.upstreams))
	}
	r.add(now.Add(time.Minute), "other", a, []string{"3"})
	r.take(now.Add(time.Minute), "other")
	if _, known := r.upstreams["u"]; known {
		t.Error("an upstream without results is still known after a minute")
	}
}
