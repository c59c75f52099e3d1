package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRequestReachesServiceOfItsPathAsSent guards against a request that is run by the service
// of another prefix, or is refused, because the escapes in its path were decoded before the
// prefixes were compared; and against a path that is forwarded otherwise than it was sent.
func TestRequestReachesServiceOfItsPathAsSent(t *testing.T) {
	u := newUpstream(t, ok)
	d := document()
	d.Routes = append(d.Routes, d.Routes[0])
	paid := &d.Routes[len(d.Routes)-1]
	// Requests of this route belong to no account, by which the test tells them apart.
	paid.Name, paid.Prefix, paid.AllowAnonymous = "paid", "/safe/paid/", true
	f := newFixture(t, d, u.URL)
	for target, want := range map[string]int{
		"/safe/paid%2F7":                   http.StatusOK,
		"/safe/paid%2f7?a=%2F":             http.StatusOK,
		"/safe/%22x\"y":                    http.StatusOK,
		"http://a.example/safe/paid%2F7":   http.StatusOK,
		"/safe%2Fpaid/7":                   http.StatusNotFound,
		"/%73afe/7":                        http.StatusNotFound,
		"http://a.example/safe%2F7?/safe/": http.StatusNotFound,
		"http://a.example?/safe/":          http.StatusNotFound,
	} {
		status, body := f.sendTarget(t, target)
		if status != want || status == http.StatusOK && body != "OPTIONS "+target+" north " {
			t.Errorf("%s: status %d, %q, want %d, the same path and the route of account north", target, status, body, want)
		}
	}
}

// sendTarget sends a request whose first line names target, and returns the status and the body
// of the answer.
func (f *fixture) sendTarget(t *testing.T, target string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: a.example\r\nId: x\r\nKey: k\r\nConnection: close\r\n\r\n", target)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("read answer to %s: %v", target, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read body: %v", err)
	}
	return resp.StatusCode, string(body)
}
