package link

import (
	"net"
	"sync/atomic"
	"time"
)

// receiveMeter records when bytes last arrived on a connection. A busy connection
// shows that its peer is alive even while an answer waits behind other data.
type receiveMeter struct {
	net.Conn
	// last is the time of the last read that returned bytes, since start.
	last  atomic.Int64
	start time.Time
}

func newReceiveMeter(conn net.Conn) *receiveMeter {
	return &receiveMeter{Conn: conn, start: time.Now()}
}

// Read reads from the connection.
func (m *receiveMeter) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if n > 0 {
		m.last.Store(int64(time.Since(m.start)))
	}
	return n, err
}

// LastReceived returns when bytes last arrived, at first when the connection was
// opened.
func (m *receiveMeter) LastReceived() time.Time {
	return m.start.Add(time.Duration(m.last.Load()))
}
