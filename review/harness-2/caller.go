package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
	sent   time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request sends one request on a new channel and waits for its answer for limit.
func (f *fleet) request(gateway int, method, host, path string, header map[string]string, body string, limit time.Duration) answer {
	a := answer{id: newID(), sent: time.Now()}
	a.err = func() error {
		c, err := net.DialTimeout("tcp", f.gatewayAddress(gateway), time.Second)
		if err != nil {
			return err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(limit))
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nHawthornhub-Attempt-Id: %s\r\n", method, path, host, a.id)
		for k, v := range header {
			fmt.Fprintf(&b, "%s: %s\r\n", k, v)
		}
		if body != "" || method == http.MethodPost {
			fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
		}
		fmt.Fprintf(&b, "\r\n%s", body)
		if _, err := io.WriteString(c, b.String()); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
		if err != nil {
			return err
		}
		a.status, a.header = resp.StatusCode, resp.Header
		text, err := io.ReadAll(resp.Body)
		a.body = string(text)
		return err
	}()
	a.took = time.Since(a.sent)
	f.record.add("client %s %s: status %d after %.3f s, error %v", a.id, path, a.status, a.took.Seconds(), a.err)
	return a
}
