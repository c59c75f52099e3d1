package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// dialTimeout limits the time to open a connection.
	dialTimeout = 500 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the
	// connection is closed.
	userTimeout = 3 * time.Second
	// keepAliveInterval is the idle time before the first keep-alive probe, and the
	// time between probes.
	keepAliveInterval = time.Second
	// keepAliveProbes is the number of unanswered probes after which the
	// connection is closed.
	keepAliveProbes = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the idle timeout of a connection whose upstream sends
	// none in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the upstream's idle timeout, so that a
	// request is not sent on a connection that the upstream is closing.
	idleTimeoutMargin = time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	target Target
	br     *bufio.Reader
	// requests is the number of requests sent on the connection.
	requests int
	// identity is that of all requests on the connection.
	identity identity
	// carried tells second copies of their answers.
	carried carried
	// expires is when the connection is no longer reused if idle, because the
	// upstream may be about to close it.
	expires     time.Time
	idleTimeout time.Duration
}

func dial(ctx context.Context, t Target) (*conn, error) {
	d := net.Dialer{
		Timeout:   dialTimeout,
		Control:   setUserTimeout,
		KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	raw, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream %s at %s: %w", t.ID, t.Address, err)
	}
	return &conn{Conn: raw, target: t, br: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// Refuses reports whether nothing accepts connections at an upstream's address any more,
// although its machine responds.
func Refuses(ctx context.Context, t Target) bool {
	c, err := dial(ctx, t)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.Close()
	return false
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// reusable reports whether an idle connection is open, has not expired and has no
// unread data, so that a request may be sent on it.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 || !time.Now().Before(c.expires) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// updateIdleTimeout reads the upstream's idle timeout from a Keep-Alive header, if
// present, and sets when the connection expires.
func (c *conn) updateIdleTimeout(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			c.idleTimeout = time.Duration(s)*time.Second - idleTimeoutMargin
		}
	}
	c.expires = time.Now().Add(c.idleTimeout)
}
