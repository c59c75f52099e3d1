package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

func TestDrainClosesConnections(t *testing.T) {
	f := newFixture(t, document(), newUpstream(t, ok).URL)
	f.Drain(time.Now().Add(10 * time.Second))
	resp, _, err := f.call(t, "/safe/x")
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	if !resp.Close {
		t.Error("connection kept alive while draining")
	}
}

// A process that shuts down answers every request that it has read: with 503 if
// the request has not been sent to an upstream, with 504 if the upstream has not
// answered.
func TestShutdownAnswersEveryRequest(t *testing.T) {
	arrived := make(chan struct{}, 1)
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	f := newFixture(t, document(testStages()...), u.URL)
	block := make(chan struct{})
	f.runStage = func(batcher.Job) batcher.Result {
		arrived <- struct{}{}
		<-block
		return batcher.Failed{Err: context.Canceled}
	}
	statuses := make(chan string, 2)
	call := func(path string, headers ...string) {
		resp, _, err := f.call(t, path, headers...)
		if err != nil {
			statuses <- err.Error()
			return
		}
		statuses <- fmt.Sprint(resp.StatusCode)
	}
	go call("/staged/x", "Pieces", "1,0,0")
	<-arrived
	f.Drain(time.Now().Add(10 * time.Second))
	f.RejectUnsent()
	close(block)
	if got, want := <-statuses, "503"; got != want {
		t.Errorf("in a stage: got %s, want %s", got, want)
	}
	go call("/once/x")
	<-arrived
	f.CancelSent()
	if got, want := <-statuses, "504"; got != want {
		t.Errorf("at an upstream: got %s, want %s", got, want)
	}
}

// A request that is held back is rejected as soon as the process drains, because
// another entry can serve it.
func TestDrainRejectsHeldRequests(t *testing.T) {
	f := newFixture(t, document(testStages()...), newUpstream(t, ok).URL)
	f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) {
		return 900 * time.Millisecond, 900 * time.Millisecond
	}
	f.runStage = succeed
	done := make(chan int, 1)
	go func() {
		resp, _, err := f.call(t, "/staged/x", "Pieces", "1,1,1")
		if err != nil {
			done <- 0
			return
		}
		done <- resp.StatusCode
	}()
	time.Sleep(100 * time.Millisecond)
	f.Drain(time.Now().Add(10 * time.Second))
	select {
	case got := <-done:
		if want := http.StatusServiceUnavailable; got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	case <-time.After(time.Second):
		t.Error("still held back a second after the drain")
	}
}

// A process that shuts down rejects streams that would be interrupted when it
// stops, because another entry can serve them to the end. Requests that end in
// time are still served.
func TestDrainRejectsLongStreams(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		writeEvents(2)(w, r)
	})
	f := newFixture(t, document(), u.URL)
	status := func(path string) int {
		resp, _, err := f.call(t, path)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		return resp.StatusCode
	}
	for _, path := range []string{"/stream/x", "/once/x"} {
		if got, want := status(path), http.StatusOK; got != want {
			t.Fatalf("%s before the drain: status %d, want %d", path, got, want)
		}
	}
	f.Drain(time.Now().Add(5 * time.Second))
	if got, want := status("/stream/x"), http.StatusOK; got != want {
		t.Errorf("with time left: status %d, want %d", got, want)
	}
	f.stopAt.Store(time.Now().Add(150 * time.Millisecond))
	if got, want := status("/stream/x"), http.StatusServiceUnavailable; got != want {
		t.Errorf("shortly before the end: status %d, want %d", got, want)
	}
	if got, want := status("/once/x"), http.StatusOK; got != want {
		t.Errorf("a short request: status %d, want %d", got, want)
	}
	if got, want := u.runs.Load(), int64(4); got != want {
		t.Errorf("%d runs, want %d", got, want)
	}
}

