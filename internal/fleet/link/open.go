package link

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// errPoolClosed reports a call to a closed Pool.
var errPoolClosed = fmt.Errorf("link pool is closed: %w", net.ErrClosed)

// openLink is an open session and its connection.
type openLink struct {
	session *yamux.Session
	conn    *sessionConn
}

// usable reports whether streams can be opened.
func (l openLink) usable() bool { return l.session != nil && !l.session.IsClosed() }

// opening is an attempt to open a session. All who want one share it, and each waits no
// longer than its own context allows: the attempt may take until the handshake times out.
type opening struct {
	// done is closed at the end. link and err are set before.
	done chan struct{}
	link openLink
	err  error
}

// session returns the open session to a peer, or waits for a new one.
func (p *Pool) session(ctx context.Context, pr *peer, address string) (openLink, error) {
	l, o, err := p.joinOpening(pr, address)
	if o == nil {
		return l, err
	}
	select {
	case <-o.done:
		return o.link, o.err
	case <-ctx.Done():
		return openLink{}, fmt.Errorf("open session with %s: %w", address, ctx.Err())
	}
}

// joinOpening returns the open session to a peer or else the attempt to open one, which it
// starts if there is none.
func (p *Pool) joinOpening(pr *peer, address string) (openLink, *opening, error) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lastUsed = time.Now()
	if pr.link.usable() {
		return pr.link, nil, nil
	}
	if pr.opening == nil {
		o := &opening{done: make(chan struct{})}
		if !p.start(func() { p.open(pr, address, o) }) {
			return openLink{}, nil, errPoolClosed
		}
		pr.opening = o
	}
	return openLink{}, pr.opening, nil
}

// open opens a session and ends the attempt.
func (p *Pool) open(pr *peer, address string, o *opening) {
	l, err := p.dial(address)
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if err == nil && !p.start(heartbeat{pool: p, peer: pr, link: l, address: address}.run) {
		l.session.Close()
		l, err = openLink{}, errPoolClosed
	}
	if err == nil {
		pr.link = l
	}
	o.link, o.err = l, err
	pr.opening = nil
	close(o.done)
}

// dial opens and authenticates a connection and starts a session on it, until the Pool is
// closed.
func (p *Pool) dial(address string) (openLink, error) {
	d := net.Dialer{Timeout: p.cfg.DialTimeout}
	raw, err := d.DialContext(p.ctx, "tcp", address)
	if err != nil {
		return openLink{}, fmt.Errorf("dial %s: %w", address, err)
	}
	stop := context.AfterFunc(p.ctx, func() { raw.Close() })
	defer stop()
	secured, err := p.cfg.Auth.client(raw)
	if err != nil {
		raw.Close()
		return openLink{}, err
	}
	conn := newSessionConn(secured)
	session, err := yamux.Client(&coalescer{Conn: conn}, yamuxConfig())
	if err != nil {
		raw.Close()
		return openLink{}, fmt.Errorf("start session with %s: %w", address, err)
	}
	return openLink{session: session, conn: conn}, nil
}

// start runs a function in a goroutine that Close waits for. It reports false if the Pool
// is closed.
func (p *Pool) start(run func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.wg.Go(run)
	return true
}
