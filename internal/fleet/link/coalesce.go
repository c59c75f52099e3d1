package link

import "net"

const (
	// frameHeaderBytes is the size of a yamux frame header.
	frameHeaderBytes = 12
	// frameTypeData is the yamux type of a data frame, the only frame with a body.
	frameTypeData = 0
)

// coalescer writes the header and body of a yamux frame in one call. yamux
// writes them separately, which costs a second system call and often a second
// wake-up of the peer. It is not safe for concurrent writes: yamux writes from
// its single send goroutine only.
type coalescer struct {
	net.Conn
	buf []byte
}

// Write buffers the header of a frame with a body until the body is written.
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

// hasBody reports whether b is the header of a frame that is followed by a
// non-empty body.
func hasBody(b []byte) bool {
	if len(b) != frameHeaderBytes || b[1] != frameTypeData {
		return false
	}
	return b[8]|b[9]|b[10]|b[11] != 0
}
