package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// answerTime is longer than the time between two stages, so that an answer written before it
// meets the stage that is awaited.
const answerTime = 20 * time.Millisecond

// rawUpstream calls answer with each request, its number from 0, and its connection. It closes
// the connection if answer returns false.
func rawUpstream(t *testing.T, answer func(c net.Conn, r *http.Request, n int) bool) *Client {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { ln.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if !answer(c, r, int(requests.Add(1))-1) {
						return
					}
				}
			}()
		}
	}()
	client := NewClient(ln.Addr().String())
	t.Cleanup(func() { client.Close() })
	return client
}

// wholeAnswer returns an answer with one chunk.
func wholeAnswer(id string) string {
	body := fmt.Sprintf("{\"id\":%q,\"seq\":0,\"data\":\"eA==\"}\n{\"id\":%q,\"end\":true,\"chunks\":1}\n", id, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// runStage runs a stage and describes how it ended.
func runStage(t *testing.T, c *Client, id string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Run(ctx, Request{ID: id}, func(Line) error { return nil })
	var run *RunError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &run) && !run.Started:
		return "not run"
	default:
		return "unknown"
	}
}

// A refusal that an upstream writes once more on its connection must not be taken for the answer
// to the next stage, which runs: it would be said not to have run, and run again elsewhere.
func TestSecondCopyOfRefusalIsTakenForAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	for between := range 3 {
		var refused net.Conn
		copied, runs := false, 0
		c := rawUpstream(t, func(c net.Conn, _ *http.Request, n int) bool {
			if n == between {
				refused = c
				io.WriteString(c, refusal)
				return true
			}
			if c == refused && !copied {
				copied = true
				io.WriteString(c, refusal)
				time.Sleep(answerTime)
			}
			runs++
			io.WriteString(c, wholeAnswer(fmt.Sprint("r", n)))
			return true
		})
		for i := range between + 3 {
			want := "done"
			if i == between {
				want = "not run"
			}
			if got := runStage(t, c, fmt.Sprint("r", i)); got != want {
				t.Errorf("refusal after %d stages, stage %d: got %q, want %q, as the upstream ran %d", between, i, got, want, runs)
			}
		}
	}
}

// An answer that is not HTTP/1.1 is none: the stage may have run, whatever it says, and its lines
// are no result. A redirect is not followed, as the stage would run where nobody announced it.
func TestBrokenAnswerEndsStage(t *testing.T) {
	whole := wholeAnswer("r")
	refusal := "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{
		"blank in a name":                strings.Replace(whole, "\r\n", "\r\nX Y: z\r\n", 1),
		"blank before a colon":           strings.Replace(whole, "Length:", "Length :", 1),
		"blank before a name":            strings.Replace(whole, "\r\n", "\r\nA: b\r\n X: z\r\n", 1),
		"blank in a name of a refusal":   strings.Replace(refusal, "\r\n", "\r\nX Y: z\r\n", 1),
		"another protocol":               strings.Replace(whole, "1.1", "2.0", 1),
		"another protocol in a refusal":  strings.Replace(refusal, "1.1", "2.0", 1),
		"status 000":                     strings.Replace(whole, "200", "000", 1),
		"status 600":                     strings.Replace(whole, "200", "600", 1),
		"cut head":                       "HTTP/1.1 200 OK\r\nContent-Le",
		"cut head of a refusal":          refusal[:len(refusal)-2],
		"no end":                         "HTTP/1.1 200 OK\r\n\r\n" + `{"id":"r","seq":0,"data":"eA=="}`,
		"error behind a chunk":           "HTTP/1.1 200 OK\r\n\r\n" + `{"id":"r","seq":0,"data":"eA=="}` + "\n" + `{"id":"r","error":"full"}`,
		"answer to another stage":        wholeAnswer("other"),
		"redirect":                       "HTTP/1.1 303 See Other\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
		"refusal behind a broken answer": strings.Replace(refusal, "503", "099", 1) + refusal,
	} {
		t.Run(name, func(t *testing.T) {
			c := rawUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				if r.URL.Path == "/elsewhere" {
					io.WriteString(c, whole)
					return true
				}
				io.WriteString(c, text)
				return name == "redirect"
			})
			if got, want := runStage(t, c, "r"), "unknown"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// An order whose answer is broken is not said to be obeyed.
func TestBrokenAnswerToOrder(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Le"} {
		c := rawUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool {
			io.WriteString(c, text)
			return false
		})
		if err := c.Order(t.Context(), Order{Number: 1}); err == nil {
			t.Errorf("%q: the order is said to be obeyed", text)
		}
	}
}

// Stages one after the other keep one connection, and a stage after a refusal gets a new one.
func TestStagesKeepConnection(t *testing.T) {
	connections := make(map[net.Conn]bool)
	c := rawUpstream(t, func(c net.Conn, _ *http.Request, n int) bool {
		connections[c] = true
		if n == 5 {
			io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		io.WriteString(c, wholeAnswer(fmt.Sprint("r", n)))
		return true
	})
	for i := range 10 {
		runStage(t, c, fmt.Sprint("r", i))
	}
	if got, want := len(connections), 2; got != want {
		t.Errorf("%d connections, want %d", got, want)
	}
}
