package batcher

import (
	"context"
	"encoding/json"
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

// waitLimit bounds each wait for an event; a test that reaches it fails.
const waitLimit = 10 * time.Second

// testWire is JSON of the types themselves.
func testWire() Wire {
	post := func(t transport.Target, path string, v any) (transport.Request, error) {
		body, err := json.Marshal(v)
		return transport.Request{Method: http.MethodPost, URI: path, Host: t.Address, Header: http.Header{}, Body: body}, err
	}
	return Wire{
		Run: func(t transport.Target, items []Item) (transport.Request, error) { return post(t, "/run", items) },
		Outputs: func(body []byte) ([]Output, error) {
			var out []Output
			return out, json.Unmarshal(body, &out)
		},
		Free: func(t transport.Target, handles []string) (transport.Request, error) {
			return post(t, "/free", handles)
		},
		Holder: func(handle string) string { return handle[:strings.Index(handle, "/")] },
	}
}

// maker is a stand-in upstream that makes pieces.
type maker struct {
	*httptest.Server
	mu     sync.Mutex
	calls  [][]Item
	freed  []string
	answer func(call int, items []Item) (int, []Output)
	hold   chan struct{}
	// connections counts those that were opened.
	connections atomic.Int64
}

func newMaker(t *testing.T) *maker {
	m := &maker{}
	m.Server = httptest.NewUnstartedServer(m)
	m.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			m.connections.Add(1)
		}
	}
	m.Start()
	t.Cleanup(m.Close)
	return m
}

func (m *maker) address() string { return strings.TrimPrefix(m.URL, "http://") }

// ServeHTTP answers runs and give-backs.
func (m *maker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/free" {
		var handles []string
		json.Unmarshal(body, &handles)
		m.mu.Lock()
		m.freed = append(m.freed, handles...)
		m.mu.Unlock()
		return
	}
	var items []Item
	json.Unmarshal(body, &items)
	m.mu.Lock()
	m.calls = append(m.calls, items)
	call, answer, hold := len(m.calls), m.answer, m.hold
	m.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			return
		}
	}
	status, out := http.StatusOK, m.handles(call, items)
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

func (m *maker) handles(call int, items []Item) []Output {
	var out []Output
	for i, item := range items {
		out = append(out, Output{Handle: fmt.Sprintf("%s/%s.%d.%d.%d.%d", m.address(), item.Request, item.Stage, item.Piece, call, i)})
	}
	return out
}

// seen returns the calls and the results given back so far.
func (m *maker) seen() (calls [][]Item, freed []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(calls, m.calls...), append(freed, m.freed...)
}

