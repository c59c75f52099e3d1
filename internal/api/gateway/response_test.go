package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// goneWriter is a response whose caller has closed its connection.
type goneWriter struct{ http.ResponseWriter }

func (goneWriter) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// A caller that leaves before a long answer is forwarded must not keep the connection
// to the upstream, on which the rest of the answer is still to come.
func TestLongAnswerIsDroppedWhenCallerIsGone(t *testing.T) {
	sent := make(chan error, 1)
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		block := strings.Repeat("x", maxBufferedBytes)
		for {
			if _, err := w.Write([]byte(block)); err != nil {
				sent <- err
				return
			}
		}
	})
	f := newFixture(t, document(), u.URL)
	r := httptest.NewRequest(http.MethodPost, "/once/x", strings.NewReader("body"))
	r.Host = "a.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "k")
	func() {
		// The answer is cut by a panic that net/http takes as an order to close.
		defer func() {
			if got, want := recover(), http.ErrAbortHandler; got != want {
				t.Errorf("the handler ended with %v, want %v", got, want)
			}
		}()
		f.ServeHTTP(goneWriter{httptest.NewRecorder()}, r)
	}()
	select {
	case <-sent:
	case <-time.After(time.Second):
		t.Error("the connection to the upstream is still open")
	}
	if open, _ := f.pool.Counts(); open != 0 {
		t.Errorf("%d connections count as open, want 0", open)
	}
}

// A status that promises callers that their request has not run must not be passed on from an
// upstream that may have run it: they send it again, and it runs twice. Other failures are passed
// on, and so are all to callers whose request may run again.
func TestPromiseOfUpstreamThatRanRequest(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	others := []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusConflict}
	once, repeatable := []string{"/once/x", "/unsafe/x", "/stream/x"}, []string{"/safe/x", "/resume/x"}
	for _, tt := range []struct {
		statuses []int
		wait     string
		paths    []string
		passed   bool
	}{
		{promises, "", once, false},
		{promises, "1s", once, false},
		{others, "", once, true},
		{promises, "", repeatable, true},
		{others, "", repeatable, true},
	} {
		for _, status := range tt.statuses {
			for _, path := range tt.paths {
				u := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Seal", "s")
					w.Header().Set("Wait", tt.wait)
					w.WriteHeader(status)
				})
				f, _ := newHeedingFixture(t, u.URL)
				for f.budget("s").TryWithdraw() {
				}
				resp, _, err := f.call(t, path)
				if err != nil {
					t.Fatalf("%s: %v", path, err)
				}
				want, seal := status, "s"
				if !tt.passed {
					want, seal = http.StatusBadGateway, ""
				}
				if resp.StatusCode != want || resp.Header.Get("Seal") != seal {
					t.Errorf("%s, answered %d by the upstream: got %d with the seal %q, want %d with %q", path, status, resp.StatusCode, resp.Header.Get("Seal"), want, seal)
				}
				if got, want := u.runs.Load(), int64(1); got != want {
					t.Errorf("%s, answered %d by the upstream: sent %d times, want %d", path, status, got, want)
				}
			}
		}
	}
}
