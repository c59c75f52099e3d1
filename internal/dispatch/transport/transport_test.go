package transport

import (
	"bufio"
	"context"
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
)

// scriptedUpstream is an upstream that sends the next answer of its script for each
// request, and counts connections and requests.
type scriptedUpstream struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
	mu          sync.Mutex
	// received has the method, URI, host and body of each request.
	received []string
}

// ending is what an upstream does with the connection after an answer.
type ending int

const (
	keepOpen ending = iota
	closeConn
	resetConn
)

type answer struct {
	text string
	then ending
	// early is set if the answer is sent before the body is read.
	early bool
}

func serve(t *testing.T, script ...answer) *scriptedUpstream {
	t.Helper()
	s := &scriptedUpstream{}
	s.address = serveConnections(t, func(c net.Conn) {
		s.connections.Add(1)
		s.run(c, script)
	})
	return s
}

// serveConnections listens on an address, which it returns, and calls serve with each connection
// that is opened, each in a goroutine of its own. It closes the connection after that.
func serveConnections(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return ln.Addr().String()
}

func (s *scriptedUpstream) run(c net.Conn, script []answer) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		i := int(s.requests.Add(1)) - 1
		if i >= len(script) {
			return
		}
		a := script[i]
		if !a.early {
			body, _ := io.ReadAll(r.Body)
			s.mu.Lock()
			s.received = append(s.received, fmt.Sprintf("%s %s %s %q", r.Method, r.RequestURI, r.Host, body))
			s.mu.Unlock()
		}
		io.WriteString(c, strings.ReplaceAll(a.text, "ID", r.Header.Get("Id")))
		switch a.then {
		case closeConn:
			return
		case resetConn:
			c.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func newPool(t *testing.T) *Pool {
	p := newPoolWithoutTest()
	t.Cleanup(func() { p.Close() })
	return p
}

// newPoolWithoutTest returns a pool that the caller closes.
func newPoolWithoutTest() *Pool {
	return NewPool(Config{
		Classify: func(status int, h http.Header) Reply {
			return Reply{ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest}
		},
		Log: zap.NewNop(),
	})
}

func (s *scriptedUpstream) target() Target { return Target{ID: "u1", Address: s.address} }

func request(id string) Request {
	return Request{ID: id, Method: http.MethodPost, URI: "/a%2Fb//c?x=1&y", Host: "a.example", Header: http.Header{"Id": {id}}, Body: []byte("body " + id)}
}

const good = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok"

// send sends a request and describes its outcome, with the body of an answer.
func send(t *testing.T, p *Pool, to Target, r Request) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	switch o := p.Send(ctx, to, r).(type) {
	case *Answered:
		body, err := io.ReadAll(o.Body)
		o.Close()
		if err != nil {
			return fmt.Sprintf("broken %d", o.Status)
		}
		return fmt.Sprintf("answered %d %s", o.Status, body)
	case Rejected:
		return fmt.Sprintf("rejected %d", o.Status)
	case NotSent:
		return "not sent"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("%T", o)
	}
}

func TestSendOutcomes(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	tests := []struct {
		name   string
		script []answer
		body   string
		want   string
	}{
		{"whole answer", []answer{{text: good}}, "", "answered 200 ok"},
		{"chunked answer", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}}, "", "answered 200 ok"},
		{"answer ended by closing the connection", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nok", then: closeConn}}, "", "answered 200 ok"},
		{"answer ended by a reset", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\n\r\nok", then: resetConn}}, "", "broken 200"},
		{"answer shorter than its length", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nok", then: closeConn}}, "", "broken 200"},
		{"truncated chunks", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", then: closeConn}}, "", "broken 200"},
		{"no answer", []answer{{then: closeConn}}, "", "unknown"},
		{"reset", []answer{{then: resetConn}}, "", "unknown"},
		{"answer that is not HTTP", []answer{{text: "what?\r\n\r\n", then: closeConn}}, "", "unknown"},
		{"not executed", []answer{{text: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}}, "", "rejected 503"},
		{"misdirected", []answer{{text: "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n"}}, "", "rejected 421"},
		{"failed after it ran", []answer{{text: "HTTP/1.1 503 Broken\r\nId: ID\r\nContent-Length: 2\r\n\r\nno"}}, "", "answered 503 no"},
		{"informational response first", []answer{{text: "HTTP/1.1 102 Wait\r\n\r\n" + good}}, "", "answered 200 ok"},
		{"answer before the body was read", []answer{{text: "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", early: true, then: closeConn}}, long, "rejected 503"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, tt.script...)
			r := request("r1")
			if tt.body != "" {
				r.Body = []byte(tt.body)
			}
			if got := send(t, newPool(t), s.target(), r); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if got, want := s.requests.Load(), int64(1); got != want {
				t.Errorf("the upstream saw %d requests, want %d", got, want)
			}
		})
	}
}

