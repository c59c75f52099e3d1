package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

// newHeedingFixture starts a gateway that heeds the headers Wait and Leave of answers. The
// upstreams have the IDs u0, u1 and so on.
func newHeedingFixture(t *testing.T, upstreams ...string) (*fixture, *backoff.Table) {
	f := newFixture(t, document(), upstreams...)
	epoch := time.Now()
	now := func() time.Duration { return time.Hour + time.Since(epoch) }
	table := backoff.NewTable(backoff.Config{Random: func() float64 { return 0 }})
	pool := transport.NewPool(transport.Config{
		Classify: func(status int, h http.Header) transport.Reply {
			r := classify(status, h)
			r.Signal.Leaving = h.Get("Leave") != ""
			r.Signal.RetryAfter, _ = time.ParseDuration(h.Get("Wait"))
			return r
		},
		Admit: func(to transport.Target, _ transport.Request) error {
			return table.Admit(now(), backoff.Start{ID: to.ID})
		},
		OnSignal: func(to transport.Target, s backoff.Signal) { table.Observe(now(), backoff.Start{ID: to.ID}, s) },
		Log:      zap.NewNop(),
	})
	t.Cleanup(func() { pool.Close() })
	f.cfg.Send = pool.Send
	f.cfg.Rules = eligible.Rules{eligible.Backoff{Table: table, Now: now}}
	f.cfg.Balancer = balance.New(balance.Config{Random: func(int) int { return 0 }})
	f.cfg.AskedToWait = func(string) bool { return !table.Empty() }
	return f, table
}

// wants answers that an upstream wants no requests for a while, and has not run this one if
// notRun is set.
func wants(wait string, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if notRun {
			w.Header().Set("Not-Run", "1")
		}
		w.Header().Set("Wait", wait)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// once answers the first request with first, and the others with ok.
func once(first http.HandlerFunc) http.HandlerFunc {
	served := make(chan bool, 1)
	served <- true
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-served:
			first(w, r)
		default:
			ok(w, r)
		}
	}
}

// Guards against back-pressure that counts as a failure: requests go to another upstream
// although the retry budget is used up, and none goes to the one that wants none.
func TestBackPressureCostsNoRetryBudget(t *testing.T) {
	for _, notRun := range []bool{true, false} {
		t.Run(fmt.Sprint("not run ", notRun), func(t *testing.T) {
			first, second := newUpstream(t, wants("10s", notRun)), newUpstream(t, ok)
			f, _ := newHeedingFixture(t, first.URL, second.URL)
			for f.budget("s").TryWithdraw() {
			}
			for i := range 3 {
				if resp, body, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d: got %v %q %v, want 200", i, resp, body, err)
				}
			}
			if got, want := first.runs.Load(), int64(1); got != want {
				t.Errorf("the upstream that wants no requests got %d, want %d", got, want)
			}
		})
	}
}

// Guards against extra sends without bound where an upstream asks for a time so short that
// each request could come back.
func TestShortBackPressureTakesFromRetryBudget(t *testing.T) {
	first, second := newUpstream(t, wants("1ms", true)), newUpstream(t, ok)
	f, _ := newHeedingFixture(t, first.URL, second.URL)
	for f.budget("s").TryWithdraw() {
	}
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v %v, want 503", resp, err)
	}
}

// Guards against a request that is refused although its only upstream can serve it in time,
// and against one that is sent to it too early.
func TestRequestWaitsForClosedUpstream(t *testing.T) {
	u := newUpstream(t, once(wants("600ms", true)))
	f, _ := newHeedingFixture(t, u.URL)
	start := time.Now()
	resp, body, err := f.call(t, "/unsafe/x")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %q %v, want 200", resp, body, err)
	}
	if took := time.Since(start); took < 600*time.Millisecond {
		t.Errorf("answered after %v, want 600 ms at least", took)
	}
	if got, want := u.runs.Load(), int64(2); got != want {
		t.Errorf("the upstream got %d requests, want %d", got, want)
	}
}

// Guards against a request that waits for its upstream until too little time is left for the
// response: it is sent, may run, and its caller gets a 504.
func TestRequestIsNotSentTooLateForItsResponse(t *testing.T) {
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		ok(w, r)
	})
	f, table := newHeedingFixture(t, u.URL)
	epoch := time.Now()
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %v, want 200", resp, err)
	}
	// The deadline of the fixture's requests is 2 s.
	table.Observe(time.Hour+time.Since(epoch), backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: 1900 * time.Millisecond})
	start := time.Now()
	resp, body, err := f.call(t, "/safe/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v %q %v, want 503", resp, body, err)
	}
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	if got, want := u.runs.Load(), int64(1); got != want {
		t.Errorf("the upstream got %d requests, want %d", got, want)
	}
}

// Guards against waits that count as part of the time of a response: after requests that have
// waited for their upstream, others are refused although they could be answered in time.
func TestWaitsAreNoPartOfResponseTimes(t *testing.T) {
	u := newUpstream(t, ok)
	f, table := newHeedingFixture(t, u.URL)
	epoch := time.Now()
	for i := range 3 {
		table.Observe(time.Hour+time.Since(epoch), backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: 1200 * time.Millisecond})
		if resp, body, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got %v %q %v, want 200", i, resp, body, err)
		}
	}
}

