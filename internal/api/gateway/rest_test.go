package gateway

import (
	"fmt"
	"strings"
	"testing"
)

// An answer that is not the rest of an interrupted stream, in the place where that is due, must
// not come into the stream nor make it look complete.
func TestAnswerThatIsNoRestOfStream(t *testing.T) {
	first, last := wholeStream[:len(wholeStream)/2], wholeStream[len(wholeStream)/2:]
	const events, text, head = "Content-Type: text/event-stream\r\n", "Content-Type: text/plain\r\n", "HTTP/1.1 500 Internal Server Error\nContent-Length: 5\n\nerror\n\n"
	const comment = ": wait\n\n"
	answer := func(status, headers, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
	unframed := "HTTP/1.1 200 OK\r\nId: ID\r\n" + events + "\r\n"
	tests := []struct {
		name, answer string
		// want is what follows the first event.
		want     string
		complete bool
	}{
		{"error", answer("500 Broken", text, "error\n\n"), "", false},
		{"error as a stream", answer("500 Broken", events, last), "", false},
		{"error after a run", answer("503 Broken", "", "error\n\n"), "", false},
		{"error of the request", answer("400 Bad", "", "error\n\n"), "", false},
		{"no content", answer("204 Empty", events, ""), "", false},
		{"part", answer("206 Part", events, last), "", false},
		{"head as an event", answer("200 OK", events, head), "", false},
		{"head as an unframed event", unframed + head, "", false},
		{"head with CRLF as an unframed event", unframed + "HTTP/1.1 500 Broken\r\nContent-Length: 5\r\n\r\nerror", "", false},
		{"text", answer("200 OK", text, "error\n\n"), "", false},
		{"text with an event", answer("200 OK", text, last), "", false},
		{"text without a type", answer("200 OK", "", "error\n\n"), "", false},
		{"text as an event", answer("200 OK", events, "error\n\n"), "", false},
		{"nothing, no stream", answer("200 OK", "", ""), "", false},
		{"nothing, unframed", unframed, "", false},
		{"from the beginning", answer("200 OK", events, wholeStream), "", false},
		{"the last event again", answer("200 OK", events, first), "", false},
		{"event without an ID", answer("200 OK", events, "data: piece 2\n\n"), "", false},
		{"comment, then from the beginning", answer("200 OK", events, comment+wholeStream), "", false},

		{"rest", answer("200 OK", events, last), last, true},
		{"rest with a parameter of its type", answer("200 OK", "Content-Type: Text/Event-Stream; charset=utf-8\r\n", last), last, true},
		{"rest with a later ID", answer("200 OK", events, "id: 10\ndata: x\n\n"), "id: 10\ndata: x\n\n", true},
		{"comment, then the rest", answer("200 OK", events, comment+last), last, true},
		// The stream broke off after its last event.
		{"no event is left", answer("200 OK", events, ""), "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, document(), newUpstream(t, writeEvents(-2)).URL, newUpstream(t, answerRaw(tt.answer, nil)).URL)
			_, body, err := f.call(t, "/resume/x")
			// Comments are no events: whether they are forwarded before one does not matter.
			body = strings.ReplaceAll(body, comment, "")
			if body != first+tt.want || (err == nil) != tt.complete {
				t.Errorf("got %q (%v), want %q, complete: %t", body, err, first+tt.want, tt.complete)
			}
		})
	}
}
