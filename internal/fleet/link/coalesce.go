package link

import "net"

const (
	// frameHeaderBytes is the size of a yamux frame's header.
	frameHeaderBytes = 12
	// frameTypeData is the type of a frame that has a body.
	frameTypeData = 0
)

// coalescer sends a yamux frame's header and body in one write. yamux writes
// them apart, which costs a second system call and often a second wake-up of
// the peer. Only yamux's one sending goroutine writes to it.
type coalescer struct {
	net.Conn
	buf []byte
}

// Write holds back the header of a frame that has a body.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.buf) == 0 && hasBody(b) {
		c.buf = append(c.buf, b...)
		return len(b), nil
	}
	if len(c.buf) == 0 {
		return c.Conn.Write(b)
	}
	c.buf = append(c.buf, b...)
	_, err := c.Conn.Write(c.buf)
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// hasBody reports whether b is the header of a frame whose body follows.
func hasBody(b []byte) bool {
	if len(b) != frameHeaderBytes || b[1] != frameTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}
