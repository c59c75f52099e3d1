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

const (
	// uploadBytes is more than the buffers of the two ends of a connection hold.
	uploadBytes = 16 << 20
	// partDelay is the time from the part of an answer to the end of its connection: long
	// enough for the part to arrive, and too short for the upload to be written.
	partDelay = 5 * time.Millisecond
	// uploads is how often each end of a connection is tried.
	uploads = 20
)

// answerUpload answers an upload at once with a body of text that has no length, and ends the
// connection with end.
func answerUpload(t *testing.T, text string, end func(c *net.TCPConn, upload io.Reader)) Target {
	t.Helper()
	address := serveConnections(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n\r\n"+text)
		time.Sleep(partDelay)
		end(c.(*net.TCPConn), r.Body)
	})
	return Target{ID: "u", Address: address}
}

// An answer without a length that is reset while the upload is written is not complete, though
// only the write of the upload meets the reset. One that ends before the upload does is complete
// if the upstream then reads on.
func TestAnswerToUploadEndsWithReset(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		end        func(c *net.TCPConn, upload io.Reader)
		want       string
	}{
		{"reset", "part", func(c *net.TCPConn, _ io.Reader) { c.SetLinger(0) }, "broken 200"},
		{"reset before a body", "", func(c *net.TCPConn, _ io.Reader) { c.SetLinger(0) }, "broken 200"},
		{"closed with the upload unread", "part", func(*net.TCPConn, io.Reader) {}, "broken 200"},
		{"end, then a reset", "part", func(c *net.TCPConn, _ io.Reader) { c.CloseWrite(); time.Sleep(partDelay); c.SetLinger(0) }, "broken 200"},
		{"end, then the upload is read", "whole", func(c *net.TCPConn, upload io.Reader) { c.CloseWrite(); io.Copy(io.Discard, upload) }, "answered 200 whole"},
		{"the upload is read, then the end", "whole", func(_ *net.TCPConn, upload io.Reader) { io.Copy(io.Discard, upload) }, "answered 200 whole"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			to, p := answerUpload(t, tt.text, tt.end), newPool(t)
			got := make(map[string]int)
			for i := range uploads {
				r := request(fmt.Sprint("r", i))
				r.Body = []byte(strings.Repeat("x", uploadBytes))
				got[send(t, p, to, r)]++
			}
			if got[tt.want] != uploads {
				t.Errorf("got %v, want %q each time", got, tt.want)
			}
			if open, _ := p.Counts(); open != 0 {
				t.Errorf("%d connections are open, want 0", open)
			}
		})
	}
}

// The wait for the end of the upload, after that of its answer, ends with the request.
func TestAwaitingUploadEndsWithContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	to := answerUpload(t, "part", func(c *net.TCPConn, _ io.Reader) { c.CloseWrite(); <-release })
	r := request("r1")
	r.Body = []byte(strings.Repeat("x", uploadBytes))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	start := time.Now()
	o, ok := newPool(t).Send(ctx, to, r).(*Answered)
	if !ok {
		t.Fatal("got no answer")
	}
	defer o.Close()
	if _, err := io.ReadAll(o.Body); err == nil || time.Since(start) > time.Second {
		t.Errorf("got error %v after %v, want one within 1 s", err, time.Since(start))
	}
}