func TestRequestIsSentUnchanged(t *testing.T) {
	s := serve(t, answer{text: good})
	send(t, newPool(t), s.target(), request("r1"))
	if got, want := s.received[0], `POST /a%2Fb//c?x=1&y a.example "body r1"`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	address := ln.Addr().String()
	ln.Close()
	if got, want := send(t, newPool(t), Target{ID: "u1", Address: address}, request("r1")), "not sent"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// A connection is reused only after an answer that no unread data follows.
func TestConnectionReuse(t *testing.T) {
	tests := []struct {
		name   string
		script []answer
		want   string
		conns  int64
	}{
		{"reused", []answer{{text: good}, {text: good}}, "answered 200 ok", 1},
		{"closed by the upstream", []answer{{text: good, then: closeConn}, {text: good}}, "answered 200 ok", 2},
		{"announced to close", []answer{{text: "HTTP/1.1 200 OK\r\nId: ID\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"}, {text: good}}, "answered 200 ok", 2},
		{"a second answer after the first", []answer{{text: good + "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 5\r\n\r\nwrong"}, {text: good}}, "answered 200 ok", 2},
		{"stray bytes after the answer", []answer{{text: good + "xyz"}, {text: good}}, "answered 200 ok", 2},
		{"answer to another request first", []answer{{text: good}, {text: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong" + good}}, "answered 200 ok", 1},
		{"answer without an ID on a reused connection", []answer{{text: good}, {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", then: closeConn}}, "unknown", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, tt.script...)
			p := newPool(t)
			if got, want := send(t, p, s.target(), request("r1")), "answered 200 ok"; got != want {
				t.Fatalf("first: got %q, want %q", got, want)
			}
			time.Sleep(20 * time.Millisecond)
			if got := send(t, p, s.target(), request("r2")); got != tt.want {
				t.Errorf("second: got %q, want %q", got, tt.want)
			}
			if got := s.connections.Load(); got != tt.conns {
				t.Errorf("%d connections, want %d", got, tt.conns)
			}
		})
	}
}

// An answer without an ID, or with an empty one, is the page of some other program: it is no
// answer, and none is waited for behind it until the deadline. A refusal without an ID is believed
// only where no other answer can be due, and its connection carries no other request.
func TestAnswerWithoutID(t *testing.T) {
	const page, refusal = "Content-Length: 5\r\n\r\nwrong", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tt := range []struct{ name, text, first, later string }{
		{"success", "HTTP/1.1 200 OK\r\n" + page, "unknown", "unknown"},
		{"success with an empty ID", "HTTP/1.1 200 OK\r\nId:\r\n" + page, "unknown", "unknown"},
		{"failure", "HTTP/1.1 404 Not Found\r\n" + page, "unknown", "unknown"},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: /\r\n" + page, "unknown", "unknown"},
		{"refusal", "HTTP/1.1 503 Busy\r\n" + refusal, "rejected 503", "unknown"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			s := serve(t, answer{text: tt.text}, answer{text: good}, answer{text: tt.text}, answer{text: good})
			p := newPool(t)
			for i, want := range []string{tt.first, "answered 200 ok", tt.later, "answered 200 ok"} {
				if got := send(t, p, s.target(), request(fmt.Sprint("r", i))); got != want {
					t.Errorf("request %d: got %q, want %q", i, got, want)
				}
			}
			if got, want := s.connections.Load(), int64(3); got != want {
				t.Errorf("%d connections, want %d", got, want)
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("took %v, want no wait for other answers", took)
			}
		})
	}
}

// copyingUpstream rejects the first request on its first connection, and sends a late
// second copy of that before the next answer on the connection. It runs all others.
type copyingUpstream struct {
	address string
	mu      sync.Mutex
	// runs counts the runs of each request by its ID.
	runs     map[string]int
	rejected bool
}

func startCopyingUpstream(t *testing.T, copyAfter int) *copyingUpstream {
	t.Helper()
	u := &copyingUpstream{runs: make(map[string]int)}
	u.address = serveConnections(t, func(c net.Conn) { u.run(c, copyAfter) })
	return u
}

// run serves a connection. The copy comes before the answer with the given number.
func (u *copyingUpstream) run(c net.Conn, copyAfter int) {
	br, late := bufio.NewReader(c), ""
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		u.mu.Lock()
		first := !u.rejected
		u.rejected = true
		if !first {
			u.runs[id]++
		}
		u.mu.Unlock()
		switch {
		case first:
			late = strings.ReplaceAll("HTTP/1.1 409 Gone\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "ID", id)
			io.WriteString(c, late)
			continue
		case n == copyAfter:
			io.WriteString(c, late)
		}
		io.WriteString(c, strings.ReplaceAll(good, "ID", id))
	}
}

// A late second copy of the rejection of a request must not be taken for the answer to the
// same request, sent again: it runs, and would be sent a third time.
func TestSecondCopyOfRejectionIsTakenForAnswer(t *testing.T) {
	for between := range 4 {
		t.Run(fmt.Sprint(between, " requests between"), func(t *testing.T) {
			u := startCopyingUpstream(t, between+1)
			p, to := newPool(t), Target{ID: "u1", Address: u.address}
			if got, want := send(t, p, to, request("r1")), "rejected 409"; got != want {
				t.Fatalf("first try: got %q, want %q", got, want)
			}
			for i := range between {
				if got, want := send(t, p, to, request(fmt.Sprint("other", i))), "answered 200 ok"; got != want {
					t.Fatalf("between: got %q, want %q", got, want)
				}
			}
			if got, want := send(t, p, to, request("r1")), "answered 200 ok"; got != want {
				t.Errorf("second try: got %q, want %q, as it ran %d times", got, want, u.runs["r1"])
			}
		})
	}
}

// A connection that has carried a request is closed for its second try if the limit allows
// no other one.
func TestSecondTryAtConnectionLimit(t *testing.T) {
	s := serve(t, answer{text: "HTTP/1.1 409 Gone\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}, answer{text: good})
	p := newPool(t)
	to := s.target()
	to.MaxConnections = 1
	send(t, p, to, request("r1"))
	if got, want := send(t, p, to, request("r1")), "answered 200 ok"; got != want {
		t.Errorf("second try: got %q, want %q", got, want)
	}
	if open, _ := p.Counts(); open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
}

// A request that fails on a reused connection may have run, so it is not sent
// again.
func TestFailedRequestIsNotRetried(t *testing.T) {
	s := serve(t, answer{text: good}, answer{then: closeConn}, answer{text: good})
	p := newPool(t)
	send(t, p, s.target(), request("r1"))
	if got, want := send(t, p, s.target(), request("r2")), "unknown"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	time.Sleep(50 * time.Millisecond)
	if got, want := s.requests.Load(), int64(2); got != want {
		t.Errorf("the upstream saw %d requests, want %d", got, want)
	}
}

func TestReusedAddressGetsNewConnection(t *testing.T) {
	s := serve(t, answer{text: good}, answer{text: good})
	p := newPool(t)
	send(t, p, s.target(), request("r1"))
	send(t, p, Target{ID: "u2", Address: s.address}, request("r2"))
	if got, want := s.connections.Load(), int64(2); got != want {
		t.Errorf("%d connections, want %d", got, want)
	}
}

func TestConnectionLimit(t *testing.T) {
	s := serve(t, answer{text: "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nok"}, answer{text: good})
	p := newPool(t)
	to := s.target()
	to.MaxConnections = 1
	first := p.Send(context.Background(), to, request("r1")).(*Answered)
	if got, want := send(t, p, to, request("r2")), "not sent"; got != want {
		t.Errorf("over the limit: got %q, want %q", got, want)
	}
	first.Close()
	if got, want := send(t, p, to, request("r3")), "answered 200 ok"; got != want {
		t.Errorf("after the first answer was closed: got %q, want %q", got, want)
	}
}

// A canceled send closes the connection, which tells the upstream to stop.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		io.Copy(io.Discard, c)
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	o := newPool(t).Send(ctx, Target{ID: "u1", Address: ln.Addr().String()}, request("r1"))
	if _, ok := o.(Unknown); !ok {
		t.Errorf("got %T, want Unknown", o)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the upstream's connection is still open")
	}
}

func TestRequestIsWrittenWithoutPermission(t *testing.T) {
	var seen atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { seen.Add(1) }))
	defer srv.Close()
	refused := errors.New("refused")
	p := NewPool(Config{Classify: func(int, http.Header) Reply { return Reply{} }, Permit: func(context.Context, Target, Request) error { return refused }, Log: zap.NewNop()})
	defer p.Close()
	outcome := p.Send(context.Background(), Target{ID: "u", Address: srv.Listener.Addr().String()}, Request{Method: http.MethodGet, URI: "/", Host: "h"})
	o, ok := outcome.(NotSent)
	if !ok || !errors.Is(o.Err, refused) || !o.Local {
		t.Errorf("got %#v, want a local NotSent for the refusal", outcome)
	}
	if got := seen.Load(); got != 0 {
		t.Errorf("the upstream got %d requests, want none", got)
	}
}
