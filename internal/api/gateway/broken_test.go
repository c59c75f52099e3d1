package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// heldOpenFor is how long a raw answer keeps its connection open.
const heldOpenFor = 3 * time.Second

// answerRaw answers with the bytes of text, in which ID stands for the ID of the request, and
// ends the connection with end, nil for closing it.
func answerRaw(text string, end func(c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, rw, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		rw.WriteString(strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		rw.Flush()
		if end != nil {
			end(c.(*net.TCPConn))
		}
	}
}

// reset has the connection reset by its close.
func reset(c *net.TCPConn) { c.SetLinger(0) }

// hold keeps the connection open.
func hold(*net.TCPConn) { time.Sleep(heldOpenFor) }

// wholeStream is what writeEvents(2) sends.
const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// checkNotForwarded has an upstream answer with handle on each kind of route. It fails if a
// caller gets anything but the answer of another upstream, an error of the gateway or, after the
// events of an interrupted stream, a closed connection.
func checkNotForwarded(t *testing.T, handle http.HandlerFunc) {
	t.Helper()
	good := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/resume/") {
			writeEvents(2)(w, r)
			return
		}
		w.Write([]byte("good"))
	}
	for _, tt := range []struct {
		path   string
		status int
		body   string
	}{
		{"/once/x", http.StatusBadGateway, ""},
		{"/unsafe/x", http.StatusBadGateway, ""},
		{"/stream/x", http.StatusBadGateway, ""},
		{"/safe/x", http.StatusOK, "good"},
		{"/resume/x", http.StatusOK, wholeStream},
	} {
		first, second := newUpstream(t, handle), newUpstream(t, good)
		f := newFixture(t, document(), first.URL, second.URL)
		resp, body, err := f.call(t, tt.path)
		if err != nil || resp.StatusCode != tt.status || tt.body != "" && body != tt.body {
			t.Errorf("%s: got %v with %q (%v), want status %d with %q", tt.path, statusOf(resp), body, err, tt.status, tt.body)
		}
	}
	first, second := newUpstream(t, writeEvents(-2)), newUpstream(t, handle)
	f := newFixture(t, document(), first.URL, second.URL)
	if _, body, err := f.call(t, "/resume/x"); err == nil || body != wholeStream[:len(wholeStream)/2] {
		t.Errorf("resumed: got %q, error %v, want the first event and a closed connection", body, err)
	}
}

func statusOf(resp *http.Response) int {
	if resp == nil {
		return 0
	}
	return resp.StatusCode
}

// An answer whose head is no HTTP/1.1 is no answer: neither its status nor its framing can be
// relied on. It does not reach callers, as an answer of its own or inside of a stream.
func TestBrokenHeadReachesCallers(t *testing.T) {
	const start, event = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\nSeal: s\r\n", "id: 2\ndata: piece 2\n\n"
	const chunked = "16\r\n" + event + "\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"blank before the colon of a length":    start + "Content-Length : 5\r\n\r\n" + event,
		"blank before the colon of an encoding": start + "Transfer-Encoding : chunked\r\n\r\n" + chunked,
		"blank in another name":                 start + "X Y: z\r\n\r\n" + event,
		"name of a blank":                       start + " : z\r\n\r\n" + event,
		"tab before the colon":                  start + "Content-Length\t: 5\r\n\r\n" + event,
		"control byte in a name":                start + "Content-Le\x01ngth: 5\r\n\r\n" + event,
		"line that begins with a blank":         start + " Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"line that begins with a tab":           start + "\tTransfer-Encoding: chunked\r\n\r\n" + chunked,
		"encoding that HTTP/1.0 has not":        strings.Replace(start, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"another protocol":                      strings.Replace(start, "1.1", "2.0", 1) + "\r\n" + event,
		"cut in a name":                         start + "Transfer-Enc",
		"cut before the empty line":             start + "Transfer-Encoding: chunked\r\n",
		"cut in the empty line":                 start + "Content-Length: 0\r\n\r",
		"cut behind an interim answer":          "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
		"blank in an interim answer":            "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + start + "\r\n" + event,
	} {
		t.Run(name, func(t *testing.T) { checkNotForwarded(t, answerRaw(text, nil)) })
	}
}

// A success without the signature of an upstream is the page of some other program. It does not
// reach callers, as an answer of its own or in the place of the rest of a stream.
func TestUnsignedSuccessReachesCallers(t *testing.T) {
	const rest = "id: 2\ndata: piece 2\n\n"
	for _, framing := range []string{"Content-Length: 22\r\n\r\n" + rest, "Transfer-Encoding: chunked\r\n\r\n16\r\n" + rest + "\r\n0\r\n\r\n", "\r\n" + rest} {
		checkNotForwarded(t, answerRaw("HTTP/1.1 200 OK\r\nId: ID\r\nUnsigned: 1\r\nContent-Type: text/event-stream\r\n"+framing, nil))
	}
}

// A status that no answer has must neither reach callers nor be waited past, as an interim answer
// is: nothing may follow it.
func TestBrokenStatusReachesCallers(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		text := "HTTP/1.1 " + status + " X\r\nId: ID\r\nContent-Type: text/event-stream\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"
		for name, end := range map[string]func(*net.TCPConn){"closed": nil, "held open": hold} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				start := time.Now()
				checkNotForwarded(t, answerRaw(text, end))
				if took := time.Since(start); took > heldOpenFor {
					t.Errorf("took %v, want less than %v", took, heldOpenFor)
				}
			})
		}
	}
}

// An answer without a length that is reset while the upload is still written is not complete,
// whichever side of the connection meets the reset.
func TestPartOfAnswerToUploadLooksComplete(t *testing.T) {
	const uploadBytes = 4 << 20
	event := wholeStream[:len(wholeStream)/2]
	late := func(c *net.TCPConn) {
		time.Sleep(time.Millisecond)
		reset(c)
	}
	part := answerRaw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\n"+event, late)
	next := answerRaw("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n\r\n"+wholeStream[len(event):], late)
	for _, tt := range []struct {
		name, path    string
		first, second http.HandlerFunc
		// want is the body that the caller gets, cut is set if it must not look complete.
		want string
		cut  bool
	}{
		{"unsafe request", "/once/x", part, ok, "", true},
		{"safe request", "/safe/x", part, writeEvents(2), wholeStream, false},
		{"stream", "/stream/x", part, writeEvents(2), event, true},
		{"resumable stream", "/resume/x", part, writeEvents(2), wholeStream, false},
		{"resumed stream", "/resume/x", writeEvents(-2), next, wholeStream, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := document()
			d.Limits.BodyBytes = uploadBytes
			for range 10 {
				f := newFixture(t, d, newUpstream(t, tt.first).URL, newUpstream(t, tt.second).URL)
				f.body = strings.Repeat("x", uploadBytes)
				resp, body, err := f.call(t, tt.path)
				failed := err != nil || resp.StatusCode == http.StatusBadGateway
				if resp != nil && resp.StatusCode != http.StatusOK {
					body = ""
				}
				if failed != tt.cut || body != tt.want {
					t.Errorf("got %d with %q (%v), want %q, cut: %t", statusOf(resp), body, err, tt.want, tt.cut)
				}
			}
		})
	}
}
