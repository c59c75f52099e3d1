package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// copyTime is when an upstream writes a refusal once more on its connection.
type copyTime int

const (
	// withIt means together with the refusal, idle a little later.
	withIt copyTime = iota
	idle
	// beforeNext means before the answer to the next request, beforeBody before its body is
	// read.
	beforeNext
	beforeBody
)

// serveCopies refuses the first request with text, writes copies of that on its connection at the
// given time, and answers all other requests with good.
func serveCopies(t *testing.T, text string, copies int, when copyTime) Target {
	t.Helper()
	var refused atomic.Bool
	address := serveConnections(t, func(c net.Conn) {
		br, late := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if when == beforeBody {
				io.WriteString(c, late)
				late = ""
			}
			io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Id")
			if refused.Swap(true) {
				io.WriteString(c, late)
				time.Sleep(time.Millisecond)
				late = ""
				io.WriteString(c, strings.ReplaceAll(good, "ID", id))
				continue
			}
			refusal := strings.ReplaceAll(text, "ID", id)
			late = strings.Repeat(refusal, copies)
			if when == withIt {
				refusal += late
			}
			io.WriteString(c, refusal)
			if when == idle {
				time.Sleep(time.Millisecond)
				io.WriteString(c, late)
			}
			if when == withIt || when == idle {
				late = ""
			}
		}
	})
	return Target{ID: "u1", Address: address, MaxConnections: 1}
}

// A refusal that an upstream writes again on its connection, with or without an ID, must not be
// taken for the answer to a later request: that runs, and would be said not to have run. It may
// get no answer, if there are too many copies.
func TestRefusalWrittenAgainIsTakenForAnswer(t *testing.T) {
	const none = "Content-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"with an ID":             "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n" + none,
		"with an ID and a body":  "HTTP/1.1 429 Many\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull",
		"without an ID":          "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + none,
		"misdirected, no ID":     "HTTP/1.1 421 Other\r\n" + none,
		"bad request, no ID":     "HTTP/1.1 400 Bad\r\nNot-Run: 1\r\n" + none,
		"with an interim answer": "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 503 Full\r\nNot-Run: 1\r\n" + none,
	} {
		for when, label := range []string{"with it", "idle", "before the next answer", "before the next body"} {
			for _, copies := range []int{1, 2, 4} {
				t.Run(fmt.Sprintf("%s, %s, %d", name, label, copies), func(t *testing.T) {
					t.Parallel()
					to, p := serveCopies(t, text, copies, copyTime(when)), newPool(t)
					if got := send(t, p, to, request("r0")); !strings.HasPrefix(got, "rejected") {
						t.Fatalf("first request: got %q, want a rejection", got)
					}
					for i := range 3 {
						time.Sleep(2 * time.Millisecond)
						r := request(fmt.Sprint("r", i+1))
						r.Body = []byte(strings.Repeat("x", 2*concurrentWriteBytes))
						got := send(t, p, to, r)
						if got != "answered 200 ok" && (copies <= maxMismatched || got != "unknown") {
							t.Errorf("request %d: got %q, want an answer", i+1, got)
						}
					}
				})
			}
		}
	}
}
