package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveOnce reads a request of each connection, and serves the connection then.
func serveOnce(t *testing.T, serve func(c *net.TCPConn)) Target {
	t.Helper()
	address := serveConnections(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		serve(c.(*net.TCPConn))
	})
	return Target{ID: "u", Address: address}
}

// A head that comes in small pieces, or is longer than the buffer of the connection, is read
// whole, and what follows is the body.
func TestHeadInPieces(t *testing.T) {
	for _, size := range []int{1, readBufferBytes - 200, readBufferBytes, 3 * readBufferBytes} {
		text := "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 200\r\nId: r1\r\nLong: " + strings.Repeat("x", size) + "\r\nContent-Length: 2\r\n\r\nok"
		for _, step := range []int{1, 1000, len(text)} {
			t.Run(fmt.Sprint(size, " in pieces of ", step), func(t *testing.T) {
				to := serveOnce(t, func(c *net.TCPConn) {
					for rest := text; rest != ""; rest = rest[min(step, len(rest)):] {
						io.WriteString(c, rest[:min(step, len(rest))])
					}
				})
				if got, want := send(t, newPool(t), to, request("r1")), "answered 200 ok"; got != want {
					t.Errorf("got %q, want %q", got, want)
				}
			})
		}
	}
}

// A line that no head has is an error as soon as it has come, though the upstream sends nothing
// more and keeps the connection open.
func TestBrokenHeadIsRefusedAtOnce(t *testing.T) {
	for _, text := range []string{"what?\r\n", "HTTP/1.1 000 X\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n"} {
		release := make(chan struct{})
		to := serveOnce(t, func(c *net.TCPConn) {
			io.WriteString(c, text)
			<-release
		})
		start := time.Now()
		if got, want := send(t, newPool(t), to, request("r1")), "unknown"; got != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("%q: took %v, want less than 1 s", text, took)
		}
		close(release)
	}
}

// An upstream that stops in the middle of a head has given no answer, wherever it stops.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n"
	for n := range len(text) {
		for _, linger := range []int{-1, 0} {
			to := serveOnce(t, func(c *net.TCPConn) {
				c.SetLinger(linger)
				io.WriteString(c, text[:n])
			})
			if got, want := send(t, newPool(t), to, request("r1")), "unknown"; got != want {
				t.Errorf("cut after %q, linger %d: got %q, want %q", text[:n], linger, got, want)
			}
		}
	}
}

// FuzzHead guards against a head that passes although net/http reads past one of its names, or
// joins two of its lines.
func FuzzHead(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.0 200\nA : b\n\n")
	f.Add("HTTP/1.1 200 OK\r\nA: b\r\n c: d\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			io.WriteString(far, text)
			far.Close()
		}()
		c := &conn{Conn: near, br: bufio.NewReader(near)}
		size, err := c.awaitHead(maxHeadBytes)
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t") {
				t.Errorf("the name %q passed", name)
			}
		}
		if strings.Contains(text[:size], "\n ") || strings.Contains(text[:size], "\n\t") {
			t.Errorf("a line that begins with a blank passed")
		}
	})
}

// A request whose context ends while a head is awaited does not wait on.
func TestAwaitingHeadEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	to := serveOnce(t, func(c *net.TCPConn) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r")
		<-release
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	if o, ok := newPool(t).Send(ctx, to, request("r1")).(Unknown); !ok || time.Since(start) > time.Second {
		t.Errorf("got %T after %v, want Unknown within 1 s", o, time.Since(start))
	}
}
