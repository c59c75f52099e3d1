package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// classify reads the test headers of an answer. Load has the running and the waiting requests
// and the slots.
func classify(_ int, h http.Header) transport.Reply {
	reply := transport.Reply{ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "", Unsigned: h.Get("Unsigned") != ""}
	var load balance.Report
	if n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d", &load.Running, &load.Waiting, &load.Slots); n == 3 {
		reply.Load = &load
	}
	return reply
}

// learn lets the gateway choose upstreams by learned capacity.
func (f *fixture) learn() {
	f.cfg.Balancer = balance.New(balance.Config{Random: rand.New(rand.NewPCG(1, 2)).IntN, Model: capacity.NewModel()})
	f.cfg.StageTimes = capacity.NewModel()
}

// Guards against answers and first events whose times are not passed to the balancer: a slow
// upstream would get as many requests as a fast one.
func TestSlowUpstreamGetsFewRequestsByLearnedCapacity(t *testing.T) {
	for path, answer := range map[string]http.HandlerFunc{"/safe/x": ok, "/stream/x": writeEvents(2)} {
		slow := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(60 * time.Millisecond)
			answer(w, r)
		})
		fast := newUpstream(t, answer)
		f := newFixture(t, document(), slow.URL, fast.URL)
		f.learn()
		for range 40 {
			f.call(t, path)
		}
		if got := slow.runs.Load(); got > 10 {
			t.Errorf("%s: the slow upstream got %d of 40 requests, want at most 10", path, got)
		}
	}
}

// Guards against requests that are sent where they will be refused although the upstream
// has room within their objective.
func TestRequestWaitsForRoomAtFullUpstream(t *testing.T) {
	var full atomic.Bool
	full.Store(true)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if full.Load() {
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Load", "6,24,6")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Load", "1,0,6")
		ok(w, r)
	})
	f := newFixture(t, document(), u.URL)
	f.learn()
	full.Store(false)
	f.call(t, "/once/x")
	full.Store(true)
	for range 20 {
		f.cfg.Balancer.Report(time.Now(), "u0", balance.Report{Running: 6, Waiting: 24, Slots: 6})
	}
	if resp, _, _ := f.call(t, "/once/x"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("a refused request: got status %d, want 503", resp.StatusCode)
	}
	time.AfterFunc(100*time.Millisecond, func() { full.Store(false) })
	start := time.Now()
	resp, _, _ := f.call(t, "/once/x")
	if got := resp.StatusCode; got != http.StatusOK {
		t.Errorf("got status %d, want 200 after a wait", got)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("answered after %v, want within the objective of 1 s", took)
	}
	if got, want := u.runs.Load(), int64(3); got != want {
		t.Errorf("the upstream got %d requests, want %d", got, want)
	}
}

// Guards against a wait for room that ends later than the objective, and against requests
// that are never sent to an upstream that is expected to refuse them.
func TestRequestIsSentToFullUpstreamInTheEnd(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Load", "600,2400,600")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	d := document()
	for i := range d.Routes {
		d.Routes[i].Objective = 150 * time.Millisecond
	}
	f := newFixture(t, d, u.URL)
	f.learn()
	for range 3 {
		start := time.Now()
		if resp, _, _ := f.call(t, "/once/x"); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got status %d, want 503", resp.StatusCode)
		}
		if took := time.Since(start); took > 300*time.Millisecond {
			t.Errorf("refused after %v, want soon after the objective of 150 ms", took)
		}
	}
	if got := u.runs.Load(); got != 3 {
		t.Errorf("the upstream got %d requests, want 3", got)
	}
}

// Guards against waits and slack that are computed from configured durations although
// stages take longer.
func TestExpectedStageTimeIsLearned(t *testing.T) {
	f := newFixture(t, document(site.Stage{Service: "p"}))
	f.learn()
	q := &request{server: f.Server, index: f.Index(), route: &f.Index().Routes[5], Attributes: Attributes{Pieces: []int{3}}}
	configured := q.expectedCallTime(0)
	for range 30 {
		q.learnStage("p", 80*time.Millisecond, 3, batcher.Completed{Queued: 20 * time.Millisecond})
	}
	if got := q.expectedCallTime(0); got < 50*time.Millisecond || got > 70*time.Millisecond {
		t.Errorf("got %v after stages that took 60 ms once dispatched, want about that; configured are %v", got, configured)
	}
	if got := q.inputFetchTime(0); got <= batcher.InputFetchTime {
		t.Errorf("inputs count as fetched after %v, want more than %v where calls take longer than configured", got, batcher.InputFetchTime)
	}
}
