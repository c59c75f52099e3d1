package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
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
		t.Error("the connection is kept while draining")
	}
}

// A process that stops answers every request that it has read: those that no
// upstream has are refused, those without an answer fail.
func TestStopAnswersAll(t *testing.T) {
	arrived := make(chan struct{}, 1)
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	f := newFixture(t, document(chain()...), u.URL)
	block := make(chan struct{})
	f.stages = func(batcher.Order) batcher.Result {
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
	f.StopWaiting()
	close(block)
	if got, want := <-statuses, "503"; got != want {
		t.Errorf("in a stage: got %s, want %s", got, want)
	}
	go call("/once/x")
	<-arrived
	f.StopSent()
	if got, want := <-statuses, "504"; got != want {
		t.Errorf("at an upstream: got %s, want %s", got, want)
	}
}

// A request that would be held back is refused at once by a process that
// drains: another one can take it.
func TestDrainHoldsNothingBack(t *testing.T) {
	f := newFixture(t, document(chain()...), newUpstream(t, ok).URL)
	f.cfg.Wait = func(string, site.Rank) (time.Duration, time.Duration) {
		return 900 * time.Millisecond, 900 * time.Millisecond
	}
	f.stages = made
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

// A process that stops takes no stream that would be cut at its end: another
// one can serve it whole. What ends in time is still served.
func TestStoppingProcessTakesNoLongStream(t *testing.T) {
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
	if got, want := status("/stream/x"), http.StatusOK; got != want {
		t.Fatalf("before the stop: status %d, want %d", got, want)
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
	if got, want := u.runs.Load(), int64(3); got != want {
		t.Errorf("%d runs, want %d", got, want)
	}
}
