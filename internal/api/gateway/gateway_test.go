package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// upstream is a test server that counts the requests it receives.
type upstream struct {
	*httptest.Server
	runs atomic.Int64
}

func newUpstream(t testing.TB, handle http.HandlerFunc) *upstream {
	u := &upstream{}
	u.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.runs.Add(1)
		w.Header().Set("Id", r.Header.Get("Id"))
		handle(w, r)
	}))
	t.Cleanup(u.Close)
	return u
}

// ok echoes the request.
func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Header.Get("Account"), body)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "broken", http.StatusInternalServerError)
}

// reject answers that the request was not run.
func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// drop reads the request and closes the connection.
func drop(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// writeEvents sends the events from the one after the header After up to n. A
// negative n closes the connection in the middle of event -n.
func writeEvents(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.Atoi(r.Header.Get("After"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= max(n, -n); i++ {
			if i == -n {
				fmt.Fprintf(w, "id: %d\nda", i)
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
	}
}

// fixture is a gateway on a test server. It records the jobs of stages and the
// released results; runStage returns the result of a job.
type fixture struct {
	*Server
	url      string
	pool     *transport.Pool
	mu       sync.Mutex
	jobs     []batcher.Job
	released []string
	runStage func(job batcher.Job) batcher.Result
	// body is that of the requests of call.
	body string
}

// document returns a site document with one route of each kind; stages are those
// of the route "staged".
func document(stages ...site.Stage) *site.Document {
	route := func(name, prefix string, kind site.Kind, attempts int, resumable bool) site.Route {
		return site.Route{Name: name, Host: "a.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: resumable, Timeout: 2 * time.Second, Objective: time.Second, Split: []site.WeightedService{{Service: "s", Weight: 1}}}
	}
	staged := route("staged", "/staged/", site.Streaming, 1, false)
	staged.Stages = stages
	quick := route("quick", "/quick/", site.Unsafe, 1, false)
	quick.Timeout = 200 * time.Millisecond
	open := route("open", "/open/", site.Safe, 1, false)
	open.AllowAnonymous = true
	return &site.Document{
		Version:  1,
		Services: []site.Service{{Name: "s"}, {Name: "p", Batching: &site.Batching{MaxBatch: 4, Slots: 1, CallOverhead: time.Millisecond, PieceTime: time.Millisecond}}},
		Routes: []site.Route{
			route("safe", "/safe/", site.Safe, 2, false), route("unsafe", "/unsafe/", site.Unsafe, 2, false), route("once", "/once/", site.Unsafe, 1, false),
			route("stream", "/stream/", site.Streaming, 2, false), route("resume", "/resume/", site.Streaming, 2, true), staged, quick, open,
		},
		Accounts: []site.Account{{Name: "north", Keys: []string{"k"}}},
		Limits:   site.Limits{BodyBytes: 100, HeaderBytes: 2000},
	}
}

// newFixture starts a gateway that tries the upstreams in the given order.
func newFixture(t testing.TB, d *site.Document, upstreams ...string) *fixture {
	t.Helper()
	if err := d.Validate(); err != nil {
		t.Fatalf("document: %v", err)
	}
	var list []catalog.Upstream
	for i, address := range upstreams {
		list = append(list, catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: strings.TrimPrefix(address, "http://"), Slots: 4, State: catalog.Ready, LastSeen: time.Now()})
	}
	pool := transport.NewPool(transport.Config{Classify: classify, Log: zap.NewNop()})
	f := &fixture{pool: pool, body: "body"}
	f.Server = NewServer(Config{
		Headers:   testCodec(),
		Send:      pool.Send,
		Upstreams: func(string) []catalog.Upstream { return list },
		RunStage: func(_ context.Context, job batcher.Job) batcher.Result {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.jobs = append(f.jobs, job)
			return f.runStage(job)
		},
		QueueWait:  func(string, string, string, site.Rank) (time.Duration, time.Duration) { return 0, 0 },
		ResultZone: func(string) string { return "z" },
		ReleaseResults: func(_ string, handles []string) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.released = append(f.released, handles...)
		},
		Balancer:   balance.New(balance.Config{Random: func(int) int { return 0 }}),
		EntryCount: func() int { return 1 },
		Retry:      RetryBudget{Ratio: 0.2, Burst: 20},
		Metrics:    tally.NoopScope,
		Log:        zap.NewNop(),
	})
	f.Configure(site.NewIndex(d))
	srv := httptest.NewServer(f.Server)
	f.url = srv.URL
	t.Cleanup(func() {
		srv.Close()
		pool.Close()
	})
	return f
}

// call sends a request and returns the response, its body, and the error with
// which reading the body ended.
func (f *fixture) call(t *testing.T, path string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, f.url+path, strings.NewReader(f.body))
	if err != nil {
		t.Fatalf("request: %v", err)
	}
	r.Host = "a.example"
	r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func TestTooManyPiecesAreRefused(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(testStages()...), u.URL)
	f.runStage = succeed
	resp, _, err := f.call(t, "/staged/x", "Pieces", "1,2000000000,0")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resp.StatusCode, http.StatusBadRequest; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if len(f.jobs) != 0 {
		t.Errorf("%d stages were started, want 0", len(f.jobs))
	}
}

func TestRetries(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	unreachable := "http://" + closed.Addr().String()
	closed.Close()
	tests := []struct {
		name   string
		path   string
		first  http.HandlerFunc
		status int
		runs   [2]int64
	}{
		{"response forwarded", "/once/x", ok, 200, [2]int64{1, 0}},
		{"safe request fails", "/safe/x", fail, 200, [2]int64{1, 1}},
		{"unsafe request fails", "/unsafe/x", fail, 500, [2]int64{1, 0}},
		{"response to safe request lost", "/safe/x", drop, 200, [2]int64{1, 1}},
		{"response to unsafe request lost", "/unsafe/x", drop, 502, [2]int64{1, 0}},
		{"stream lost on a route that is not resumable", "/stream/x", drop, 502, [2]int64{1, 0}},
		{"stream lost on a resumable route", "/resume/x", drop, 200, [2]int64{1, 1}},
		{"unsafe request not run", "/unsafe/x", reject, 200, [2]int64{1, 1}},
		{"not run, single attempt allowed", "/once/x", reject, 503, [2]int64{1, 0}},
		{"upstream unreachable", "/once/x", nil, 200, [2]int64{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			second := newUpstream(t, ok)
			if strings.HasPrefix(tt.path, "/resume") {
				second = newUpstream(t, writeEvents(2))
			}
			first := &upstream{}
			address := unreachable
			if tt.first != nil {
				first = newUpstream(t, tt.first)
				address = first.URL
			}
			f := newFixture(t, document(), address, second.URL)
			resp, _, err := f.call(t, tt.path)
			if err != nil {
				t.Fatalf("call: %v", err)
			}
			if got := resp.StatusCode; got != tt.status {
				t.Errorf("status %d, want %d", got, tt.status)
			}
			if got := [2]int64{first.runs.Load(), second.runs.Load()}; got != tt.runs {
				t.Errorf("runs %v, want %v", got, tt.runs)
			}
			if tt.status == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("503 without Retry-After")
			}
		})
	}
}

func TestRejectedRequests(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(), u.URL)
	for _, tt := range []struct {
		path    string
		headers []string
		want    int
	}{
		{"/none/x", nil, 404},
		{"/safe", nil, 404},
		{"/safe/x", []string{"Key", "other"}, 401},
		{"/open/x", []string{"Key", ""}, 200},
		{"/open/x", []string{"Long", strings.Repeat("x", 2000)}, 431},
	} {
		resp, _, err := f.call(t, tt.path, tt.headers...)
		if err != nil {
			t.Fatalf("%s: %v", tt.path, err)
		}
		if got := resp.StatusCode; got != tt.want {
			t.Errorf("%s: status %d, want %d", tt.path, got, tt.want)
		}
	}
	r, _ := http.NewRequest(http.MethodPost, f.url+"/safe/x", strings.NewReader(strings.Repeat("x", 101)))
	r.Host, r.Header = "a.example", http.Header{"Key": {"k"}}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		t.Fatalf("long body: %v", err)
	}
	resp.Body.Close()
	if got, want := resp.StatusCode, 413; got != want {
		t.Errorf("long body: status %d, want %d", got, want)
	}
	if got, want := u.runs.Load(), int64(1); got != want {
		t.Errorf("%d runs, want %d", got, want)
	}
}

