package registry

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// connectionKey is the key of a caller's connection in the context of its requests.
type connectionKey struct{}

// ConnContext is the field ConnContext of the http.Server whose requests are passed to a
// Server. It lets the Server find out whether the caller of an order is still there.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerGone reports whether the caller of a request has given up. The end of a request's
// context tells so only after a while: a process that has just been resumed may begin to
// handle a request before it has noticed that the connection was closed meanwhile.
func callerGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	return ok && closedByPeer(c)
}

// closedByPeer reports whether the other end has closed a connection and everything that it
// sent has been read.
func closedByPeer(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control does not wait for the server's pending read of the connection, which Read
	// would.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		closed = n <= 0 && !open
	})
	return closed || err != nil
}