// Guards against a hopeless request that is held back, and against a Retry-After that is not
// the shortest remaining time.
func TestRequestIsRefusedAtOnceIfAllAreClosedForLonger(t *testing.T) {
	u, v := newUpstream(t, ok), newUpstream(t, ok)
	f, table := newHeedingFixture(t, u.URL, v.URL)
	table.Observe(time.Hour, backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: 5 * time.Second})
	table.Observe(time.Hour, backoff.Start{ID: "u1"}, backoff.Signal{RetryAfter: 4 * time.Second})
	start := time.Now()
	resp, body, err := f.call(t, "/safe/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(start) > 500*time.Millisecond {
		t.Fatalf("got %v %q %v after %v, want 503 at once", resp, body, err, time.Since(start))
	}
	if got, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || got < 3.5 || got > 4 {
		t.Errorf("Retry-After %q, want a little less than 4", resp.Header.Get("Retry-After"))
	}
	table.Observe(time.Hour, backoff.Start{ID: "u0"}, backoff.Signal{Leaving: true})
	table.Observe(time.Hour, backoff.Start{ID: "u1"}, backoff.Signal{Leaving: true})
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("all leave: got %v %v, want 503", resp, err)
	}
	if got := u.runs.Load() + v.runs.Load(); got != 0 {
		t.Errorf("the upstreams got %d requests, want none", got)
	}
}

// Guards against stages that are run for a request that no upstream can serve.
func TestNoStageRunsIfAllUpstreamsLeave(t *testing.T) {
	f := newFixture(t, document(testStages()...))
	f.runStage = succeed
	f.cfg.AllLeave = func(service string) bool { return service == "s" }
	if resp, _, err := f.call(t, "/staged/x", "Pieces", "1,1,1"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v %v, want 503", resp, err)
	}
	if got := len(f.jobs); got != 0 {
		t.Errorf("%d stages were started, want none", got)
	}
}

// Guards against waiting requests that fill the memory of the process.
func TestWaitingRequestsAreLimitedByMemory(t *testing.T) {
	u := newUpstream(t, ok)
	f, table := newHeedingFixture(t, u.URL)
	f.memory = membudget.New(waitingBytes + 100)
	table.Observe(time.Hour, backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: time.Second})
	statuses := make(chan int, 2)
	for i := range 2 {
		go func() {
			resp, _, err := f.call(t, "/safe/x", "Id", fmt.Sprint("r", i))
			if err != nil {
				t.Error(err)
			}
			statuses <- resp.StatusCode
		}()
	}
	if got, want := fmt.Sprint(<-statuses, <-statuses), "503 200"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := f.memory.Used(); got != 0 {
		t.Errorf("%d bytes are held afterwards, want none", got)
	}
}

// Guards against a waiting request that outlives its caller or a planned stop.
func TestWaitEndsWithCallerAndStop(t *testing.T) {
	u := newUpstream(t, ok)
	f, table := newHeedingFixture(t, u.URL)
	table.Observe(time.Hour, backoff.Start{ID: "u0"}, backoff.Signal{RetryAfter: 1500 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/safe/x", strings.NewReader("body"))
	r.Host, r.Header = "a.example", http.Header{"Id": {"r2"}, "Key": {"k"}}
	if _, err := http.DefaultTransport.RoundTrip(r); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v, want the end of the caller's time", err)
	}
	eventually(t, "the end of the request", func() bool { return f.InFlight() == 0 })
	time.AfterFunc(100*time.Millisecond, f.RejectUnsent)
	start := time.Now()
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(start) > time.Second {
		t.Errorf("got %v %v after %v, want 503 at the stop", resp, err, time.Since(start))
	}
	if got := u.runs.Load(); got != 0 {
		t.Errorf("the upstream got %d requests, want none", got)
	}
}

// Guards against an upstream that is avoided after its time without requests because that
// counted as a failure.
func TestBackPressureIsNoFailure(t *testing.T) {
	u := newUpstream(t, wants("700ms", false))
	f, _ := newHeedingFixture(t, u.URL)
	draws := 0
	f.cfg.Balancer = balance.New(balance.Config{Random: func(n int) int {
		draws++
		return draws % n
	}})
	if resp, _, err := f.call(t, "/unsafe/x"); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("got %v %v, want 502 for the upstream's 503", resp, err)
	}
	chosen := make(map[string]int)
	for range 10 {
		u, _ := f.cfg.Balancer.Pick(time.Now(), balance.PickInfo{}, []catalog.Upstream{{ID: "u0", Slots: 4}, {ID: "other", Slots: 4}})
		chosen[u.ID]++
		draws++
		f.cfg.Balancer.Done(time.Now(), u.ID, balance.DoneInfo{})
	}
	if got, want := chosen["u0"], 3; got < want {
		t.Errorf("chosen %d times of 10 afterwards, want %d at least", got, want)
	}
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}