func TestNoDocument(t *testing.T) {
	s := NewServer(Config{Headers: testCodec(), Metrics: tally.NoopScope, Log: zap.NewNop()})
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
}

func TestOlderDocumentIgnored(t *testing.T) {
	f := newFixture(t, document())
	newer := document()
	newer.Version = 5
	f.Configure(site.NewIndex(newer))
	f.Configure(site.NewIndex(document()))
	if got, want := f.Index().Version, uint64(5); got != want {
		t.Errorf("version %d, want %d", got, want)
	}
}

func TestStreams(t *testing.T) {
	tests := []struct {
		name          string
		path          string
		first, second http.HandlerFunc
		events        int
		interrupted   bool
	}{
		{"complete", "/stream/x", writeEvents(4), writeEvents(4), 4, false},
		{"interrupted in the middle of an event", "/stream/x", writeEvents(-3), writeEvents(4), 2, true},
		{"resumed after the last complete event", "/resume/x", writeEvents(-3), writeEvents(6), 6, false},
		{"interrupted twice", "/resume/x", writeEvents(-3), writeEvents(-5), 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, document(), newUpstream(t, tt.first).URL, newUpstream(t, tt.second).URL)
			_, body, err := f.call(t, tt.path)
			want := ""
			for i := 1; i <= tt.events; i++ {
				want += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
			}
			if body != want {
				t.Errorf("got %q, want %q", body, want)
			}
			if interrupted := errors.Is(err, io.ErrUnexpectedEOF); interrupted != tt.interrupted {
				t.Errorf("caller sees an interrupted body: %t (%v), want %t", interrupted, err, tt.interrupted)
			}
		})
	}
}

