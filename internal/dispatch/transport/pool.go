package transport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/backoff"
)

// expiryInterval is the time between checks for expired idle connections.
const expiryInterval = time.Second

// Config configures a Pool.
type Config struct {
	// Classify interprets the status and headers of an answer.
	Classify func(status int, h http.Header) Reply
	// Permit is called right before a request is written; an error keeps it from
	// being sent. nil permits all.
	Permit func(ctx context.Context, t Target, r Request) error
	// Admit is called once for each request, before a connection is taken for it; an error
	// keeps it from being sent. nil admits all.
	Admit func(t Target, r Request) error
	// OnSignal is called with what an answer says of its upstream, if anything, before
	// Send returns. Answers that do not belong to the request or are of another upstream
	// say nothing. It must not block. nil ignores it.
	OnSignal func(t Target, s backoff.Signal)
	Log      *zap.Logger
}

// ConnectionLimitError reports that the maximum number of connections to an
// upstream is in use.
type ConnectionLimitError struct{ Target Target }

// Error returns the reason together with a remedy.
func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("upstream %s has %d connections from here; use another or wait", e.Target.ID, e.Target.MaxConnections)
}

// errClosed reports a send on a closed pool.
var errClosed = errors.New("the pool of upstream connections is closed; the process is stopping")

// Pool keeps the connections to the upstreams. It is safe for concurrent use.
type Pool struct {
	cfg       Config
	mu        sync.Mutex
	upstreams map[string]*upstreamConns
	closed    bool
	dialed    int64
	unmarked  int64
	done      chan struct{}
	wg        sync.WaitGroup
}

// upstreamConns holds the connections to one upstream at one address.
type upstreamConns struct {
	target Target
	idle   []*conn
	// open is the number of connections, idle, in use or being dialed.
	open int
}

// NewPool returns a Pool without connections.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, upstreams: make(map[string]*upstreamConns), done: make(chan struct{})}
	p.wg.Add(1)
	go p.expireLoop()
	return p
}

// upstream returns the connections to an upstream, and closes the idle ones if its
// address has changed. The caller holds mu.
func (p *Pool) upstream(t Target) *upstreamConns {
	u := p.upstreams[t.ID]
	if u != nil && u.target.Address != t.Address {
		u.closeIdle()
		u = nil
	}
	if u == nil {
		u = &upstreamConns{}
		p.upstreams[t.ID] = u
	}
	u.target = t
	return u
}

func (u *upstreamConns) closeIdle() {
	for _, c := range u.idle {
		c.Close()
	}
	u.open -= len(u.idle)
	u.idle = nil
}

// takeIdle returns the idle connection used last that fits a request, or nil. It closes
// those that cannot be used any more.
func (u *upstreamConns) takeIdle(r Request) *conn {
	for i := len(u.idle) - 1; i >= 0; i-- {
		c := u.idle[i]
		if !c.fits(r) {
			continue
		}
		u.idle = slices.Delete(u.idle, i, i+1)
		if c.reusable() {
			return c
		}
		c.Close()
		u.open--
	}
	return nil
}

// closeOneIdle closes an idle connection to make room for a new one, and reports whether
// there was one.
func (u *upstreamConns) closeOneIdle() bool {
	if len(u.idle) == 0 {
		return false
	}
	u.idle[0].Close()
	u.idle = u.idle[1:]
	u.open--
	return true
}

// acquire returns an idle connection that fits a request, or nil after reserving one of the
// connections of the upstream for the caller to dial.
func (p *Pool) acquire(t Target, r Request) (*conn, *upstreamConns, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	u := p.upstream(t)
	if c := u.takeIdle(r); c != nil {
		return c, u, nil
	}
	if t.MaxConnections > 0 && u.open >= t.MaxConnections && !u.closeOneIdle() {
		return nil, nil, &ConnectionLimitError{Target: t}
	}
	u.open++
	p.dialed++
	return nil, u, nil
}

// get returns an idle or a new connection for a request.
func (p *Pool) get(ctx context.Context, t Target, r Request) (*conn, *upstreamConns, error) {
	c, u, err := p.acquire(t, r)
	if err != nil || c != nil {
		return c, u, err
	}
	c, err = dial(ctx, t)
	if err != nil {
		p.mu.Lock()
		u.open--
		p.mu.Unlock()
		return nil, nil, err
	}
	c.identity = r.identity()
	return c, u, nil
}

// release returns a connection to the pool if keep is set and it is still usable,
// or closes it.
func (p *Pool) release(c *conn, u *upstreamConns, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep && !p.closed && p.upstreams[c.target.ID] == u && c.br.Buffered() == 0 && !c.carried.full() {
		u.idle = append(u.idle, c)
		return
	}
	u.open--
	c.Close()
}

// Forget closes the idle connections to a removed upstream.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[id]; u != nil {
		u.closeIdle()
		delete(p.upstreams, id)
	}
}

// Counts returns the number of open connections and of all dials so far.
func (p *Pool) Counts() (open int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		open += u.open
	}
	return open, p.dialed
}

// Unmarked returns the number of answers so far, to requests with Request.Marked, whose
// connections were given up as a second copy of the answer could not be told.
func (p *Pool) Unmarked() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unmarked
}

// countUnmarked counts the end of an answer for Unmarked.
func (p *Pool) countUnmarked(r Request, marked bool) {
	if r.identity() != byMarks || marked {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmarked++
}

func (p *Pool) expireLoop() {
	defer p.wg.Done()
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-t.C:
			p.closeExpired(now)
		}
	}
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		var unexpired []*conn
		for _, c := range u.idle {
			if now.Before(c.expires) {
				unexpired = append(unexpired, c)
				continue
			}
			c.Close()
			u.open--
		}
		u.idle = unexpired
	}
}

// Close closes the idle connections. Connections in use are closed when their
// answers have been read.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	for _, u := range p.upstreams {
		u.closeIdle()
	}
	p.mu.Unlock()
	close(p.done)
	p.wg.Wait()
	return nil
}
