package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got. err is set if the answer is not complete.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// requestTimeout is the client's time limit.
const requestTimeout = 15 * time.Second

// request sends a request to a gateway on a new channel and reads the answer.
func (f *fleet) request(gateway int, id, path string, headers ...string) answer {
	f.rec.note("client sends %s to gateway-%d: %s %v", id, gateway, path, headers)
	a := f.exchange(gateway, id, path, headers)
	f.rec.note("client gets for %s: %d, %d bytes, %v", id, a.status, len(a.body), a.err)
	return a
}

func (f *fleet) exchange(gateway int, id, path string, headers []string) answer {
	c, err := net.DialTimeout("tcp", f.gatewayAddress(gateway), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return answer{err: err}
	}
	var lines strings.Builder
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&lines, "%s: %s\r\n", headers[i], headers[i+1])
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nHawthornhub-Attempt-Id: %s\r\nHawthornhub-Time-Left-Ms: %d\r\n%sContent-Length: 2\r\n\r\nhi",
		path, f.host, id, requestTimeout.Milliseconds(), lines.String()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return answer{status: r.StatusCode, header: r.Header, body: string(body), err: err}
}