func TestRouteTimeout(t *testing.T) {
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	f := newFixture(t, document(), u.URL)
	start := time.Now()
	resp, _, err := f.call(t, "/quick/x")
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	if got, want := resp.StatusCode, http.StatusGatewayTimeout; got != want {
		t.Errorf("status %d, want %d", got, want)
	}
	if took := time.Since(start); took > 700*time.Millisecond {
		t.Errorf("answered after %v, want within half a second of the route's timeout", took)
	}
}

// When the caller disconnects, the request to the upstream must be canceled
// within half a second.
func TestCallerDisconnects(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	f := newFixture(t, document(), u.URL)
	ctx, cancel := context.WithCancel(context.Background())
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/once/x", strings.NewReader("body"))
	r.Host, r.Header = "a.example", http.Header{"Key": {"k"}, "Id": {"r1"}}
	go http.DefaultTransport.RoundTrip(r)
	<-arrived
	cancel()
	select {
	case <-canceled:
	case <-time.After(500 * time.Millisecond):
		t.Error("request not canceled at the upstream half a second after the caller disconnected")
	}
}

// testStages returns two consecutive stages and a third that depends on none.
func testStages() []site.Stage {
	return []site.Stage{{Service: "p"}, {Service: "p", DependsOn: []int{0}}, {Service: "p"}}
}

// succeed returns one result for each piece of a stage.
func succeed(job batcher.Job) batcher.Result {
	var handles []string
	for i := range job.Pieces {
		handles = append(handles, fmt.Sprintf("h%d.%d", job.Stage, i))
	}
	return batcher.Completed{Handles: handles}
}

func TestStageResultsForwarded(t *testing.T) {
	var inputs string
	f := newFixture(t, document(testStages()...), newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		inputs = r.Header.Get("Inputs")
		writeEvents(1)(w, r)
	}).URL)
	f.runStage = succeed
	if _, _, err := f.call(t, "/staged/x", "Pieces", "2,1,1"); err != nil {
		t.Fatalf("call: %v", err)
	}
	if want := "h1.0,h2.0"; inputs != want {
		t.Errorf("the engine got %q, want %q", inputs, want)
	}
	for _, job := range f.jobs {
		if job.Stage == 1 && fmt.Sprintf("%v %q", job.Inputs, job.Key) != `[h0.0 h0.1] ""` {
			t.Errorf("stage 1 got inputs %v and key %q", job.Inputs, job.Key)
		}
		if job.Stage != 1 && (job.Key != "pk" || job.Inputs != nil) {
			t.Errorf("stage %d got inputs %v and key %q", job.Stage, job.Inputs, job.Key)
		}
	}
	if got, want := len(f.released), 4; got != want {
		t.Errorf("%d results released, want %d", got, want)
	}
}

