package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

var testKey = []byte("a fleet key for the tests")

func echo(_ context.Context, s *Stream, first *fleetpb.Envelope) {
	for e := first; ; {
		if err := s.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Data: e.GetCall().GetInput()}}}); err != nil {
			return
		}
		next, err := s.Recv()
		if err != nil {
			return
		}
		e = next
	}
}

func listen(t testing.TB, key []byte) *Server {
	t.Helper()
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Local: Local{Name: "server"}, Auth: Auth{Key: key}, Handle: echo})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func newPool(t testing.TB, key []byte) *Pool {
	t.Helper()
	p := NewPool(PoolConfig{Local: Local{Name: "client"}, Auth: Auth{Key: key}, Heartbeat: 50 * time.Millisecond, Silence: 300 * time.Millisecond})
	t.Cleanup(func() { p.Close() })
	return p
}

func callWith(text string) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Call{Call: &fleetpb.Call{Input: []byte(text)}}}
}

func TestAskAnswers(t *testing.T) {
	s, p := listen(t, testKey), newPool(t, testKey)
	e, err := p.Ask(context.Background(), s.Address(), callWith("hello"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(e.GetChunk().GetData()), "hello"; got != want {
		t.Errorf("answer %q, want %q", got, want)
	}
}

// A process without the fleet's key can neither be obeyed nor be joined.
func TestStrangerIsRefused(t *testing.T) {
	s := listen(t, testKey)
	stranger := newPool(t, []byte("another key, as long as that"))
	if _, err := stranger.Ask(context.Background(), s.Address(), callWith("obey")); err == nil {
		t.Error("a caller with another key was answered")
	}
	impostor := listen(t, []byte("another key, as long as that"))
	_, err := newPool(t, testKey).Ask(context.Background(), impostor.Address(), callWith("obey"))
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Errorf("a server with another key: got %v, want an AuthError", err)
	}
}

// relay passes bytes on until it is silenced, which leaves its connections
// open.
type relay struct {
	ln     net.Listener
	target string
	silent atomic.Pointer[chan struct{}]
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{ln: ln, target: target}
	r.silence()
	go r.run()
	t.Cleanup(func() { ln.Close() })
	return r
}

// silence makes the present connections silent; later ones work.
func (r *relay) silence() {
	next := make(chan struct{})
	if was := r.silent.Swap(&next); was != nil {
		close(*was)
	}
}

func (r *relay) run() {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		silent := *r.silent.Load()
		go pipe(in, out, silent)
		go pipe(out, in, silent)
	}
}

func pipe(from, to net.Conn, silent <-chan struct{}) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			to.Close()
			return
		}
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// An open connection that goes silent for good is dropped, and the next
// request goes over a new one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	s, p := listen(t, testKey), newPool(t, testKey)
	r := newRelay(t, s.Address())
	address := r.ln.Addr().String()
	if _, err := p.Ask(context.Background(), address, callWith("before")); err != nil {
		t.Fatal(err)
	}
	r.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := p.Ask(ctx, address, callWith("lost"))
	if err == nil {
		t.Fatal("a request over a silent connection was answered")
	}
	if ctx.Err() != nil {
		t.Fatal("a silent connection was not dropped in time")
	}
	if _, err := p.Ask(ctx, address, callWith("after")); err != nil {
		t.Errorf("request over a new connection: %v", err)
	}
}

// A session that nobody uses is closed, so that heartbeats do not add up over
// all the peers ever spoken to; the next request dials anew.
func TestIdleSessionIsClosed(t *testing.T) {
	s := listen(t, testKey)
	p := NewPool(PoolConfig{Local: Local{Name: "c"}, Auth: Auth{Key: testKey}, Heartbeat: 10 * time.Millisecond, Idle: 50 * time.Millisecond})
	defer p.Close()
	open := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.open)
	}
	for range 2 {
		if _, err := p.Ask(context.Background(), s.Address(), callWith("x")); err != nil {
			t.Fatal(err)
		}
		if got, want := open(), 1; got != want {
			t.Fatalf("%d sessions, want %d", got, want)
		}
		deadline := time.Now().Add(10 * time.Second)
		for open() > 0 {
			if time.Now().After(deadline) {
				t.Fatal("an idle session stays open")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func TestCloseWaits(t *testing.T) {
	defer goleak.VerifyNone(t)
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Local: Local{Name: "s"}, Auth: Auth{Key: testKey}, Handle: echo})
	if err != nil {
		t.Fatal(err)
	}
	p := NewPool(PoolConfig{Local: Local{Name: "c"}, Auth: Auth{Key: testKey}})
	if _, err := p.Ask(context.Background(), s.Address(), callWith("x")); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(p.Close(), s.Close()); err != nil && !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

func BenchmarkAsk(b *testing.B) {
	s, p := listen(b, testKey), newPool(b, testKey)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Ask(context.Background(), s.Address(), callWith("hello")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChunk is one chunk in each direction of an open stream.
func BenchmarkChunk(b *testing.B) {
	s, p := listen(b, testKey), newPool(b, testKey)
	st, err := p.Open(context.Background(), s.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer st.Close()
	e := callWith("a chunk of eight tokens or so, forty bytes")
	b.ReportAllocs()
	for b.Loop() {
		if err := st.Send(e); err != nil {
			b.Fatal(err)
		}
		if _, err := st.Recv(); err != nil {
			b.Fatal(err)
		}
	}
}
