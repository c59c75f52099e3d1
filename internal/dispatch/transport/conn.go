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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAlive is the time between probes of a quiet connection.
	keepAlive = time.Second
	// keepAliveProbes is the number of unanswered probes that end it.
	keepAliveProbes = 3
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// defaultIdle is how long a connection is kept where the upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that an upstream says it keeps a
	// connection.
	idleMargin = time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	target Target
	br     *bufio.Reader
	// used counts the requests that were sent on it.
	used int
	// expires is when the upstream may close it while idle.
	expires time.Time
	idleFor time.Duration
}

func dial(ctx context.Context, t Target) (*conn, error) {
	d := net.Dialer{
		Timeout:   dialTimeout,
		Control:   setUserTimeout,
		KeepAlive: -1,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlive,
			Interval: keepAlive,
			Count:    keepAliveProbes,
		},
	}
	raw, err := d.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, fmt.Errorf("dial upstream %s at %s: %w", t.ID, t.Address, err)
	}
	return &conn{Conn: raw, target: t, br: bufio.NewReaderSize(raw, readBufferBytes), idleFor: defaultIdle}, nil
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, set)
}

// quiet reports whether the connection is open and holds no bytes, as it must
// before a request is sent on it.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keptFor notes how long the upstream keeps the connection while idle.
func (c *conn) keptFor(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			c.idleFor = time.Duration(s)*time.Second - idleMargin
		}
	}
	c.expires = time.Now().Add(c.idleFor)
}
