package gateway

import (
	"net/http"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// newUnconfiguredFixture starts a gateway that has no site document yet.
func newUnconfiguredFixture(t *testing.T, upstreams ...string) *fixture {
	t.Helper()
	f := newFixture(t, document(), upstreams...)
	f.index.Store(nil)
	f.configured = make(chan struct{})
	return f
}

// A process that has just started learns the configuration within a moment. A request
// that comes before is served then, not refused.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	f := newUnconfiguredFixture(t, newUpstream(t, ok).URL)
	time.AfterFunc(configurationWait/4, func() { f.Configure(site.NewIndex(document())) })
	resp, _, err := f.call(t, "/safe/x")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusOK; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}

// Without a configuration a request is refused soon, and has not run.
func TestRequestIsRefusedWithoutConfiguration(t *testing.T) {
	u := newUpstream(t, ok)
	f := newUnconfiguredFixture(t, u.URL)
	start := time.Now()
	resp, _, err := f.call(t, "/safe/x")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if elapsed := time.Since(start); elapsed > 2*configurationWait {
		t.Errorf("refused after %v, want within %v", elapsed, configurationWait)
	}
	if got := u.runs.Load(); got != 0 {
		t.Errorf("%d runs, want 0", got)
	}
}

// A panic in the work on a stage fails its request alone.
func TestPanicInStageFailsItsRequest(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(testStages()...), u.URL)
	f.runStage = func(batcher.Job) batcher.Result { panic("planted") }
	resp, _, err := f.call(t, "/staged/x", "Pieces", "1,0,0")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if got := u.runs.Load(); got != 0 {
		t.Errorf("%d runs, want 0", got)
	}
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("the next request failed: %v %v", resp, err)
	}
}
