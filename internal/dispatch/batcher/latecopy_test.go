package batcher

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// answerTime is how long the upstream takes for an answer. It exceeds the time between two
// exchanges, so that an answer that is not waited for meets the exchange after it.
const answerTime = 20 * time.Millisecond

// copyingUpstream runs pieces. The answer to the first exchange for which oddAnswer returns
// a text is that text, and a copy of it precedes the answer on the connection that comes
// after lateBy further ones.
type copyingUpstream struct {
	address   string
	lateBy    int
	oddAnswer func(r *http.Request) string
	mu        sync.Mutex
	calls     int
	odd       bool
}

func startCopying(t *testing.T, lateBy int, oddAnswer func(r *http.Request) string) *copyingUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	u := &copyingUpstream{address: ln.Addr().String(), lateBy: lateBy, oddAnswer: oddAnswer}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *copyingUpstream) serve(c net.Conn) {
	defer c.Close()
	br, late, due := bufio.NewReader(c), "", 0
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if late != "" && n == due {
			io.WriteString(c, late)
			late = ""
		}
		time.Sleep(answerTime)
		text, isOdd := u.answer(r, body)
		if isOdd {
			late, due = text, n+1+u.lateBy
		}
		io.WriteString(c, text)
	}
}

func (u *copyingUpstream) answer(r *http.Request, body []byte) (text string, isOdd bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if text := u.oddAnswer(r); text != "" && !u.odd {
		u.odd = true
		return text, true
	}
	return u.run(r, body), false
}

// run returns the answer to a call in which all pieces succeed, or to a release. The caller
// holds mu.
func (u *copyingUpstream) run(r *http.Request, body []byte) string {
	if r.URL.Path == "/free" {
		return httpAnswer(200, "")
	}
	var items []Item
	json.Unmarshal(body, &items)
	u.calls++
	var out []Output
	for i, item := range items {
		out = append(out, Output{Handle: fmt.Sprintf("%s/%s.%d.%d.%d.%d", u.address, item.RequestID, item.Stage, item.PieceIndex, u.calls, i)})
	}
	text, _ := json.Marshal(out)
	return httpAnswer(200, string(text))
}

func httpAnswer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

func newCopyingOwner(t *testing.T, u *copyingUpstream) *Owner {
	o := newOwner(t, 1<<40)
	o.cfg.Upstreams = func(string) []catalog.Upstream {
		return []catalog.Upstream{{ID: "u", Service: "scan", Address: u.address, Slots: 1, State: catalog.Ready, LastSeen: time.Now()}}
	}
	return o
}

// Guards against a late second copy of an answer that is taken for the answer to the next
// call on the connection: from then on each job gets the results of the one before it.
// Releases are sent between the calls, as their answers can be copied too.
func TestLateCopyIsTakenForAnswerToNextCall(t *testing.T) {
	once := func(path, text string) func(*http.Request) string {
		return func(r *http.Request) string {
			if r.URL.Path != path {
				return ""
			}
			return text
		}
	}
	failed, _ := json.Marshal([]Output{{Reason: ReasonFailed}})
	late, _ := json.Marshal([]Output{{Reason: ReasonDeadlineExceeded}})
	gone, _ := json.Marshal([]Output{{Reason: ReasonInputsGone}})
	room, _ := json.Marshal([]Output{{Reason: ReasonNoMemory}})
	tests := []struct {
		name string
		odd  func(*http.Request) string
	}{
		{"failed piece", once("/run", httpAnswer(200, string(failed)))},
		{"late piece", once("/run", httpAnswer(200, string(late)))},
		{"inputs gone", once("/run", httpAnswer(200, string(gone)))},
		{"no room", once("/run", httpAnswer(200, string(room)))},
		{"server error", once("/run", httpAnswer(500, ""))},
		{"rejection", once("/run", "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")},
		{"empty list", once("/run", httpAnswer(200, "[]"))},
		{"not decodable", once("/run", httpAnswer(200, "{"))},
		{"answer to a release", once("/free", httpAnswer(200, ""))},
		{"release that fails", once("/free", httpAnswer(500, ""))},
	}
	for _, tt := range tests {
		for _, lateBy := range []int{0, 2} {
			t.Run(fmt.Sprint(tt.name, ", copy after ", lateBy), func(t *testing.T) {
				t.Parallel()
				u := startCopying(t, lateBy, tt.odd)
				o := newCopyingOwner(t, u)
				for i := range 8 {
					id := fmt.Sprintf("r%d", i)
					job := newJob(id, 1)
					job.Timeout = time.Second
					result := o.Do(t.Context(), job)
					completed, ok := result.(Completed)
					if !ok {
						continue
					}
					if want := "/" + id + "."; !strings.Contains(completed.Handles[0], want) {
						t.Errorf("job %s got the result %s", id, completed.Handles[0])
					}
					o.release(shard{service: "scan"}, completed.Handles)
					time.Sleep(answerTime / 4)
				}
			})
		}
	}
}
