package link

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// slowCloser is a listener whose connections take a while to close.
type slowCloser struct {
	net.Listener
	delay time.Duration
}

func (l slowCloser) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.delay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Close() error {
	time.Sleep(c.delay)
	return c.Conn.Close()
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Streams that wait for a message when their session ends must end with it, and not
// use the processor until the connection is closed.
func TestReadersDoNotSpinWhileSessionCloses(t *testing.T) {
	const delay, readers = 400 * time.Millisecond, 8
	key := []byte("a key for the tests")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	waiting := make(chan struct{}, readers)
	s, err := Listen(ServerConfig{Listener: slowCloser{ln, delay}, Auth: Auth{Key: key}, Handle: func(_ context.Context, st *Stream, _ *fleetpb.Envelope) {
		waiting <- struct{}{}
		_, _ = st.Recv()
	}})
	if err != nil {
		t.Fatal(err)
	}
	pool := newPool(t, key)
	for range readers {
		st, err := pool.OpenStream(context.Background(), ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: &fleetpb.Watch{}}}); err != nil {
			t.Fatal(err)
		}
		<-waiting
	}
	before := processorTime(t)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got, limit := processorTime(t)-before, delay/4; got > limit {
		t.Errorf("closing took %v of processor time, want at most %v", got, limit)
	}
}

// A handler that panics ends its stream, and neither the process nor the session.
func TestPanicEndsItsStreamAlone(t *testing.T) {
	key := []byte("a key for the tests")
	s, err := Listen(ServerConfig{Address: "127.0.0.1:0", Auth: Auth{Key: key}, Handle: func(_ context.Context, st *Stream, first *fleetpb.Envelope) {
		if first.GetWatch().GetVersion() == 1 {
			panic("planted")
		}
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: &fleetpb.News{}}})
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	pool := newPool(t, key)
	call := func(version uint64) error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := pool.RoundTrip(ctx, s.Address(), &fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: &fleetpb.Watch{Version: &version}}})
		return err
	}
	if err := call(1); err == nil {
		t.Error("a call whose handler panicked was answered")
	}
	if err := call(2); err != nil {
		t.Errorf("the next call failed: %v", err)
	}
}
