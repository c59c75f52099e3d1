package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Handler serves one stream, whose first Envelope has been read. The stream
// is closed when it returns.
type Handler func(ctx context.Context, s *Stream, first *fleetpb.Envelope)

// ServerConfig builds a Server.
type ServerConfig struct {
	// Address is the TCP address as IP:port; Listener goes before it.
	Address  string
	Listener net.Listener
	Local    Local
	Auth     Auth
	Handle   Handler
	// Pong adds to the answer of a heartbeat; nil adds nothing.
	Pong func(*fleetpb.Pong)
	Log  *zap.Logger
}

// Server accepts sessions of other processes.
type Server struct {
	cfg    ServerConfig
	ln     net.Listener
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	open   map[*yamux.Session]bool
}

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.LogOutput = io.Discard
	cfg.AcceptBacklog = 1024
	cfg.ConnectionWriteTimeout = 5 * time.Second
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = 30 * time.Second
	return cfg
}

// Listen starts a Server.
func Listen(cfg ServerConfig) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	ln := cfg.Listener
	if ln == nil {
		var err error
		ln, err = net.Listen("tcp", cfg.Address)
		if err != nil {
			return nil, fmt.Errorf("listen for links: %w; check the setting listen.link", err)
		}
	}
	s := &Server{cfg: cfg, ln: ln, open: make(map[*yamux.Session]bool)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address it listens on.
func (s *Server) Address() string { return s.ln.Addr().String() }

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.cfg.Log.Warn("accept link", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.wg.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.wg.Done()
	secured, err := s.cfg.Auth.server(conn)
	if err != nil {
		s.cfg.Log.Warn("link refused", zap.Error(err))
		conn.Close()
		return
	}
	session, err := yamux.Server(&coalescer{Conn: secured}, yamuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	if !s.track(session) {
		session.Close()
		return
	}
	defer s.untrack(session)
	for {
		raw, err := session.AcceptStream()
		if err != nil {
			session.Close()
			return
		}
		s.wg.Add(1)
		go s.stream(raw)
	}
}

func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.open[session] = true
	return true
}

func (s *Server) untrack(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, session)
}

func (s *Server) stream(raw *yamux.Stream) {
	defer s.wg.Done()
	st := newStream(s.cfg.Local, raw)
	defer st.Close()
	first, err := st.Recv()
	if err != nil {
		return
	}
	if ping := first.GetPing(); ping != nil {
		s.pong(st, ping)
		return
	}
	s.cfg.Handle(s.ctx, st, first)
}

// pong answers the heartbeats of a session until it ends.
func (s *Server) pong(st *Stream, ping *fleetpb.Ping) {
	for {
		pong := &fleetpb.Pong{Seq: ping.GetSeq(), ConfirmedMs: -1}
		if s.cfg.Pong != nil {
			s.cfg.Pong(pong)
		}
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Pong{Pong: pong}}); err != nil {
			return
		}
		e, err := st.Recv()
		if err != nil {
			return
		}
		ping = e.GetPing()
	}
}

// Close stops accepting, ends all sessions and waits for the handlers. Closing
// it again does nothing.
func (s *Server) Close() error {
	if s.ctx.Err() != nil {
		return nil
	}
	err := s.ln.Close()
	s.cancel()
	s.mu.Lock()
	for session := range s.open {
		session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}
