package transport

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/backoff"
)

// newSignalPool returns a pool that reads the headers Leave and Wait of answers, and the list
// of what OnSignal was told.
func newSignalPool(t *testing.T) (*Pool, *[]string) {
	var told []string
	p := NewPool(Config{
		Classify: func(status int, h http.Header) Reply {
			wait, _ := time.ParseDuration(h.Get("Wait"))
			return Reply{
				ID: h.Get("Id"), NotExecuted: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, Misdirected: status == http.StatusMisdirectedRequest,
				Signal: backoff.Signal{Leaving: h.Get("Leave") != "", RetryAfter: wait},
			}
		},
		OnSignal: func(to Target, s backoff.Signal) {
			told = append(told, fmt.Sprintf("%s@%d %t %v", to.ID, to.StartTimeMs, s.Leaving, s.RetryAfter))
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() { p.Close() })
	return p, &told
}

// Guards against a kind of answer whose signal is lost, and against signals of answers that
// belong to another request or upstream.
func TestSignalsOfMatchingAnswers(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nId: other\r\nLeave: 1\r\nContent-Length: 2\r\n\r\nno"
	tests := []struct{ name, text, want string }{
		{"nothing said", good, "[]"},
		{"200", "HTTP/1.1 200 OK\r\nId: ID\r\nLeave: 1\r\nContent-Length: 2\r\n\r\nok", "[u1@7 true 0s]"},
		{"500", "HTTP/1.1 500 No\r\nId: ID\r\nLeave: 1\r\nContent-Length: 2\r\n\r\nno", "[u1@7 true 0s]"},
		{"503 after it may have run", "HTTP/1.1 503 No\r\nId: ID\r\nWait: 3s\r\nContent-Length: 2\r\n\r\nno", "[u1@7 false 3s]"},
		{"rejected", "HTTP/1.1 503 No\r\nId: ID\r\nNot-Run: 1\r\nWait: 3s\r\nLeave: 1\r\nContent-Length: 0\r\n\r\n", "[u1@7 true 3s]"},
		{"head of a stream without any event", "HTTP/1.1 200 OK\r\nId: ID\r\nLeave: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "[u1@7 true 0s]"},
		{"answer to another request", foreign + good, "[]"},
		{"another upstream at the address", "HTTP/1.1 421 No\r\nLeave: 1\r\nWait: 3s\r\nContent-Length: 0\r\n\r\n", "[]"},
		{"interim answer", "HTTP/1.1 103 Hints\r\nLeave: 1\r\n\r\n" + good, "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, answer{text: tt.text})
			p, told := newSignalPool(t)
			to := s.target()
			to.StartTimeMs = 7
			if o, ok := p.Send(t.Context(), to, request("r1")).(*Answered); ok {
				o.Discard()
			}
			if got := fmt.Sprint(*told); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a late second copy of an answer on a connection in use again, which must say
// nothing.
func TestSignalOfSecondCopySaysNothing(t *testing.T) {
	s := serve(t, answer{text: good}, answer{text: "HTTP/1.1 200 OK\r\nId: r1\r\nLeave: 1\r\nContent-Length: 2\r\n\r\nok" + good})
	p, told := newSignalPool(t)
	send(t, p, s.target(), request("r1"))
	if got, want := send(t, p, s.target(), request("r2")), "answered 200 ok"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := s.connections.Load(), int64(1); got != want {
		t.Errorf("%d connections, want %d", got, want)
	}
	if len(*told) != 0 {
		t.Errorf("got %v, want nothing", *told)
	}
}

// Guards against a connection that is opened for a request that may not be sent.
func TestRequestThatIsNotAdmittedOpensNoConnection(t *testing.T) {
	s := serve(t, answer{text: good})
	refused := errors.New("refused")
	p := NewPool(Config{Admit: func(Target, Request) error { return refused }, Log: zap.NewNop()})
	defer p.Close()
	o, ok := p.Send(t.Context(), s.target(), request("r1")).(NotSent)
	if !ok || !errors.Is(o.Err, refused) || !o.Local {
		t.Errorf("got %#v, want a local NotSent for the refusal", o)
	}
	if _, dialed := p.Counts(); dialed != 0 {
		t.Errorf("%d connections were opened, want none", dialed)
	}
}
