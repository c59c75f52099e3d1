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

	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Handler serves one stream. first is the Envelope that opened the stream. The
// stream is closed when Handler returns.
type Handler func(ctx context.Context, s *Stream, first *fleetpb.Envelope)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the TCP address to listen on, as IP:port; it is ignored if
	// Listener is set.
	Address  string
	Listener net.Listener
	Local    Local
	Auth     Auth
	Handle   Handler
	// FillPong adds fields to a heartbeat reply before it is sent; nil adds none.
	FillPong func(*fleetpb.Pong)
	Log      *zap.Logger
}

// Server accepts sessions from other processes.
type Server struct {
	cfg      ServerConfig
	ln       net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	sessions map[*yamux.Session]bool
}

// yamuxConfig turns off yamux's keep-alive, as Pool sends its own heartbeats.
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

// Listen starts a Server. Close stops it.
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
	s := &Server{cfg: cfg, ln: ln, sessions: make(map[*yamux.Session]bool)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the listen address as IP:port.
func (s *Server) Address() string { return s.ln.Addr().String() }

// accept accepts connections until the listener is closed. After another error
// it pauses, so that a lasting one, such as too many open files, does not spin.
func (s *Server) accept() {
	defer s.wg.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.cfg.Log.Warn("accept connection failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.wg.Add(1)
		go s.serveConn(conn)
	}
}

// serveConn authenticates a connection and serves its streams until the session
// ends.
func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	secured, err := s.cfg.Auth.server(conn)
	if err != nil {
		s.cfg.Log.Warn("connection handshake failed", zap.Error(err))
		conn.Close()
		return
	}
	sessionConn := newSessionConn(secured)
	session, err := yamux.Server(&coalescer{Conn: sessionConn}, yamuxConfig())
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
		go s.serveStream(sessionConn, raw)
	}
}

// track records an open session for Close. It reports false if the Server is
// closed.
func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) untrack(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serveStream(conn *sessionConn, raw *yamux.Stream) {
	defer s.wg.Done()
	st := newStream(s.cfg.Local, conn, raw)
	defer st.Close()
	defer logs.Recover(s.cfg.Log, "stream", nil)
	first, err := st.Recv()
	if err != nil {
		return
	}
	if ping := first.GetPing(); ping != nil {
		s.servePings(st, ping)
		return
	}
	s.cfg.Handle(s.ctx, st, first)
}

// servePings replies to the heartbeats of a session until the stream ends.
func (s *Server) servePings(st *Stream, ping *fleetpb.Ping) {
	for {
		pong := &fleetpb.Pong{Seq: ping.GetSeq(), ConfirmedMs: -1}
		if s.cfg.FillPong != nil {
			s.cfg.FillPong(pong)
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

// Close stops accepting, closes all sessions and waits for the handlers to
// return. A second call does nothing.
func (s *Server) Close() error {
	if s.ctx.Err() != nil {
		return nil
	}
	err := s.ln.Close()
	s.cancel()
	s.mu.Lock()
	for session := range s.sessions {
		session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}
