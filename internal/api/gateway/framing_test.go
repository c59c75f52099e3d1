package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Requests whose framing is doubtful are refused or read in one way only: an
// upstream never runs what was hidden inside another request's body.
func TestFraming(t *testing.T) {
	head := "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nKey: k\r\nId: r1\r\nConnection: close\r\n"
	hidden := "GET /safe/hidden HTTP/1.1\r\nHost: a.example\r\nKey: k\r\nId: r2\r\n\r\n"
	tests := []struct {
		name string
		text string
		// bodies are those that the upstream runs.
		bodies []string
		// cut ends the caller's side behind the text.
		cut bool
	}{
		{"length", head + "Content-Length: 4\r\n\r\nbody", []string{"body"}, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", []string{"body"}, false},
		{"a request in a body of a length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden), []string{hidden}, false},
		{"two lengths", head + "Content-Length: 4\r\nContent-Length: 40\r\n\r\nbody", nil, false},
		{"length that is no number", head + "Content-Length: +4\r\n\r\nbody", nil, false},
		{"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", nil, false},
		{"chunk size that is no number", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", nil, false},
		{"body that breaks off", head + "Content-Length: 9\r\n\r\nbody", nil, true},
		{"space before the colon", head + "Content-Length : 4\r\n\r\nbody", nil, false},
		{"no host", "POST /safe/x HTTP/1.1\r\nKey: k\r\nContent-Length: 4\r\n\r\nbody", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			var got []string
			u := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				mu.Lock()
				got = append(got, string(body))
				mu.Unlock()
			})
			f := newFixture(t, document(), u.URL)
			c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			io.WriteString(c, tt.text)
			if tt.cut {
				c.(*net.TCPConn).CloseWrite()
			}
			statuses := readStatuses(c)
			mu.Lock()
			defer mu.Unlock()
			if fmt.Sprint(got) != fmt.Sprint(tt.bodies) {
				t.Errorf("the upstream ran bodies %q, want %q (answers %v)", got, tt.bodies, statuses)
			}
			for _, s := range statuses {
				if tt.bodies == nil && (s < 400 || s >= 600) {
					t.Errorf("answered %d, want a refusal", s)
				}
			}
		})
	}
}

// readStatuses returns the statuses of all answers on a connection.
func readStatuses(c net.Conn) []int {
	var out []int
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return out
		}
		io.Copy(io.Discard, resp.Body)
		out = append(out, resp.StatusCode)
	}
}