func TestStageRefused(t *testing.T) {
	u := newUpstream(t, ok)
	f := newFixture(t, document(testStages()...), u.URL)
	f.runStage = func(job batcher.Job) batcher.Result {
		if job.Stage == 1 {
			return batcher.Refused{RetryAfter: 1500 * time.Millisecond}
		}
		return succeed(job)
	}
	resp, _, err := f.call(t, "/staged/x", "Pieces", "2,1,1")
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	if got, want := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Retry-After")), "503 1.500"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := u.runs.Load(), int64(0); got != want {
		t.Errorf("%d runs, want %d", got, want)
	}
	f.awaitReleased(t, 3)
}

// A stage that hangs must not hold its request past the deadline, whatever it waits for.
// What it makes later is released.
func TestHangingStageHoldsRequestPastDeadline(t *testing.T) {
	const left, slack = 200 * time.Millisecond, 500 * time.Millisecond
	for name, result := range map[string]func(batcher.Job) batcher.Result{
		"alone":                      succeed,
		"beside one that is refused": func(batcher.Job) batcher.Result { return batcher.Refused{} },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, document(testStages()...), newUpstream(t, ok).URL)
			hang := make(chan struct{})
			f.cfg.RunStage = func(_ context.Context, job batcher.Job) batcher.Result {
				if job.Stage == 0 {
					<-hang
					return succeed(job)
				}
				return result(job)
			}
			start := time.Now()
			resp, _, err := f.call(t, "/staged/x", "Pieces", "2,1,1", "Left-Ms", fmt.Sprint(left.Milliseconds()))
			if err != nil {
				t.Fatal(err)
			}
			if took := time.Since(start); took > left+slack {
				t.Errorf("answered after %v, want %v at most", took, left+slack)
			}
			if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
				t.Errorf("status %d, want %d", got, want)
			}
			close(hang)
			want := 2
			if name == "alone" {
				want = 3
			}
			f.awaitReleased(t, want)
		})
	}
}

// awaitReleased waits until the given number of results has been released.
func (f *fixture) awaitReleased(t *testing.T, want int) {
	t.Helper()
	released := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.released)
	}
	for end := time.Now().Add(5 * time.Second); released() < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := released(); got != want {
		t.Errorf("%d results released, want %d", got, want)
	}
}

// Results that have expired are computed again, both if the next stage and if
// the engine reports them as gone.
func TestExpiredResultsRecomputed(t *testing.T) {
	engineMisses := true
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if engineMisses {
			engineMisses = false
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		writeEvents(1)(w, r)
	})
	f := newFixture(t, document(testStages()...), u.URL)
	expired := true
	f.runStage = func(job batcher.Job) batcher.Result {
		if job.Stage == 1 && expired {
			expired = false
			return batcher.Failed{InputsGone: true, Err: errors.New("gone")}
		}
		return succeed(job)
	}
	resp, body, err := f.call(t, "/staged/x", "Pieces", "1,1,1")
	if err != nil || resp.StatusCode != http.StatusOK || body == "" {
		t.Fatalf("got %v %q %v, want the stream", resp, body, err)
	}
	counts := make(map[int]int)
	for _, job := range f.jobs {
		counts[job.Stage]++
	}
	if got, want := fmt.Sprint(counts), "map[0:3 1:3 2:2]"; got != want {
		t.Errorf("jobs by stage %s, want %s", got, want)
	}
}

// A 503 guarantees that the request has not run. Once an upstream may have run
// it, a later attempt that is rejected must not turn the response into a 503.
func TestNo503AfterPossibleRun(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{"lost": drop, "failed": fail} {
		f := newFixture(t, document(), newUpstream(t, first).URL, newUpstream(t, reject).URL)
		resp, _, err := f.call(t, "/safe/x")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got, want := resp.StatusCode, http.StatusBadGateway; got != want || resp.Header.Get("Retry-After") != "" {
			t.Errorf("%s, then not run: status %d with Retry-After %q, want %d without", name, got, resp.Header.Get("Retry-After"), want)
		}
	}
}
