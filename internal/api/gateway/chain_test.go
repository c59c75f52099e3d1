package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// ledger records commitments by stage, in the order in which they begin and end.
type ledger struct {
	mu     sync.Mutex
	events []string
	open   int
	begun  int
}

// entry is a commitment in a ledger.
type entry struct {
	ledger *ledger
	name   string
}

func (l *ledger) commit(job batcher.Job) Commitment {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.begun++
	e := entry{ledger: l, name: fmt.Sprintf("%d", job.Pieces)}
	l.events = append(l.events, "+"+e.name)
	return e
}

func (e entry) end(sign string) {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	e.ledger.open--
	e.ledger.events = append(e.ledger.events, sign+e.name)
}

func (e entry) Sent()     { e.end(">") }
func (e entry) Withdraw() { e.end("-") }

func (l *ledger) log() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.events, " ")
}

// reserve lets the gateway reserve capacity of later stages, with backlogs by service.
func (f *fixture) reserve(backlogs map[string]time.Duration) *ledger {
	l := &ledger{}
	f.cfg.Commit = l.commit
	f.cfg.QueueWait = func(service, _, _ string, _ site.Rank) (time.Duration, time.Duration) {
		return backlogs[service], backlogs[service]
	}
	return l
}

// chainDocument returns a document with two stages in a row, each of another service.
func chainDocument() *site.Document {
	d := document(site.Stage{Service: "p"}, site.Stage{Service: "later", DependsOn: []int{0}})
	batching := *d.Services[1].Batching
	batching.ResultTTL = 4 * time.Second
	d.Services[1].Batching = &batching
	d.Services = append(d.Services, site.Service{Name: "later", Batching: &batching})
	return d
}

// Guards against commitments that begin late, or that stay once their jobs are sent: the
// owner counts the pieces twice then.
func TestCommitmentsLastFromAdmissionToJob(t *testing.T) {
	f := newFixture(t, chainDocument(), newUpstream(t, writeEvents(1)).URL)
	l := f.reserve(nil)
	f.runStage = func(job batcher.Job) batcher.Result {
		l.mu.Lock()
		l.events = append(l.events, fmt.Sprint("run ", job.Pieces))
		l.mu.Unlock()
		return succeed(job)
	}
	if resp, _, err := f.call(t, "/staged/x", "Pieces", "2,3"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %v, want success", resp, err)
	}
	if got, want := l.log(), "+2 +3 >2 run 2 >3 run 3"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against commitments of requests that have ended: they would hold back others for
// good.
func TestCommitmentsEndWithTheirRequest(t *testing.T) {
	tests := []struct {
		name string
		run  func(job batcher.Job) batcher.Result
		want string
	}{
		{"refused in the first stage", func(batcher.Job) batcher.Result { return batcher.Refused{} }, "+2 +3 >2 -3"},
		{"failed", func(batcher.Job) batcher.Result { return batcher.Failed{Err: errors.New("broken")} }, "+2 +3 >2 -3"},
		{"panic", func(batcher.Job) batcher.Result { panic("planted") }, "+2 +3 >2 -3"},
	}
	for _, tt := range tests {
		f := newFixture(t, chainDocument(), newUpstream(t, ok).URL)
		l := f.reserve(nil)
		f.runStage = tt.run
		if _, _, err := f.call(t, "/staged/x", "Pieces", "2,3"); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		if got := l.log(); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// Guards against work for a caller that has left: what it reserved must be free within half
// a second.
func TestAbandonedRequestWithdrawsAtOnce(t *testing.T) {
	f := newFixture(t, chainDocument(), newUpstream(t, ok).URL)
	l := f.reserve(nil)
	running, block := make(chan struct{}), make(chan struct{})
	defer close(block)
	f.runStage = func(batcher.Job) batcher.Result {
		close(running)
		<-block
		return batcher.Failed{Err: context.Canceled}
	}
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/staged/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = "a.example", http.Header{"Id": {"r1"}, "Key": {"k"}, "Pieces": {"2,3"}}
	go http.DefaultTransport.RoundTrip(r)
	<-running
	leave()
	start := time.Now()
	for !strings.HasSuffix(l.log(), "-3") {
		if time.Since(start) > 500*time.Millisecond {
			t.Fatalf("after %v: %s, want the second stage withdrawn", time.Since(start), l.log())
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against stages that run again without a reservation, and against a second one for
// stages that were not sent yet.
func TestRerunStagesCommitAgain(t *testing.T) {
	f := newFixture(t, chainDocument(), newUpstream(t, writeEvents(1)).URL)
	l := f.reserve(nil)
	var later atomic.Int64
	f.runStage = func(job batcher.Job) batcher.Result {
		if job.Stage == 1 && later.Add(1) == 1 {
			return batcher.Failed{InputsGone: true, Err: errors.New("gone")}
		}
		return succeed(job)
	}
	if resp, _, err := f.call(t, "/staged/x", "Pieces", "2,3"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %v, want success", resp, err)
	}
	if got, want := l.log(), "+2 +3 >2 >3 +2 +3 >2 >3"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against chains that start although the later queue is too long, and against a
// Retry-After that does not say how long it takes.
func TestChainIsHeldForLaterStage(t *testing.T) {
	f := newFixture(t, chainDocument(), newUpstream(t, ok).URL)
	l := f.reserve(map[string]time.Duration{"later": 5 * time.Second})
	f.runStage = succeed
	start := time.Now()
	resp, _, err := f.call(t, "/staged/x", "Pieces", "2,3")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	if after, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s"); err != nil || after < 4*time.Second || after > 5*time.Second {
		t.Errorf("Retry-After %q, want the nearly 5 s until the later queue is worked off", resp.Header.Get("Retry-After"))
	}
	if got := l.log(); got != "" || len(f.jobs) > 0 {
		t.Errorf("commitments %q and %d jobs of a refused request, want none", got, len(f.jobs))
	}
}

// Guards against requests that are held although the later queue is worked off while the
// first stage runs, as the sum of the waits would.
func TestChainStartsBeforeLaterQueueIsEmpty(t *testing.T) {
	d := chainDocument()
	i := slices.IndexFunc(d.Services, func(s site.Service) bool { return s.Name == "p" })
	first := *d.Services[i].Batching
	first.CallOverhead = 600 * time.Millisecond
	d.Services[i].Batching = &first
	for reserve, want := range map[bool]int{false: http.StatusServiceUnavailable, true: http.StatusOK} {
		f := newFixture(t, d, newUpstream(t, writeEvents(1)).URL)
		l := f.reserve(map[string]time.Duration{"later": 700 * time.Millisecond})
		if !reserve {
			f.cfg.Commit = nil
		}
		f.runStage = succeed
		resp, _, err := f.call(t, "/staged/x", "Pieces", "2,3", "Left-Ms", "1300")
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.StatusCode; got != want {
			t.Errorf("reserve %t: status %d, want %d", reserve, got, want)
		}
		if got := l.begun > 0; got != reserve {
			t.Errorf("reserve %t: commitments began: %t", reserve, got)
		}
	}
}
