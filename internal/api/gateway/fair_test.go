package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// newFairFixture returns a gateway whose queues are too long for requests with 100 ms left.
// It records what accounts ask for.
func newFairFixture(t *testing.T, fair bool) (*fixture, func() []batcher.Job) {
	f := newFixture(t, document(testStages()...), newUpstream(t, writeEvents(2)).URL)
	f.runStage = succeed
	var mu sync.Mutex
	var asked []batcher.Job
	f.cfg.Fair = func() bool { return fair }
	f.cfg.Asked = func(job batcher.Job) {
		mu.Lock()
		defer mu.Unlock()
		asked = append(asked, job)
	}
	f.cfg.Standing = func(string, string, string) fairshare.Standing { return fairshare.Above }
	f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) {
		return 100 * time.Millisecond, 100 * time.Millisecond
	}
	return f, func() []batcher.Job {
		mu.Lock()
		defer mu.Unlock()
		return asked
	}
}

// refuse sends a request that is refused, and returns its Retry-After.
func (f *fixture) refuse(t *testing.T) time.Duration {
	t.Helper()
	resp, _, err := f.call(t, "/staged/x", "Pieces", "2,0,1", "Left-Ms", "100")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v and error %v, want status 503", resp, err)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After: %v", err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Guards against a refused request that does not count as asked for, and against refusals
// that do not say for which account and why.
func TestRefusalsCountForTheirAccount(t *testing.T) {
	f, asked := newFairFixture(t, true)
	retry := f.refuse(t)
	if retry < defaultRetryAfter || retry > 2*defaultRetryAfter {
		t.Errorf("Retry-After %v, want at least %v and at most twice that", retry, defaultRetryAfter)
	}
	jobs := asked()
	if len(jobs) != 2 || jobs[0].Pieces != 2 || jobs[1].Pieces != 1 || jobs[0].Account != "north" || jobs[0].Service != "p" {
		t.Errorf("asked for %+v, want 2 pieces and 1 piece of service p for north", jobs)
	}
	got := f.Refusals(8)
	if want := (Refusals{Account: "north", Cause: causeShare, Count: 1}); len(got) != 1 || got[0] != want {
		t.Errorf("refusals %+v, want %+v", got, want)
	}
}

// Guards against a setting that has an effect where it is off.
func TestNothingIsCountedWithoutSharing(t *testing.T) {
	f, asked := newFairFixture(t, false)
	f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) {
		return 2 * time.Second, 2 * time.Second
	}
	if got, want := f.refuse(t), 2*time.Second; got != want {
		t.Errorf("Retry-After %v, want %v", got, want)
	}
	if jobs, refusals := asked(), f.Refusals(8); len(jobs) != 0 || len(refusals) != 0 {
		t.Errorf("counted %+v and %+v, want nothing", jobs, refusals)
	}
}

// Guards against a caller that loses its place although it comes back when it was told to,
// and against one that gains a place by repeating at once.
func TestReturnOnTimeIsAdmittedBeforeNewcomers(t *testing.T) {
	f, _ := newFairFixture(t, true)
	retry := f.refuse(t)
	// Newcomers are held by their margin at this queue, as their objective is 1 s.
	f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) {
		return 390 * time.Millisecond, 390 * time.Millisecond
	}
	status := func() int {
		resp, _, err := f.call(t, "/staged/x", "Pieces", "1,1,0", "Left-Ms", "1500")
		if err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode
	}
	start := time.Now()
	if got, want := status(), http.StatusServiceUnavailable; got != want {
		t.Errorf("newcomer: status %d, want %d after it was held", got, want)
	}
	if retry > time.Since(start) {
		time.Sleep(retry - time.Since(start))
	}
	t.Logf("held for %v, Retry-After %v", time.Since(start), retry)
	if got, want := status(), http.StatusOK; got != want {
		t.Errorf("return on time: status %d, want %d", got, want)
	}
}
