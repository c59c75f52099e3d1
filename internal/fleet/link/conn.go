package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection below a session. It records when bytes last arrived: a
// busy connection shows that its peer is alive even while an answer waits behind other
// data. When it is closed, it ends the reads of the session's streams.
type sessionConn struct {
	net.Conn
	// last is the time of the last read that returned bytes, since start.
	last   atomic.Int64
	start  time.Time
	mu     sync.Mutex
	closed bool
	// streams holds the open streams of the session.
	streams map[*yamux.Stream]bool
}

func newSessionConn(conn net.Conn) *sessionConn {
	return &sessionConn{Conn: conn, start: time.Now(), streams: make(map[*yamux.Stream]bool)}
}

// Read reads from the connection.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.last.Store(int64(time.Since(c.start)))
	}
	return n, err
}

// LastReceived returns when bytes last arrived, at first when the connection was
// opened.
func (c *sessionConn) LastReceived() time.Time {
	return c.start.Add(time.Duration(c.last.Load()))
}

// add registers a stream of the session. remove undoes it.
func (c *sessionConn) add(st *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		expire(st)
		return
	}
	c.streams[st] = true
}

func (c *sessionConn) remove(st *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, st)
}

// Close closes the connection. yamux calls it first when a session ends, and tells the
// streams only once the connection is closed. Until then their reads would run in a
// loop without waiting, hence the deadline.
func (c *sessionConn) Close() error {
	c.mu.Lock()
	c.closed = true
	for st := range c.streams {
		expire(st)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// expire ends current and later reads of a stream.
func expire(st *yamux.Stream) {
	// The error is always nil.
	_ = st.SetReadDeadline(time.Unix(1, 0))
}
