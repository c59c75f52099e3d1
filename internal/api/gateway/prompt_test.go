package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// prompts is a gateway with breakers. It keeps what the gateway reports.
type prompts struct {
	*fixture
	guard   *breaker.Guard
	mu      sync.Mutex
	reports []*fleetpb.NewsSeen
}

// newPrompts starts a gateway whose upstreams have ended or not when a response breaks
// off.
func newPrompts(t *testing.T, d *site.Document, ended bool, upstreams ...string) *prompts {
	t.Helper()
	p := &prompts{fixture: newFixture(t, d, upstreams...)}
	p.guard = breaker.NewGuard(breaker.GuardConfig{
		Report: func(seen *fleetpb.NewsSeen) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.reports = append(p.reports, seen)
		},
		Rank: func(string) int { return 0 },
		Log:  zap.NewNop(),
	})
	p.cfg.Breakers = p.guard
	p.cfg.UpstreamEnded = func(context.Context, catalog.Upstream) bool { return ended }
	return p
}

// tell applies a News with the state of a segment's breaker.
func (p *prompts) tell(segment string, state fleetpb.BreakerState) {
	p.guard.Apply(&fleetpb.News{Incarnation: 1, Breakers: []*fleetpb.Breaker{{Segment: segment, State: state, LeftMs: 60_000}}})
}

// reported returns the number of ends and of begun responses that were reported.
func (p *prompts) reported() (ends, begun int) {
	p.guard.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, seen := range p.reports {
		ends += len(seen.GetEnds())
		begun += len(seen.GetBegun())
	}
	return ends, begun
}

func TestRequestWithBlockedPromptIsNotSent(t *testing.T) {
	u := newUpstream(t, writeEvents(3))
	p := newPrompts(t, document(testStages()...), false, u.URL)
	p.runStage = succeed
	p.tell("bad", fleetpb.BreakerState_BREAKER_STATE_OPEN)
	for _, path := range []string{"/resume/x", "/stream/x", "/staged/x"} {
		resp, _, err := p.call(t, path, "Prompt", "route,bad,own", "Pieces", "1,1,1")
		if err != nil {
			t.Fatal(err)
		}
		if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
		if got, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); got < 50 {
			t.Errorf("%s: Retry-After %v s, want the term of the breaker", path, got)
		}
	}
	if got := u.runs.Load(); got != 0 || len(p.jobs) != 0 {
		t.Errorf("%d requests were sent and %d stages run, want none", got, len(p.jobs))
	}
	for _, prompt := range []string{"route,good,own", "route,bad"} {
		if resp, _, err := p.call(t, "/resume/x", "Prompt", prompt); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("prompt %s: got %v %v, want a response", prompt, resp, err)
		}
	}
}

func TestPromptThatIsBlockedMeanwhileIsNotSentAgain(t *testing.T) {
	var p *prompts
	first := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		p.tell("bad", fleetpb.BreakerState_BREAKER_STATE_OPEN)
		drop(w, r)
	})
	second := newUpstream(t, writeEvents(3))
	p = newPrompts(t, document(), true, first.URL, second.URL)
	resp, _, err := p.call(t, "/resume/x", "Prompt", "route,bad,own")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusBadGateway; got != want {
		t.Errorf("status %d of a request that may have run, want %d", got, want)
	}
	if got := second.runs.Load(); got != 0 {
		t.Errorf("sent again %d times, want 0", got)
	}
}

func TestRequestIsNotSentToThirdUpstreamAfterTwoEnded(t *testing.T) {
	for _, ended := range []bool{true, false} {
		first, second, third := newUpstream(t, drop), newUpstream(t, drop), newUpstream(t, writeEvents(3))
		d := document()
		for i := range d.Routes {
			d.Routes[i].MaxAttempts = 3
		}
		p := newPrompts(t, d, ended, first.URL, second.URL, third.URL)
		if _, _, err := p.call(t, "/resume/x", "Prompt", "route,topic,own"); err != nil {
			t.Fatal(err)
		}
		wantRuns, wantEnds := int64(1), 0
		if ended {
			wantRuns, wantEnds = 0, 2
		}
		if got := third.runs.Load(); got != wantRuns {
			t.Errorf("ended %t: sent %d times to the third upstream, want %d", ended, got, wantRuns)
		}
		if got, _ := p.reported(); got != wantEnds {
			t.Errorf("ended %t: %d ends reported, want %d", ended, got, wantEnds)
		}
	}
}

func TestResponsesThatBeginAreReported(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		writeEvents(1)(w, r)
		time.Sleep(2 * begunAfter)
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name   string
		handle http.HandlerFunc
		path   string
		begun  int
	}{
		{"complete stream", writeEvents(3), "/stream/x", 2},
		{"stream that breaks off soon", writeEvents(-3), "/stream/x", 0},
		{"stream that breaks off late", slow, "/stream/x", 2},
		{"response", ok, "/once/x", 2},
		{"failure", fail, "/once/x", 0},
		{"response without an event", drop, "/stream/x", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, tt.handle)
			p := newPrompts(t, document(), false, u.URL)
			p.tell("route", fleetpb.BreakerState_BREAKER_STATE_SUSPECTED)
			p.tell("topic", fleetpb.BreakerState_BREAKER_STATE_SUSPECTED)
			p.call(t, tt.path, "Prompt", "route,topic,own")
			if _, got := p.reported(); got != tt.begun {
				t.Errorf("%d segments were reported to have begun, want %d", got, tt.begun)
			}
		})
	}
}