func newOwner(t *testing.T, room int64, makers ...*maker) *Owner {
	t.Helper()
	pool := transport.NewPool(transport.Config{
		Classify: func(_ int, h http.Header) transport.Reply { return transport.Reply{NotRun: h.Get("Not-Run") != ""} },
		Log:      zap.NewNop(),
	})
	service := &site.Service{Name: "scan", Pieces: &site.Pieces{Slots: 1, Batch: 6, Call: 5 * time.Millisecond, Item: time.Millisecond, RoomBytes: room, Hold: time.Minute}}
	o := NewOwner(Config{
		Send: pool.Send,
		Wire: testWire(),
		Upstreams: func(string) []catalog.Upstream {
			var out []catalog.Upstream
			for i, m := range makers {
				out = append(out, catalog.Upstream{ID: fmt.Sprint("m", i), Service: "scan", Address: m.address(), Slots: 1, State: catalog.Ready, Heard: time.Now()})
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

func order(request string, n int) Order {
	return Order{Request: request, Service: "scan", Pieces: n, Key: "k", Left: waitLimit, Objective: time.Second}
}

// want the handles of a result to be of the request's own pieces, in order.
func checkMade(t *testing.T, r Result, request string, n int) Made {
	t.Helper()
	made, ok := r.(Made)
	if !ok {
		t.Fatalf("%s: got %#v, want Made", request, r)
	}
	if got := len(made.Handles); got != n {
		t.Fatalf("%s: %d results, want %d", request, got, n)
	}
	for i, h := range made.Handles {
		if want := fmt.Sprintf("/%s.0.%d.", request, i); !strings.Contains(h, want) {
			t.Errorf("result %d is %s, want one with %s", i, h, want)
		}
	}
	return made
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(waitLimit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

func TestOrdersShareCalls(t *testing.T) {
	m := newMaker(t)
	m.hold = make(chan struct{})
	o := newOwner(t, 1<<40, m)
	results := make(chan Result, 4)
	for i := range 4 {
		go func() { results <- o.Do(context.Background(), order(fmt.Sprint("r", i), 2)) }()
		eventually(t, "the call", func() bool { calls, _ := m.seen(); return len(calls) == 1 })
	}
	eventually(t, "the queue", func() bool {
		o.pools["scan"].mu.Lock()
		defer o.pools["scan"].mu.Unlock()
		return o.pools["scan"].queue.Waiting() == 6
	})
	close(m.hold)
	for range 4 {
		if _, ok := (<-results).(Made); !ok {
			t.Error("an order was not made")
		}
	}
	calls, _ := m.seen()
	if got, want := fmt.Sprint(len(calls), len(calls[1])), "2 6"; got != want {
		t.Errorf("calls and pieces of the second: %s, want %s", got, want)
	}
}

func TestCallsThatFail(t *testing.T) {
	fine := func(m *maker) func(int, []Item) (int, []Output) {
		return func(call int, items []Item) (int, []Output) { return 200, m.handles(call, items) }
	}
	tests := []struct {
		name  string
		first func(m *maker, items []Item) (int, []Output)
		want  string
	}{
		{"no answer", func(*maker, []Item) (int, []Output) { return 0, nil }, "made"},
		{"full", func(*maker, []Item) (int, []Output) { return 503, nil }, "made"},
		{"failure", func(*maker, []Item) (int, []Output) { return 500, nil }, "made"},
		{"an output too few", func(m *maker, items []Item) (int, []Output) { return 200, m.handles(9, items)[1:] }, "made"},
		{"one piece broken", func(m *maker, items []Item) (int, []Output) {
			out := m.handles(1, items)
			out[1] = Output{Reason: Broken}
			return 200, out
		}, "made"},
		{"no room for one", func(m *maker, items []Item) (int, []Output) {
			out := m.handles(1, items)
			out[0] = Output{Reason: NoRoom}
			return 200, out
		}, "made"},
		{"inputs gone", func(_ *maker, items []Item) (int, []Output) {
			return 200, []Output{{Reason: Gone}, {Reason: Gone}, {Reason: Gone}}[:len(items)]
		}, "gone"},
		{"too late", func(_ *maker, items []Item) (int, []Output) {
			return 200, []Output{{Reason: Late}, {Reason: Late}, {Reason: Late}}[:len(items)]
		}, "failed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := newMaker(t)
			m.answer = func(call int, items []Item) (int, []Output) {
				if call == 1 {
					return tt.first(m, items)
				}
				return fine(m)(call, items)
			}
			got := ""
			switch r := newOwner(t, 1<<40, m).Do(context.Background(), order("r", 3)).(type) {
			case Made:
				checkMade(t, r, "r", 3)
				got = "made"
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

// Results of an order whose caller has left are given back, and its pieces
// that wait are never made.
func TestCallerLeaves(t *testing.T) {
	m := newMaker(t)
	m.hold = make(chan struct{})
	o := newOwner(t, 1<<40, m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Result, 1)
	go func() { done <- o.Do(ctx, order("r", 9)) }()
	eventually(t, "the call", func() bool { calls, _ := m.seen(); return len(calls) == 1 })
	cancel()
	if _, ok := (<-done).(Failed); !ok {
		t.Error("an order was made for a caller who left")
	}
	close(m.hold)
	eventually(t, "the give-back", func() bool { _, freed := m.seen(); return len(freed) == 6 })
	if calls, _ := m.seen(); len(calls) != 1 {
		t.Errorf("%d calls, want 1", len(calls))
	}
}

// A call takes no more pieces than the upstream has room for results.
func TestRoomForResults(t *testing.T) {
	m := newMaker(t)
	o := newOwner(t, 45, m)
	big := order("r", 4)
	big.ResultBytes = 10
	first := checkMade(t, o.Do(context.Background(), big), "r", 4)
	second := make(chan Result, 1)
	go func() {
		next := order("s", 2)
		next.ResultBytes = 10
		second <- o.Do(context.Background(), next)
	}()
	time.Sleep(100 * time.Millisecond)
	if calls, _ := m.seen(); len(calls) != 1 {
		t.Fatalf("%d calls although there is no room, want 1", len(calls))
	}
	o.release("scan", first.Handles[:2])
	checkMade(t, <-second, "s", 2)
}

func TestDispatchedIsToldOnce(t *testing.T) {
	m := newMaker(t)
	o := newOwner(t, 1<<40, m)
	told := make(chan struct{}, 9)
	r := order("r", 9)
	r.Dispatched = func() { told <- struct{}{} }
	checkMade(t, o.Do(context.Background(), r), "r", 9)
	if got, want := len(told), 1; got != want {
		t.Errorf("told %d times, want %d", got, want)
	}
}

// process is an owner that serves others over a link.
type process struct {
	owner  *Owner
	server *link.Server
}

func newProcess(t *testing.T, m *maker) *process {
	t.Helper()
	p := &process{owner: newOwner(t, 1<<40, m)}
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

func newRouter(t *testing.T, own *Owner, self string, owners func() []string) *Router {
	pool := link.NewPool(link.PoolConfig{Auth: link.Auth{Key: []byte("a key for the tests")}})
	r := NewRouter(RouterConfig{Owner: own, Pool: pool, Self: self, Owners: owners, Log: zap.NewNop()})
	t.Cleanup(func() {
		r.Close()
		pool.Close()
	})
	return r
}

func TestOrderGoesToTheOwner(t *testing.T) {
	m, unused := newMaker(t), newMaker(t)
	p := newProcess(t, m)
	r := newRouter(t, newOwner(t, 1<<40, unused), "self", func() []string { return []string{p.server.Address()} })
	told := make(chan struct{}, 1)
	o := order("r", 2)
	o.Dispatched = func() { told <- struct{}{} }
	made := checkMade(t, r.Do(context.Background(), o), "r", 2)
	select {
	case <-told:
	case <-time.After(waitLimit):
		t.Error("the dispatch was not told")
	}
	r.Release("scan", made.Handles)
	eventually(t, "the give-back", func() bool { _, freed := m.seen(); return len(freed) == 2 })
	if calls, _ := unused.seen(); len(calls) != 0 {
		t.Errorf("%d calls from here, want 0", len(calls))
	}
}

// An order whose owner dies is made by the next one.
func TestOwnerLost(t *testing.T) {
	stuck, m := newMaker(t), newMaker(t)
	stuck.hold = make(chan struct{})
	p := newProcess(t, stuck)
	address := p.server.Address()
	// The own name is one that does not own the service.
	self := "self"
	for i := 0; ; i++ {
		self = fmt.Sprint("self", i)
		if first, _ := ownerOf("scan", []string{address, self}, nil); first == address {
			break
		}
	}
	r := newRouter(t, newOwner(t, 1<<40, m), self, func() []string { return []string{address, self} })
	done := make(chan Result, 1)
	go func() { done <- r.Do(context.Background(), order("r", 2)) }()
	eventually(t, "the call", func() bool { calls, _ := stuck.seen(); return len(calls) == 1 })
	go p.server.Close()
	checkMade(t, <-done, "r", 2)
	close(stuck.hold)
}

func TestOwnersAgree(t *testing.T) {
	a, _ := ownerOf("scan", []string{"1", "2", "3"}, nil)
	b, _ := ownerOf("scan", []string{"3", "1", "2"}, nil)
	if a != b {
		t.Errorf("two entries find %s and %s", a, b)
	}
	if next, _ := ownerOf("scan", []string{"1", "2", "3"}, map[string]bool{a: true}); next == a {
		t.Errorf("a lost owner is found again: %s", next)
	}
}

// An answer with the results of an earlier call, as an upstream that answers
// twice gives on a kept connection, is not taken for the results of this one.
func TestSecondAnswerIsNotTaken(t *testing.T) {
	m := newMaker(t)
	var first []Output
	m.answer = func(call int, items []Item) (int, []Output) {
		if call == 1 {
			first = m.handles(call, items)
		}
		if call <= 2 {
			return 200, first
		}
		return 200, m.handles(call, items)
	}
	o := newOwner(t, 1<<40, m)
	checkMade(t, o.Do(context.Background(), order("r", 2)), "r", 2)
	checkMade(t, o.Do(context.Background(), order("s", 2)), "s", 2)
	if got, want := m.connections.Load(), int64(2); got < want {
		t.Errorf("%d connections, want a new one behind the second answer", got)
	}
}
