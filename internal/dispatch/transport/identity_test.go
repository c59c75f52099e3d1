package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oddAnswers are answers that bear neither an ID nor marks. MARK stands for a mark.
var oddAnswers = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n",
	"HTTP/1.1 204 Empty\r\n\r\n",
	"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
	"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
}

// step is what an upstream does with one request: it sends its answer, and a second copy of
// that before the answer which comes on the connection after lateBy further ones.
type step struct {
	// odd is an index of oddAnswers, negative for an answer with the marks of the request.
	odd    int
	marks  int
	copied bool
	lateBy int
}

// lateUpstream follows a script of steps, over all its connections.
type lateUpstream struct {
	address string
	mu      sync.Mutex
	script  []step
}

func startLateUpstream(t interface {
	Fatalf(format string, args ...any)
}, script []step,
) (*lateUpstream, func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	u := &lateUpstream{address: ln.Addr().String(), script: script}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u, func() { ln.Close() }
}

func (u *lateUpstream) next() step {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.script) == 0 {
		return step{odd: -1, marks: 1}
	}
	s := u.script[0]
	u.script = u.script[1:]
	return s
}

func (u *lateUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	late := make(map[int]string)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if text, ok := late[n]; ok {
			io.WriteString(c, text)
			time.Sleep(time.Millisecond)
		}
		s := u.next()
		text := s.text(string(body))
		if s.copied {
			late[n+1+s.lateBy] = text
		}
		io.WriteString(c, text)
	}
}

// text returns the answer to a request. Its marks are the body of the request with a number.
func (s step) text(request string) string {
	if s.odd >= 0 {
		return oddAnswers[s.odd]
	}
	var marks []string
	for i := range s.marks {
		marks = append(marks, fmt.Sprint(request, ".", i))
	}
	body := strings.Join(marks, " ")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// exchangeMarked sends a request with Marked set as a caller does, and returns the body of
// the answer if it is taken for the answer to the request, and whether it has marks.
func exchangeMarked(p *Pool, to Target, r Request) (body string, taken bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	o, ok := p.Send(ctx, to, r).(*Answered)
	if !ok {
		return "", false
	}
	defer o.Close()
	text, err := io.ReadAll(o.Body)
	if err != nil || o.Status != http.StatusOK {
		return "", false
	}
	if !strings.Contains(string(text), ".") {
		return string(text), true
	}
	return string(text), o.Identify(strings.Fields(string(text)))
}

func markedRequest(name string) Request {
	return Request{Marked: true, Method: http.MethodPost, URI: "/run", Host: "h", Header: http.Header{}, Body: []byte(name)}
}

// Guards against a late second copy of any answer, with and without marks, that is taken for
// the answer to another request. The scripts mix answers, copies, how late these come, and
// requests of all three kinds, one after the other and side by side.
func TestLateCopyIsTakenForAnswerToAnotherRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.Custom(func(rt *rapid.T) step {
			return step{
				odd:    rapid.IntRange(-8, len(oddAnswers)-1).Draw(rt, "odd"),
				marks:  rapid.IntRange(1, 3).Draw(rt, "marks"),
				copied: rapid.Bool().Draw(rt, "copied"),
				lateBy: rapid.IntRange(0, 3).Draw(rt, "late"),
			}
		})
		script := rapid.SliceOfN(steps, 1, 20).Draw(rt, "script")
		odd := 0
		for _, s := range script {
			if s.odd >= 0 {
				odd++
			}
		}
		u, stop := startLateUpstream(rt, script)
		defer stop()
		p := newPoolWithoutTest()
		defer p.Close()
		oddTaken := 0
		for i := range len(script) + 3 {
			name := fmt.Sprint("r", i, "-")
			r := markedRequest(name)
			r.Marked = rapid.IntRange(0, 3).Draw(rt, "kind") > 0
			body, taken := exchangeMarked(p, Target{ID: "u", Address: u.address}, r)
			switch {
			case !taken:
			case !strings.Contains(body, "."):
				oddTaken++
			case !strings.HasPrefix(body, name):
				rt.Fatalf("request %s got %q", name, body)
			}
		}
		if oddTaken > odd {
			rt.Fatalf("%d answers without marks were taken, the upstream gave %d: a copy was taken", oddTaken, odd)
		}
	})
}

