package transport

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// sweepEvery is the time between searches for connections that have expired.
const sweepEvery = time.Second

// Config builds a Pool.
type Config struct {
	// Classify reads the headers of an answer.
	Classify func(status int, h http.Header) Reply
	Log      *zap.Logger
}

// FullError says that an upstream has all the connections it may have from
// here.
type FullError struct{ Target Target }

// Error names the remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("upstream %s has %d connections from here; use another or wait", e.Target.ID, e.Target.MaxConnections)
}

// errClosed refuses a send on a closed pool.
var errClosed = errors.New("the pool of upstream connections is closed; the process is stopping")

// Pool keeps the connections to the upstreams. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	hosts  map[string]*host
	closed bool
	dialed int64
	done   chan struct{}
	wg     sync.WaitGroup
}

// host is the connections to one identity at one address.
type host struct {
	target Target
	idle   []*conn
	open   int
}

// NewPool returns a Pool without connections.
func NewPool(cfg Config) *Pool {
	p := &Pool{cfg: cfg, hosts: make(map[string]*host), done: make(chan struct{})}
	p.wg.Add(1)
	go p.sweep()
	return p
}

func (p *Pool) host(t Target) *host {
	h := p.hosts[t.ID]
	if h != nil && h.target.Address != t.Address {
		h.closeIdle()
		h = nil
	}
	if h == nil {
		h = &host{}
		p.hosts[t.ID] = h
	}
	h.target = t
	return h
}

func (h *host) closeIdle() {
	for _, c := range h.idle {
		c.Close()
	}
	h.open -= len(h.idle)
	h.idle = nil
}

// take returns a kept connection, or the right to dial one.
func (p *Pool) take(t Target) (*conn, *host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClosed
	}
	h := p.host(t)
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.quiet() {
			return c, h, nil
		}
		c.Close()
		h.open--
	}
	if t.MaxConnections > 0 && h.open >= t.MaxConnections {
		return nil, nil, &FullError{Target: t}
	}
	h.open++
	p.dialed++
	return nil, h, nil
}

// get returns a connection on which a request may be sent.
func (p *Pool) get(ctx context.Context, t Target) (*conn, *host, error) {
	c, h, err := p.take(t)
	if err != nil || c != nil {
		return c, h, err
	}
	c, err = dial(ctx, t)
	if err != nil {
		p.mu.Lock()
		h.open--
		p.mu.Unlock()
		return nil, nil, err
	}
	return c, h, nil
}

// release keeps a connection whose answer was read to its end, or closes it.
func (p *Pool) release(c *conn, h *host, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep && !p.closed && p.hosts[c.target.ID] == h && c.br.Buffered() == 0 {
		h.idle = append(h.idle, c)
		return
	}
	h.open--
	c.Close()
}

// Forget closes the idle connections to an upstream that has gone.
func (p *Pool) Forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		h.closeIdle()
		delete(p.hosts, id)
	}
}

// Counts returns the open connections and how many were dialled so far.
func (p *Pool) Counts() (open int, dialed int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		open += h.open
	}
	return open, p.dialed
}

func (p *Pool) sweep() {
	defer p.wg.Done()
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-t.C:
			p.expire(now)
		}
	}
}

func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		var kept []*conn
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
			h.open--
		}
		h.idle = kept
	}
}

// Close closes the idle connections. Those in use are closed once their
// answers have been read.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	for _, h := range p.hosts {
		h.closeIdle()
	}
	p.mu.Unlock()
	close(p.done)
	p.wg.Wait()
	return nil
}
