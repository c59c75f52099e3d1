package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// PoolConfig builds a Pool.
type PoolConfig struct {
	Local Local
	Auth  Auth
	// Heartbeat is the time between heartbeats of a session; 0 is 500 ms.
	Heartbeat time.Duration
	// Silence is the longest wait for a heartbeat's answer; 0 is 1500 ms.
	Silence time.Duration
	// Idle is the time without a stream after which a session is closed; 0 is
	// 10 s.
	Idle time.Duration
	// Dial is the longest time to open a connection; 0 is 1 s. Less than the
	// second after which a lost opening packet is sent again makes a peer that
	// has just come back be found sooner.
	Dial time.Duration
	// Pong receives the answers of heartbeats; nil drops them.
	Pong func(address string, pong *fleetpb.Pong)
	Log  *zap.Logger
}

const (
	defaultHeartbeat = 500 * time.Millisecond
	defaultSilence   = 1500 * time.Millisecond
	defaultIdle      = 10 * time.Second
	defaultDial      = time.Second
)

// Pool dials the other processes and keeps one session to each.
type Pool struct {
	cfg    PoolConfig
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	wg     sync.WaitGroup
}

// peer is the session to one address. mu is held while dialling, so that one
// dial serves all who wait.
type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// used is when a stream was last opened.
	used time.Time
}

// closeIdle closes a session if no stream was opened for a time and none is open but
// the heartbeat's; the next stream dials anew.
func (pr *peer) closeIdle(session *yamux.Session, after time.Duration) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if time.Since(pr.used) < after || session.NumStreams() > 1 {
		return false
	}
	session.Close()
	return true
}

// NewPool returns a Pool without sessions.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.Silence == 0 {
		cfg.Silence = defaultSilence
	}
	if cfg.Dial == 0 {
		cfg.Dial = defaultDial
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	return &Pool{cfg: cfg, peers: make(map[string]*peer)}
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, fmt.Errorf("link pool is closed: %w", net.ErrClosed)
	}
	have := p.peers[address]
	if have == nil {
		have = &peer{}
		p.peers[address] = have
	}
	return have, nil
}

// Open starts a stream to an address, dialling where there is no session.
func (p *Pool) Open(ctx context.Context, address string) (*Stream, error) {
	pr, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	session, err := p.session(ctx, pr, address)
	if err != nil {
		return nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		session.Close()
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return newStream(p.cfg.Local, raw), nil
}

func (p *Pool) session(ctx context.Context, pr *peer, address string) (*yamux.Session, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.used = time.Now()
	if pr.session != nil && !pr.session.IsClosed() {
		return pr.session, nil
	}
	d := net.Dialer{Timeout: p.cfg.Dial}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	secured, err := p.cfg.Auth.client(conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(&coalescer{Conn: secured}, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("start session with %s: %w", address, err)
	}
	if !p.adopt(pr, session, address) {
		session.Close()
		return nil, fmt.Errorf("link pool is closed: %w", net.ErrClosed)
	}
	pr.session = session
	return session, nil
}

func (p *Pool) adopt(pr *peer, session *yamux.Session, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Add(1)
	go p.beat(pr, session, address)
	return true
}

// beat sends heartbeats and ends the session when one is not answered.
func (p *Pool) beat(pr *peer, session *yamux.Session, address string) {
	defer p.wg.Done()
	defer session.Close()
	raw, err := session.OpenStream()
	if err != nil {
		return
	}
	st := newStream(p.cfg.Local, raw)
	defer st.Close()
	ticker := time.NewTicker(p.cfg.Heartbeat)
	defer ticker.Stop()
	for seq := uint64(1); ; seq++ {
		pong, err := p.ping(st, seq)
		if err != nil {
			if !session.IsClosed() {
				p.cfg.Log.Warn("session silent, dropped", zap.String("address", address), zap.Error(err))
			}
			return
		}
		if p.cfg.Pong != nil {
			p.cfg.Pong(address, pong)
		}
		if pr.closeIdle(session, p.cfg.Idle) {
			return
		}
		select {
		case <-session.CloseChan():
			return
		case <-ticker.C:
		}
	}
}

func (p *Pool) ping(st *Stream, seq uint64) (*fleetpb.Pong, error) {
	deadline := time.Now().Add(p.cfg.Silence)
	if err := st.raw.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Ping{Ping: &fleetpb.Ping{Seq: seq}}}); err != nil {
		return nil, err
	}
	e, err := st.Recv()
	if err != nil {
		return nil, err
	}
	if e.GetPong() == nil {
		return nil, fmt.Errorf("heartbeat answered by %T", e.Body)
	}
	return e.GetPong(), nil
}

// Ask sends one Envelope and returns its answer. A Failure is returned as a
// *FailureError.
func (p *Pool) Ask(ctx context.Context, address string, e *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	st, err := p.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := st.raw.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { st.raw.SetDeadline(time.Now()) })
	defer stop()
	if err := st.Send(e); err != nil {
		return nil, err
	}
	reply, err := st.Recv()
	if err != nil {
		return nil, err
	}
	if f := reply.GetFailure(); f != nil {
		return nil, &FailureError{Failure: f}
	}
	return reply, nil
}

// Close ends all sessions and waits for their heartbeats.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	peers := p.peers
	p.peers = make(map[string]*peer)
	p.mu.Unlock()
	for _, pr := range peers {
		pr.mu.Lock()
		if pr.session != nil {
			pr.session.Close()
		}
		pr.mu.Unlock()
	}
	p.wg.Wait()
	return nil
}

// FailureError is a typed refusal of a peer.
type FailureError struct{ Failure *fleetpb.Failure }

// Error names the kind, the detail and the remedy.
func (e *FailureError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Failure.Kind, e.Failure.Detail, e.Failure.Remedy)
}