// Guards against copies that come after more answers than a connection remembers, and against
// a connection that remembers without a bound: it is given up before.
func TestConnectionIsGivenUpBeforeItForgets(t *testing.T) {
	tests := []struct {
		name string
		next func(i int) Request
	}{
		{"marks", func(i int) Request { return markedRequest(fmt.Sprint("r", i)) }},
		{"request IDs", func(i int) Request { return request(fmt.Sprint("r", i)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			script := make([]answer, 2*maxCarried)
			for i := range script {
				script[i].text = good
				if tt.name == "marks" {
					script[i].text = step{odd: -1, marks: 1}.text(fmt.Sprint("r", i))
				}
			}
			s, p := serve(t, script...), newPool(t)
			for i := range maxCarried + 1 {
				if _, taken := exchangeMarked(p, s.target(), tt.next(i)); !taken && tt.name == "marks" {
					t.Fatalf("request %d got no answer", i)
				}
				if open, _ := p.Counts(); i == maxCarried-1 && open != 0 {
					t.Errorf("%d connections are open after %d requests, want none", open, i+1)
				}
			}
			if got, want := s.connections.Load(), int64(2); got != want {
				t.Errorf("%d connections, want %d", got, want)
			}
		})
	}
}

// Guards against a rejection that is taken for the answer to the same request, sent again
// after more requests than a connection remembered before: 32.
func TestSecondTryAfterManyRequests(t *testing.T) {
	const between = 40
	u := startCopyingUpstream(t, between+1)
	p, to := newPool(t), Target{ID: "u1", Address: u.address}
	send(t, p, to, request("r1"))
	for i := range between {
		send(t, p, to, request(fmt.Sprint("other", i)))
	}
	if got, want := send(t, p, to, request("r1")), "answered 200 ok"; got != want {
		t.Errorf("second try: got %q, want %q", got, want)
	}
}

// Guards against requests of different kinds that share a connection: the answer to one,
// or a copy of it, would come where that to the other is due.
func TestKindsShareNoConnection(t *testing.T) {
	kinds := map[string]Request{"ID": request("r1"), "marks": markedRequest("r2"), "neither": {Method: http.MethodPost, URI: "/free", Host: "h", Header: http.Header{}}}
	marked := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nr2.0"
	for first, a := range kinds {
		for second, b := range kinds {
			t.Run(first+", "+second, func(t *testing.T) {
				s, p := serve(t, answer{text: marked}, answer{text: marked}), newPool(t)
				exchangeMarked(p, s.target(), a)
				exchangeMarked(p, s.target(), b)
				if got := s.connections.Load(); first != second && got != 2 || first == "neither" && got != 2 {
					t.Errorf("%d connections, want 2", got)
				}
			})
		}
	}
}

// Guards against an answer that bears an ID and is taken for that to a request without one.
func TestAnswerWithIDIsNotForRequestWithout(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nr1.0"
	s, p := serve(t, answer{text: text + step{odd: -1, marks: 1}.text("r1")}, answer{text: text}), newPool(t)
	if body, taken := exchangeMarked(p, s.target(), markedRequest("r1")); taken {
		t.Errorf("got %q, want no answer", body)
	}
	if open, _ := p.Counts(); open != 0 {
		t.Errorf("%d connections are open, want none", open)
	}
}

// Guards against answers that cost a connection and are counted nowhere.
func TestUnmarkedAnswersAreCounted(t *testing.T) {
	s, p := serve(t, answer{text: oddAnswers[1]}, answer{text: oddAnswers[5]}, answer{text: step{odd: -1, marks: 1}.text("r")}), newPool(t)
	for range 3 {
		exchangeMarked(p, s.target(), markedRequest("r"))
	}
	if got, want := p.Unmarked(), int64(2); got != want {
		t.Errorf("%d answers counted, want %d", got, want)
	}
}

// BenchmarkSend measures what a request costs whose answer leaves its connection in use, and
// one whose answer does not.
func BenchmarkSend(b *testing.B) {
	for name, odd := range map[string]int{"kept": -1, "given_up": 1} {
		b.Run(name, func(b *testing.B) {
			script := make([]step, b.N)
			for i := range script {
				script[i] = step{odd: odd, marks: 1}
			}
			u, stop := startLateUpstream(b, script)
			defer stop()
			p := newPoolWithoutTest()
			defer p.Close()
			b.ResetTimer()
			for i := range b.N {
				exchangeMarked(p, Target{ID: "u", Address: u.address}, markedRequest(fmt.Sprint("r", i)))
			}
			_, dialed := p.Counts()
			b.ReportMetric(float64(dialed)/float64(b.N), "dials/op")
		})
	}
}
