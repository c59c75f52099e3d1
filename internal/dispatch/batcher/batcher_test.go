package batcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// waitLimit is the time after which a test fails that waits for an event.
const waitLimit = 10 * time.Second

// testCodec encodes Item and Output as JSON.
func testCodec() Codec {
	post := func(t transport.Target, path string, v any) (transport.Request, error) {
		body, err := json.Marshal(v)
		return transport.Request{Method: http.MethodPost, URI: path, Host: t.Address, Header: http.Header{}, Body: body}, err
	}
	return Codec{
		EncodeCall: func(t transport.Target, items []Item) (transport.Request, error) { return post(t, "/run", items) },
		DecodeOutputs: func(body []byte) ([]Output, error) {
			var out []Output
			return out, json.Unmarshal(body, &out)
		},
		EncodeRelease: func(t transport.Target, handles []string) (transport.Request, error) {
			return post(t, "/free", handles)
		},
		HolderAddress: func(handle string) string { return handle[:strings.Index(handle, "/")] },
	}
}

// fakeUpstream is an upstream that runs pieces and records its calls.
type fakeUpstream struct {
	*httptest.Server
	mu       sync.Mutex
	calls    [][]Item
	released []string
	// answer returns the status and the outputs of a call; status 0 closes the
	// connection without an answer. If nil, all items succeed.
	answer func(call int, items []Item) (int, []Output)
	// hold, if not nil, delays answers until it is closed.
	hold chan struct{}
	// connections is the number of connections that were opened.
	connections atomic.Int64
}

func newFakeUpstream(t testing.TB) *fakeUpstream {
	u := &fakeUpstream{}
	u.Server = httptest.NewUnstartedServer(u)
	u.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			u.connections.Add(1)
		}
	}
	u.Start()
	t.Cleanup(u.Close)
	return u
}

func (u *fakeUpstream) address() string { return strings.TrimPrefix(u.URL, "http://") }

// ServeHTTP answers calls and releases.
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/free" {
		var handles []string
		json.Unmarshal(body, &handles)
		u.mu.Lock()
		u.released = append(u.released, handles...)
		u.mu.Unlock()
		return
	}
	var items []Item
	json.Unmarshal(body, &items)
	u.mu.Lock()
	u.calls = append(u.calls, items)
	call, answer, hold := len(u.calls), u.answer, u.hold
	u.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			return
		}
	}
	status, out := http.StatusOK, u.handles(call, items)
	if answer != nil {
		status, out = answer(call, items)
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Not-Run", "1")
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(out)
}

func (u *fakeUpstream) handles(call int, items []Item) []Output {
	var out []Output
	for i, item := range items {
		out = append(out, Output{Handle: fmt.Sprintf("%s/%s.%d.%d.%d.%d", u.address(), item.RequestID, item.Stage, item.PieceIndex, call, i)})
	}
	return out
}

// recorded returns the calls and the released results so far.
func (u *fakeUpstream) recorded() (calls [][]Item, released []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append(calls, u.calls...), append(released, u.released...)
}

func newOwner(t testing.TB, memory int64, fakes ...*fakeUpstream) *Owner {
	t.Helper()
	pool := transport.NewPool(transport.Config{
		Classify: func(_ int, h http.Header) transport.Reply {
			return transport.Reply{NotExecuted: h.Get("Not-Run") != ""}
		},
		Log: zap.NewNop(),
	})
	service := &site.Service{Name: "scan", Batching: &site.Batching{Slots: 1, MaxBatch: 6, CallOverhead: 5 * time.Millisecond, PieceTime: time.Millisecond, ResultMemoryBytes: memory, ResultTTL: time.Minute}}
	o := NewOwner(Config{
		Send:  pool.Send,
		Codec: testCodec(),
		Upstreams: func(string) []catalog.Upstream {
			var out []catalog.Upstream
			for i, u := range fakes {
				out = append(out, catalog.Upstream{ID: fmt.Sprint("u", i), Service: "scan", Address: u.address(), Slots: 1, State: catalog.Ready, LastSeen: time.Now()})
			}
			return out
		},
		Service: func(name string) (*site.Service, bool) { return service, name == service.Name },
		Log:     zap.NewNop(),
	})
	t.Cleanup(func() {
		o.Close()
		pool.Close()
	})
	return o
}

