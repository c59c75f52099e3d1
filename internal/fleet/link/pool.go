package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Local Local
	Auth  Auth
	// HeartbeatInterval is the time between heartbeats of a session; 0 means
	// 500 ms.
	HeartbeatInterval time.Duration
	// HeartbeatTimeout is the longest wait for the reply to a heartbeat; 0 means
	// 1500 ms.
	HeartbeatTimeout time.Duration
	// IdleTimeout closes a session that has no open stream and on which none was
	// opened for this time; 0 means 10 s.
	IdleTimeout time.Duration
	// DialTimeout is the longest time to open a connection; 0 means 1 s. TCP
	// retransmits a lost SYN after one second, so with a shorter timeout a new
	// dial reaches a peer that has just come back sooner than the retransmission.
	DialTimeout time.Duration
	// OnPong is called with each heartbeat reply; nil ignores them.
	OnPong func(address string, pong *fleetpb.Pong)
	Log    *zap.Logger
}

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultHeartbeatTimeout  = 1500 * time.Millisecond
	defaultIdleTimeout       = 10 * time.Second
	defaultDialTimeout       = time.Second
)

// Pool dials other processes and keeps one session per address. It is safe for
// concurrent use.
type Pool struct {
	cfg    PoolConfig
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
	wg     sync.WaitGroup
}

// peer is the session to one address.
type peer struct {
	mu sync.Mutex
	// link is the last session that was opened.
	link openLink
	// opening is the attempt to open a session, nil if there is none.
	opening *opening
	// lastUsed is when a stream was last opened.
	lastUsed time.Time
}

// closeIdle closes the session if no stream was opened within the timeout and
// only the heartbeat stream is open, and reports whether it did.
func (pr *peer) closeIdle(session *yamux.Session, timeout time.Duration) bool {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if time.Since(pr.lastUsed) < timeout || session.NumStreams() > 1 {
		return false
	}
	session.Close()
	return true
}

// NewPool returns an empty Pool. Sessions are dialled on demand.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = defaultHeartbeatInterval
	}
	if cfg.HeartbeatTimeout == 0 {
		cfg.HeartbeatTimeout = defaultHeartbeatTimeout
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	p := &Pool{cfg: cfg, peers: make(map[string]*peer)}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errPoolClosed
	}
	pr := p.peers[address]
	if pr == nil {
		pr = &peer{}
		p.peers[address] = pr
	}
	return pr, nil
}

// OpenStream opens a stream to an address, dialling if there is no open session. It
// returns at the latest when ctx is done.
func (p *Pool) OpenStream(ctx context.Context, address string) (*Stream, error) {
	pr, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	l, err := p.session(ctx, pr, address)
	if err != nil {
		return nil, err
	}
	raw, err := l.session.OpenStream()
	if err != nil {
		l.session.Close()
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return newStream(p.cfg.Local, l.conn, raw), nil
}

// errNoMessage reports a reply without a message, or with one that this version does not know.
var errNoMessage = errors.New("it has no message known here; bring the processes to one version")

// RoundTrip sends one Envelope on a new stream and returns the reply. A Failure
// is returned as a *FailureError.
func (p *Pool) RoundTrip(ctx context.Context, address string, e *fleetpb.Envelope) (*fleetpb.Envelope, error) {
	st, err := p.OpenStream(ctx, address)
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
	if reply.Body == nil {
		return nil, fmt.Errorf("reply of %s: %w", address, errNoMessage)
	}
	return reply, nil
}

// Close closes all sessions and waits for their heartbeat goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	peers := p.peers
	p.peers = make(map[string]*peer)
	p.mu.Unlock()
	for _, pr := range peers {
		pr.mu.Lock()
		if pr.link.session != nil {
			pr.link.session.Close()
		}
		pr.mu.Unlock()
	}
	p.wg.Wait()
	return nil
}

// FailureError is a typed failure returned by a peer.
type FailureError struct{ Failure *fleetpb.Failure }

// Error returns the kind, the detail and the remedy.
func (e *FailureError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Failure.Kind, e.Failure.Detail, e.Failure.Remedy)
}