// A process that shuts down must not pass on a request of any kind that will probably not
// end before the process does: it would be cut, and what may not be repeated with it.
// Nothing is known of a route without samples but the deadline of its requests.
func TestDrainPassesOnRequestsThatWillBeCut(t *testing.T) {
	const takes, left = 400 * time.Millisecond, 300 * time.Millisecond
	for _, tt := range []struct {
		name, path string
		samples    int
		headers    []string
		want       int
	}{
		{name: "unsafe", path: "/unsafe/x", samples: 1, want: http.StatusServiceUnavailable},
		{name: "safe", path: "/safe/x", samples: 1, want: http.StatusServiceUnavailable},
		{name: "unsafe, never seen", path: "/unsafe/x", want: http.StatusServiceUnavailable},
		{name: "stream, never seen", path: "/stream/x", want: http.StatusServiceUnavailable},
		{name: "never seen, with a deadline before the end", path: "/unsafe/x", headers: []string{"Left-Ms", "200"}, want: http.StatusGatewayTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(takes)
				writeEvents(2)(w, r)
			})
			d := document()
			for i := range d.Routes {
				d.Routes[i].Objective = left / 4
			}
			f := newFixture(t, d, u.URL)
			for range tt.samples {
				if resp, _, err := f.call(t, tt.path); err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("before the drain: got %v, %v", resp, err)
				}
			}
			f.Drain(time.Now().Add(left))
			resp, _, err := f.call(t, tt.path, tt.headers...)
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.StatusCode; got != tt.want {
				t.Errorf("status %d, want %d", got, tt.want)
			}
			wantRuns := int64(tt.samples)
			if tt.want != http.StatusServiceUnavailable {
				wantRuns++
			}
			if got := u.runs.Load(); got != wantRuns {
				t.Errorf("%d runs, want %d", got, wantRuns)
			}
		})
	}
}

// A stream that ends in time on most upstreams and not on a slow one is rejected too:
// nobody knows beforehand which upstream will be slow.
func TestDrainRejectsStreamsThatSlowUpstreamsWouldNotFinish(t *testing.T) {
	const fast, slow = 10 * time.Millisecond, 400 * time.Millisecond
	runs := 0
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		runs++
		if runs%10 == 1 {
			time.Sleep(slow)
		}
		time.Sleep(fast)
		writeEvents(2)(w, r)
	})
	f := newFixture(t, document(), u.URL)
	for range 30 {
		if _, _, err := f.call(t, "/stream/x"); err != nil {
			t.Fatal(err)
		}
	}
	f.Drain(time.Now().Add(10 * time.Second))
	f.stopAt.Store(time.Now().Add(slow - fast))
	resp, _, err := f.call(t, "/stream/x")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d with less time left than a slow upstream takes, want %d", got, want)
	}
}

// Guards against a long stream that is accepted during a stop because the streams of its route
// were short so far: it is cut at the end of the grace period.
func TestDrainRejectsStreamsOfMoreTokens(t *testing.T) {
	const perToken = 10 * time.Millisecond
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		tokens, _ := strconv.Atoi(r.Header.Get("Tokens"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range tokens {
			fmt.Fprintf(w, "id: %d\ndata: piece\n\n", i+1)
			w.(http.Flusher).Flush()
			time.Sleep(perToken)
		}
	})
	f := newFixture(t, document(), u.URL)
	status := func(tokens string) int {
		resp, _, err := f.call(t, "/stream/x", "Tokens", tokens)
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	for range 10 {
		status("4")
	}
	f.Drain(time.Now().Add(10 * time.Second))
	f.stopAt.Store(time.Now().Add(40 * perToken))
	if got, want := status("80"), http.StatusServiceUnavailable; got != want {
		t.Errorf("stream that takes twice the time that is left: status %d, want %d", got, want)
	}
	if got, want := status("4"), http.StatusOK; got != want {
		t.Errorf("stream that ends in time: status %d, want %d", got, want)
	}
}

// A request whose stages have taken so long that its stream would be cut is rejected
// before it is sent, while that is still true.
func TestDrainRejectsStreamsAfterSlowStages(t *testing.T) {
	const stage, generation = 200 * time.Millisecond, 150 * time.Millisecond
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(generation)
		writeEvents(2)(w, r)
	})
	f := newFixture(t, document(testStages()...), u.URL)
	f.runStage = succeed
	status := func() int {
		resp, _, err := f.call(t, "/staged/x", "Pieces", "1,0,0")
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	if got, want := status(), http.StatusOK; got != want {
		t.Fatalf("before the drain: status %d, want %d", got, want)
	}
	f.runStage = func(job batcher.Job) batcher.Result {
		time.Sleep(stage)
		return succeed(job)
	}
	f.Drain(time.Now().Add(10 * time.Second))
	f.stopAt.Store(time.Now().Add(stage + generation))
	if got, want := status(), http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d after slow stages, want %d", got, want)
	}
	if got, want := u.runs.Load(), int64(1); got != want {
		t.Errorf("%d runs, want %d", got, want)
	}
}