func newJob(request string, n int) Job {
	return Job{RequestID: request, Service: "scan", Pieces: n, Key: "k", Timeout: waitLimit, Objective: time.Second}
}

// checkCompleted checks that the handles of a result belong to the n pieces of the
// request, in order.
func checkCompleted(t *testing.T, r Result, request string, n int) Completed {
	t.Helper()
	completed, ok := r.(Completed)
	if !ok {
		t.Fatalf("%s: got %#v, want Completed", request, r)
	}
	if got := len(completed.Handles); got != n {
		t.Fatalf("%s: %d results, want %d", request, got, n)
	}
	for i, h := range completed.Handles {
		if want := fmt.Sprintf("/%s.0.%d.", request, i); !strings.Contains(h, want) {
			t.Errorf("result %d is %s, want one with %s", i, h, want)
		}
	}
	return completed
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// A number of pieces out of all proportion fails its own job, and does not take the
// memory of the process.
func TestTooManyPiecesFailTheirJob(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	got, ok := o.Do(context.Background(), newJob("r", 1<<40)).(Failed)
	var tooMany *TooManyPiecesError
	if !ok || !errors.As(got.Err, &tooMany) {
		t.Errorf("got %v, want a failure for too many pieces", got)
	}
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
}

func TestJobsShareCalls(t *testing.T) {
	u := newFakeUpstream(t)
	u.hold = make(chan struct{})
	o := newOwner(t, 1<<40, u)
	results := make(chan Result, 4)
	for i := range 4 {
		go func() { results <- o.Do(context.Background(), newJob(fmt.Sprint("r", i), 2)) }()
		eventually(t, "the call", func() bool { calls, _ := u.recorded(); return len(calls) == 1 })
	}
	eventually(t, "the queue", func() bool {
		o.dispatchers[shard{service: "scan"}].mu.Lock()
		defer o.dispatchers[shard{service: "scan"}].mu.Unlock()
		return o.dispatchers[shard{service: "scan"}].queue.Waiting() == 6
	})
	close(u.hold)
	for range 4 {
		if _, ok := (<-results).(Completed); !ok {
			t.Error("a job was not completed")
		}
	}
	calls, _ := u.recorded()
	if got, want := fmt.Sprint(len(calls), len(calls[1])), "2 6"; got != want {
		t.Errorf("number of calls and pieces in the second call: %s, want %s", got, want)
	}
}

func TestCallFailures(t *testing.T) {
	succeed := func(u *fakeUpstream) func(int, []Item) (int, []Output) {
		return func(call int, items []Item) (int, []Output) { return 200, u.handles(call, items) }
	}
	tests := []struct {
		name  string
		first func(u *fakeUpstream, items []Item) (int, []Output)
		want  string
	}{
		{"no answer", func(*fakeUpstream, []Item) (int, []Output) { return 0, nil }, "completed"},
		{"no capacity", func(*fakeUpstream, []Item) (int, []Output) { return 503, nil }, "completed"},
		{"status 500", func(*fakeUpstream, []Item) (int, []Output) { return 500, nil }, "completed"},
		{"missing output", func(u *fakeUpstream, items []Item) (int, []Output) { return 200, u.handles(9, items)[1:] }, "completed"},
		{"one piece failed", func(u *fakeUpstream, items []Item) (int, []Output) {
			out := u.handles(1, items)
			out[1] = Output{Reason: ReasonFailed}
			return 200, out
		}, "completed"},
		{"no memory for one result", func(u *fakeUpstream, items []Item) (int, []Output) {
			out := u.handles(1, items)
			out[0] = Output{Reason: ReasonNoMemory}
			return 200, out
		}, "completed"},
		{"inputs gone", func(_ *fakeUpstream, items []Item) (int, []Output) {
			return 200, []Output{{Reason: ReasonInputsGone}, {Reason: ReasonInputsGone}, {Reason: ReasonInputsGone}}[:len(items)]
		}, "gone"},
		{"deadline exceeded", func(_ *fakeUpstream, items []Item) (int, []Output) {
			return 200, []Output{{Reason: ReasonDeadlineExceeded}, {Reason: ReasonDeadlineExceeded}, {Reason: ReasonDeadlineExceeded}}[:len(items)]
		}, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newFakeUpstream(t)
			u.answer = func(call int, items []Item) (int, []Output) {
				if call == 1 {
					return tt.first(u, items)
				}
				return succeed(u)(call, items)
			}
			got := ""
			switch r := newOwner(t, 1<<40, u).Do(context.Background(), newJob("r", 3)).(type) {
			case Completed:
				checkCompleted(t, r, "r", 3)
				got = "completed"
			case Failed:
				got = "failed"
				if r.InputsGone {
					got = "gone"
				}
			default:
				got = fmt.Sprintf("%T", r)
			}
			if got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Results of a job whose context is canceled are released, and its queued pieces
// are never run.
func TestCanceledJobReleasesResults(t *testing.T) {
	u := newFakeUpstream(t)
	u.hold = make(chan struct{})
	o := newOwner(t, 1<<40, u)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Result, 1)
	go func() { done <- o.Do(ctx, newJob("r", 9)) }()
	eventually(t, "the call", func() bool { calls, _ := u.recorded(); return len(calls) == 1 })
	cancel()
	if _, ok := (<-done).(Failed); !ok {
		t.Error("a canceled job was completed")
	}
	close(u.hold)
	eventually(t, "the release of results", func() bool { _, released := u.recorded(); return len(released) == 6 })
	if calls, _ := u.recorded(); len(calls) != 1 {
		t.Errorf("%d calls, want 1", len(calls))
	}
}

// A call has no more pieces than the upstream has memory for their results.
func TestResultMemoryLimitsBatch(t *testing.T) {
	u := newFakeUpstream(t)
	o := newOwner(t, 45, u)
	big := newJob("r", 4)
	big.ResultBytes = 10
	first := checkCompleted(t, o.Do(context.Background(), big), "r", 4)
	second := make(chan Result, 1)
	go func() {
		next := newJob("s", 2)
		next.ResultBytes = 10
		second <- o.Do(context.Background(), next)
	}()
	time.Sleep(100 * time.Millisecond)
	if calls, _ := u.recorded(); len(calls) != 1 {
		t.Fatalf("%d calls although there is no memory for results, want 1", len(calls))
	}
	o.release(shard{service: "scan"}, first.Handles[:2])
	checkCompleted(t, <-second, "s", 2)
}

func TestOnDispatchedIsCalledOnce(t *testing.T) {
	u := newFakeUpstream(t)
	o := newOwner(t, 1<<40, u)
	notified := make(chan struct{}, 9)
	r := newJob("r", 9)
	r.OnDispatched = func() { notified <- struct{}{} }
	checkCompleted(t, o.Do(context.Background(), r), "r", 9)
	if got, want := len(notified), 1; got != want {
		t.Errorf("OnDispatched was called %d times, want %d", got, want)
	}
}

// ownerProcess is an owner that serves other processes over a link.
type ownerProcess struct {
	owner  *Owner
	server *link.Server
}

func newOwnerProcess(t *testing.T, u *fakeUpstream) *ownerProcess {
	t.Helper()
	p := &ownerProcess{owner: newOwner(t, 1<<40, u)}
	var err error
	p.server, err = link.Listen(link.ServerConfig{
		Address: "127.0.0.1:0",
		Auth:    link.Auth{Key: []byte("a key for the tests")},
		Handle: func(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
			p.owner.Serve(ctx, st, first)
		},
	})
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { p.server.Close() })
	return p
}

// candidates returns the first incarnations of entries at link addresses.
func candidates(links ...string) []Candidate {
	var out []Candidate
	for _, link := range links {
		out = append(out, Candidate{Link: link, Incarnation: 1})
	}
	return out
}

func newRouter(t *testing.T, own *Owner, self string, owners func() []string) *Router {
	pool := link.NewPool(link.PoolConfig{Auth: link.Auth{Key: []byte("a key for the tests")}})
	r := NewRouter(RouterConfig{Owner: own, Pool: pool, Self: self, Owners: func(string) []Candidate { return candidates(owners()...) }, Log: zap.NewNop()})
	t.Cleanup(func() {
		r.Close()
		pool.Close()
	})
	return r
}

func TestJobIsSentToOwner(t *testing.T) {
	u, unused := newFakeUpstream(t), newFakeUpstream(t)
	p := newOwnerProcess(t, u)
	r := newRouter(t, newOwner(t, 1<<40, unused), "self", func() []string { return []string{p.server.Address()} })
	// During the first call to an upstream the dispatch is not announced.
	checkCompleted(t, r.Do(context.Background(), newJob("first", 2)), "first", 2)
	notified := make(chan struct{}, 1)
	o := newJob("r", 2)
	o.OnDispatched = func() { notified <- struct{}{} }
	completed := checkCompleted(t, r.Do(context.Background(), o), "r", 2)
	select {
	case <-notified:
	case <-time.After(waitLimit):
		t.Error("OnDispatched was not called")
	}
	r.Release("scan", completed.Handles)
	eventually(t, "the release of results", func() bool { _, released := u.recorded(); return len(released) == 2 })
	if calls, _ := unused.recorded(); len(calls) != 0 {
		t.Errorf("%d calls by the local owner, want 0", len(calls))
	}
}

// A job that cannot be encoded fails alone: its owner must not count as lost, which would
// take the jobs of all others away from it.
func TestJobThatCannotBeEncodedLosesItsOwner(t *testing.T) {
	for name, spoil := range map[string]func(*Job){
		"request ID": func(j *Job) { j.RequestID = "caf\xe9" },
		"key":        func(j *Job) { j.Key = "caf\xe9" },
		"account":    func(j *Job) { j.Account = "caf\xe9" },
	} {
		t.Run(name, func(t *testing.T) {
			u, unused := newFakeUpstream(t), newFakeUpstream(t)
			p := newOwnerProcess(t, u)
			r := newRouter(t, newOwner(t, 1<<40, unused), "self", func() []string { return []string{p.server.Address()} })
			spoiled := newJob("r1", 2)
			spoil(&spoiled)
			r.Asked(spoiled)
			var invalid *InvalidJobError
			if got, ok := r.Do(context.Background(), spoiled).(Failed); !ok || !errors.As(got.Err, &invalid) {
				t.Errorf("got %+v, want Failed with an *InvalidJobError", got)
			}
			checkCompleted(t, r.Do(context.Background(), newJob("r2", 2)), "r2", 2)
			if calls, _ := unused.recorded(); len(calls) != 0 {
				t.Errorf("%d calls by the local owner, want 0", len(calls))
			}
		})
	}
}

// A job whose owner is lost is completed by the next owner.
func TestLostOwnerIsReplaced(t *testing.T) {
	stuck, u := newFakeUpstream(t), newFakeUpstream(t)
	stuck.hold = make(chan struct{})
	p := newOwnerProcess(t, stuck)
	address := p.server.Address()
	// Choose an address for this process that does not own the service.
	self := "self"
	for i := 0; ; i++ {
		self = fmt.Sprint("self", i)
		if first, _ := ownerOf(shard{service: "scan"}, candidates(address, self), noneLost); first.Link == address {
			break
		}
	}
	r := newRouter(t, newOwner(t, 1<<40, u), self, func() []string { return []string{address, self} })
	done := make(chan Result, 1)
	go func() { done <- r.Do(context.Background(), newJob("r", 2)) }()
	eventually(t, "the call", func() bool { calls, _ := stuck.recorded(); return len(calls) == 1 })
	go p.server.Close()
	checkCompleted(t, <-done, "r", 2)
	close(stuck.hold)
}

// newFrozenOwner returns a router whose owner accepts connections and never answers, with
// this process as the next one, and the upstream of this process.
func newFrozenOwner(t *testing.T) (*Router, *fakeUpstream) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	frozen, u := ln.Addr().String(), newFakeUpstream(t)
	self := "self"
	for i := 0; ; i++ {
		self = fmt.Sprint("self", i)
		if first, _ := ownerOf(shard{service: "scan"}, candidates(frozen, self), noneLost); first.Link == frozen {
			break
		}
	}
	return newRouter(t, newOwner(t, 1<<40, u), self, func() []string { return []string{frozen, self} }), u
}

// Jobs whose owner is frozen must go on with the next one together, and not one after the
// other, each after a try of its own.
func TestJobsHangOneAfterTheOtherOnFrozenOwner(t *testing.T) {
	const jobs = 8
	r, _ := newFrozenOwner(t)
	start := time.Now()
	results := make(chan Result, jobs)
	for i := range jobs {
		go func() { results <- r.Do(context.Background(), newJob(fmt.Sprint("r", i), 1)) }()
	}
	for range jobs {
		if got, ok := (<-results).(Completed); !ok {
			t.Errorf("got %T, want Completed", got)
		}
	}
	if took, want := time.Since(start), 2*connectTimeout; took > want {
		t.Errorf("the last job ended after %v, want %v at most", took, want)
	}
}

// A job must end at its deadline although its owner is frozen.
func TestFrozenOwnerHoldsJobPastDeadline(t *testing.T) {
	const timeout = connectTimeout / 4
	r, _ := newFrozenOwner(t)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := time.Now()
	got := r.Do(ctx, newJob("r", 1))
	if took := time.Since(start); took > 2*timeout {
		t.Errorf("the job ended after %v, want %v at most", took, 2*timeout)
	}
	if f, ok := got.(Failed); !ok || !errors.Is(f.Err, context.DeadlineExceeded) {
		t.Errorf("got %+v, want Failed with %v", got, context.DeadlineExceeded)
	}
}

// After the backoff from a lost owner one caller alone must try it again, and the others go
// on without it until it is found.
func TestAllTryLostOwnerAgain(t *testing.T) {
	const callers = 10
	r, _ := newFrozenOwner(t)
	s := shard{service: "scan"}
	lost, _ := r.owner(s)
	count := func() (tries int) {
		for range callers {
			if owner, _ := r.owner(s); owner == lost {
				tries++
			}
		}
		return tries
	}
	r.markLost(lost)
	if got, want := count(), 0; got != want {
		t.Errorf("during the backoff: %d tries, want %d", got, want)
	}
	r.mu.Lock()
	r.lost[lost.Link] = lostOwner{incarnation: lost.Incarnation, backoffEnds: time.Now().Add(-time.Millisecond)}
	r.mu.Unlock()
	if got, want := count(), 1; got != want {
		t.Errorf("after the backoff: %d tries, want %d", got, want)
	}
	r.markFound(lost.Link)
	if got, want := count(), callers; got != want {
		t.Errorf("once it is found: %d tries, want %d", got, want)
	}
}

// The release of results must not wait for a frozen owner: it is called before a response
// goes on.
func TestReleaseWaitsForFrozenOwner(t *testing.T) {
	r, u := newFrozenOwner(t)
	start := time.Now()
	r.Release("scan", []string{u.address() + "/x"})
	if took, want := time.Since(start), connectTimeout/4; took > want {
		t.Errorf("Release took %v, want %v at most", took, want)
	}
	eventually(t, "the release of the result", func() bool { _, released := u.recorded(); return len(released) == 1 })
}

func noneLost(Candidate) bool { return false }

func TestOwnerIsIndependentOfAddressOrder(t *testing.T) {
	a, _ := ownerOf(shard{service: "scan"}, candidates("1", "2", "3"), noneLost)
	b, _ := ownerOf(shard{service: "scan"}, candidates("3", "1", "2"), noneLost)
	if a != b {
		t.Errorf("owners are %v and %v, want the same", a, b)
	}
	isFirst := func(c Candidate) bool { return c == a }
	if next, _ := ownerOf(shard{service: "scan"}, candidates("1", "2", "3"), isFirst); next == a {
		t.Errorf("excluded owner %v was returned", next)
	}
}

// An upstream that answers a call twice on a reused connection must not have the
// second answer taken for the answer to the next call.
func TestDuplicateAnswerIsRejected(t *testing.T) {
	u := newFakeUpstream(t)
	var first []Output
	u.answer = func(call int, items []Item) (int, []Output) {
		if call == 1 {
			first = u.handles(call, items)
		}
		if call <= 2 {
			return 200, first
		}
		return 200, u.handles(call, items)
	}
	o := newOwner(t, 1<<40, u)
	checkCompleted(t, o.Do(context.Background(), newJob("r", 2)), "r", 2)
	checkCompleted(t, o.Do(context.Background(), newJob("s", 2)), "s", 2)
	if got, want := u.connections.Load(), int64(2); got < want {
		t.Errorf("%d connections, want a new one after the duplicate answer", got)
	}
}
