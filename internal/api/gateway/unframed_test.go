package gateway

import (
	"net/http"
	"testing"
)

// closeWithout writes the head of a stream that ends with its connection, the given
// events, and closes the connection.
func closeWithout(events string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		rw.WriteString("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nContent-Type: text/event-stream\r\n\r\n" + events)
		rw.Flush()
	}
}

func TestUnframedStreamWithoutEventsLooksComplete(t *testing.T) {
	whole := "id: 1\ndata: piece 1\n\n"
	tests := []struct{ name, events, path, want string }{
		{"whole", whole, "/stream/x", whole},
		{"whole, not a stream", whole, "/once/x", whole},
		{"no event", "", "/stream/x", ""},
		{"no event, resumable", "", "/resume/x", whole},
		{"inside an event, resumable", "id: 1\nda", "/resume/x", whole},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newUpstream(t, closeWithout(tt.events)), newUpstream(t, writeEvents(1))
			f := newFixture(t, document(), first.URL, second.URL)
			resp, body, err := f.call(t, tt.path)
			if err == nil && resp.StatusCode != http.StatusOK {
				body = ""
			}
			if got := body; got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if tt.want == "" && err == nil && resp.StatusCode == http.StatusOK {
				t.Error("a stream without an event looks complete")
			}
		})
	}
}
