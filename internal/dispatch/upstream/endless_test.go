package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxTakenBytes is how much of an endless answer may be taken from the connection: a
// line, and what the buffers of the two ends hold.
const maxTakenBytes = maxLineBytes + 16<<20

// An upstream in trouble may send bytes without end. They take bounded memory and
// time, and the stage counts as started.
func TestEndlessAnswers(t *testing.T) {
	const chunk = `{"id":"r","seq":0,"data":"eA=="}` + "\n"
	for _, tt := range []struct {
		name, start, more string
		// done is set if the answer is complete before the endless bytes.
		done bool
	}{
		{name: "line", start: `{"id":"`, more: "x"},
		{name: "line after a chunk", start: chunk + `{"id":"`, more: "x"},
		{name: "white space", start: chunk, more: " \n"},
		{name: "bytes after the end", start: chunk + `{"id":"r","end":true,"chunks":1}`, more: " ", done: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var taken atomic.Int64
			block := strings.Repeat(tt.more, 16<<10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for text := tt.start; ; text = block {
					n, err := io.WriteString(w, text)
					taken.Add(int64(n))
					if err != nil {
						return
					}
				}
			}))
			defer s.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			c := NewClient(strings.TrimPrefix(s.URL, "http://"))
			defer c.Close()
			start := time.Now()
			_, err := c.Run(ctx, Request{ID: "r"}, func(Line) error { return nil })
			var run *RunError
			if errors.As(err, &run) == tt.done || run != nil && !run.Started {
				t.Errorf("got error %v, want one that says started: %t", err, !tt.done)
			}
			if elapsed := time.Since(start); elapsed > 5*time.Second {
				t.Errorf("took %v, want less than 5 s", elapsed)
			}
			if got := taken.Load(); got > maxTakenBytes {
				t.Errorf("%d bytes were taken from the upstream, want at most %d", got, maxTakenBytes)
			}
		})
	}
}

// The result of an upstream that does not end its answer after the last line is not
// held back.
func TestUnendedAnswerIsNotAwaited(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"id":"r","end":true,"chunks":0}`+"\n")
		w.(http.Flusher).Flush()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer s.Close()
	defer close(release)
	c := NewClient(strings.TrimPrefix(s.URL, "http://"))
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := c.Run(ctx, Request{ID: "r"}, func(Line) error { return nil }); err != nil {
		t.Fatal(err)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("the result came after %v, want at once", elapsed)
	}
}
