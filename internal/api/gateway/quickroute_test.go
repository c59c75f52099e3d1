package gateway

import (
	"net/http"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// quickDocument returns a document whose routes have the given timeout and objective.
func quickDocument(timeout, objective time.Duration, stages ...site.Stage) *site.Document {
	d := document(stages...)
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].Objective = timeout, objective
	}
	return d
}

// A time that is only assumed must not refuse the requests of a route with a short timeout: none
// would ever be sent, and nothing be learned of the time that they take.
func TestRouteWithShortTimeoutIsServed(t *testing.T) {
	const timeout, stageTime = 120 * time.Millisecond, 80 * time.Millisecond
	for _, objective := range []time.Duration{0, timeout / 2, timeout, time.Second} {
		for path, answer := range map[string]http.HandlerFunc{"/safe/x": ok, "/once/x": ok, "/stream/x": writeEvents(2), "/staged/x": writeEvents(2)} {
			u := newUpstream(t, answer)
			d := quickDocument(timeout, objective, site.Stage{Service: "p"})
			d.Services[1].Batching.CallOverhead = stageTime
			f := newFixture(t, d, u.URL)
			f.runStage = succeed
			for range 5 {
				resp, _, err := f.call(t, path, "Pieces", "1")
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%s with an objective of %v: got status %d (%v), want 200", path, objective, statusOf(resp), err)
				}
			}
		}
	}
}

// Answers that took nearly the whole timeout of their route must not refuse all later requests: only
// an answer shows that the time has become shorter.
func TestRouteIsServedAfterSlowAnswers(t *testing.T) {
	const timeout = 200 * time.Millisecond
	u := newUpstream(t, ok)
	f := newFixture(t, quickDocument(timeout, timeout), u.URL)
	f.responseTimes.record("safe", elapsed{total: timeout})
	if resp, _, err := f.call(t, "/safe/x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d (%v), want 200", statusOf(resp), err)
	}
}

// Whether a request has the time for its answer is judged by how long answers have taken, not by
// what is assumed before the first one.
func TestTimeForAnswerIsThatMeasured(t *testing.T) {
	for took, want := range map[time.Duration]int{5 * time.Millisecond: http.StatusOK, 140 * time.Millisecond: http.StatusServiceUnavailable} {
		u := newUpstream(t, ok)
		f := newFixture(t, quickDocument(2*time.Second, 150*time.Millisecond), u.URL)
		f.responseTimes.record("safe", elapsed{total: took})
		if resp, _, err := f.call(t, "/safe/x", "Left-Ms", "100"); err != nil || resp.StatusCode != want {
			t.Errorf("answers took %v, 100 ms are left: got status %d (%v), want %d", took, statusOf(resp), err, want)
		}
	}
}
