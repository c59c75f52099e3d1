package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is heartbeat-ms of the small sites.
	heartbeatInterval = 1200 * time.Millisecond
	// pieceCallTime and pieceTime are what a call and each of its pieces take.
	pieceCallTime = 240 * time.Millisecond
	pieceTime     = 15 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 10 * time.Millisecond
	events   = 4
)

// item is a piece in a call.
type item struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

func (i item) String() string { return fmt.Sprintf("%s/%d/%d", i.ID, i.Stage, i.Piece) }

// world is what the servers together know: which piece of which request each result is.
type world struct {
	mu      sync.Mutex
	results map[string]item
	// inputs holds the handles that the model server was given with each request.
	inputs map[string][]string
	// runs is how often the model server has begun to work on each request.
	runs map[string]int
	// gone holds the handles of results that no longer exist.
	gone map[string]bool
	made int
	// faults are the breaks of a rule that the servers have seen.
	faults []string
}

func newWorld() *world {
	return &world{results: make(map[string]item), inputs: make(map[string][]string), runs: make(map[string]int), gone: make(map[string]bool)}
}

// make adds a result at an address and returns its handle.
func (w *world) make(address string, of item) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	handle := fmt.Sprintf("%s/%08x", address, w.made)
	w.results[handle] = of
	return handle
}

// fault records a break of a rule.
func (w *world) fault(rec *record, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rec.note("SEEN: %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, text)
}

// faultCount returns how many breaks of a rule were seen.
func (w *world) faultCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.faults)
}

// checkInputs records a fault if inputs are not the results of the wanted pieces, each
// once.
func (w *world) checkInputs(rec *record, who string, inputs, want []string) {
	w.mu.Lock()
	got := make(map[string]int)
	var names []string
	for _, handle := range inputs {
		name := w.results[handle].String()
		got[name]++
		names = append(names, name)
	}
	w.mu.Unlock()
	same := len(got) == len(want) && len(inputs) == len(want)
	for _, name := range want {
		same = same && got[name] == 1
	}
	if !same {
		w.fault(rec, "%s was given the results of %v, due were %v", who, names, want)
	}
}

// server is a stand-in of a server. It answers one request at a time on a channel.
type server struct {
	id, service, address string
	f                    *fleet
	w                    *world
	ln                   net.Listener
	// answer answers a request.
	answer func(r *http.Request, body []byte) response
	born   int64
	slot   sync.Mutex
	mu     sync.Mutex
	seq    int
	// copyOf, if not nil, says whether an answer gets a second copy, which arrives where
	// the next answer on the channel is due.
	copyOf func(r *http.Request, out response) bool
	// answered, if not nil, is called after an answer was written.
	answered func(body []byte, out response)
	conns    map[net.Conn]bool
	crashed  bool
}

// response is an answer of a stand-in. If stream is set, it is called for the body after
// the head.
type response struct {
	status int
	header string
	body   []byte
	stream func(w io.Writer) error
}

// startServer starts a server that announces itself from now on.
func (f *fleet) startServer(id, service string, w *world, answer func(s *server) func(r *http.Request, body []byte) response) (*server, error) {
	s, err := f.newServer(id, service, w, answer)
	if err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// newServer starts a server that announces itself only when it is told to.
func (f *fleet) newServer(id, service string, w *world, answer func(s *server) func(r *http.Request, body []byte) response) (*server, error) {
	return f.newServerAt("127.0.42.1:0", id, service, w, answer)
}

func (f *fleet) newServerAt(address, id, service string, w *world, answer func(s *server) func(r *http.Request, body []byte) response) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: ln.Addr().String(), f: f, w: w, ln: ln, born: time.Now().UnixMilli(), conns: make(map[net.Conn]bool)}
	s.answer = answer(s)
	go s.accept()
	f.rec.note("server %s of %s at %s", id, service, s.address)
	return s, nil
}

// beat announces the server, at the next registry if one does not acknowledge it.
func (s *server) beat() {
	for {
		s.mu.Lock()
		if s.crashed {
			s.mu.Unlock()
			return
		}
		s.seq++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":"ready","cold-left-ms":0,"seq":%d,"born":%d}`, s.service, s.address, s.seq, s.born)
		s.mu.Unlock()
		for i := 1; i <= 3; i++ {
			if status, _ := s.f.controlCall(i, http.MethodPut, "/v1/instances/"+s.id, body); status == http.StatusOK {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// crash ends the server at once. Its results are gone with it.
func (s *server) crash() {
	s.f.rec.note("%s crashes", s.id)
	s.mu.Lock()
	s.crashed = true
	s.ln.Close()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.w.lose(s.address)
}

// lose removes the results at an address.
func (w *world) lose(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for handle := range w.results {
		if strings.HasPrefix(handle, address+"/") {
			w.gone[handle] = true
		}
	}
}

// missing reports whether one of the handles is of a result that is gone.
func (w *world) missing(handles []string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, handle := range handles {
		if _, ok := w.results[handle]; !ok || w.gone[handle] {
			return true
		}
	}
	return false
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.f.rec.note("%s sends a second copy of its last answer, where that to %s is due", s.id, r.URL.Path)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		out := response{status: http.StatusMisdirectedRequest}
		if r.Header.Get("Hawthornhub-Target-Instance") == s.id {
			out = s.answer(r, body)
		}
		head := out.head(r)
		if _, err := c.Write(head); err != nil {
			return
		}
		if out.stream != nil {
			if out.stream(c) != nil {
				return
			}
			continue
		}
		if s.copyOf != nil && s.copyOf(r, out) {
			late = head
		}
		if s.answered != nil {
			s.answered(body, out)
		}
	}
}

// head returns the bytes of an answer, without those of a stream.
func (o response) head(r *http.Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", o.status, http.StatusText(o.status))
	if id := r.Header.Get("Hawthornhub-Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Hawthornhub-Attempt-Id: %s\r\n", id)
	}
	b.WriteString(o.header)
	if o.stream != nil {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(o.body))
	b.Write(o.body)
	return b.Bytes()
}

// engine answers requests with a short stream, and records the inputs that it is given.
func engine(s *server) func(r *http.Request, body []byte) response {
	return func(r *http.Request, _ []byte) response {
		id, list := r.Header.Get("Hawthornhub-Attempt-Id"), r.Header.Get("Hawthornhub-Inputs")
		if list == "" {
			return response{status: http.StatusBadRequest, header: "Hawthornhub-Not-Executed: 1\r\n"}
		}
		handles := strings.Split(list, ",")
		if s.w.missing(handles) {
			s.f.rec.note("%s rejects %s: an input of %s is gone", s.id, id, list)
			return response{status: http.StatusConflict, header: "Hawthornhub-Not-Executed: 1\r\n"}
		}
		s.w.mu.Lock()
		s.w.inputs[id] = handles
		s.w.runs[id]++
		s.f.rec.note("%s runs %s with %s, for the %d. time", s.id, id, list, s.w.runs[id])
		s.w.mu.Unlock()
		return response{
			status: http.StatusOK,
			header: "Hawthornhub-Server-Seal: seal-" + s.id + "\r\nContent-Type: text/event-stream\r\nHawthornhub-Server-Load: 1,0,8,100\r\n",
			stream: func(w io.Writer) error {
				for i := 1; i <= events; i++ {
					time.Sleep(eventGap)
					event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
					if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event); err != nil {
						return err
					}
				}
				_, err := io.WriteString(w, "0\r\n\r\n")
				return err
			},
		}
	}
}

// pieceWorker works on pieces, one call at a time. fail says which pieces it fails.
func pieceWorker(fail func(item) bool) func(s *server) func(r *http.Request, body []byte) response {
	return func(s *server) func(r *http.Request, body []byte) response {
		return func(r *http.Request, body []byte) response {
			if r.URL.Path != "/v1/stage-run" {
				return response{status: http.StatusOK}
			}
			var call struct{ Items []item }
			if err := json.Unmarshal(body, &call); err != nil {
				return response{status: http.StatusBadRequest, header: "Hawthornhub-Not-Executed: 1\r\n"}
			}
			s.slot.Lock()
			defer s.slot.Unlock()
			time.Sleep(pieceCallTime + time.Duration(len(call.Items))*pieceTime)
			var out struct {
				Items []map[string]string `json:"items"`
			}
			for _, i := range call.Items {
				if fail(i) {
					s.f.rec.note("%s fails piece %s", s.id, i)
					out.Items = append(out.Items, map[string]string{"reason": "error"})
					continue
				}
				handle := s.w.make(s.address, i)
				s.f.rec.note("%s makes piece %s, inputs %v: %s", s.id, i, i.Inputs, handle)
				out.Items = append(out.Items, map[string]string{"handle": handle})
			}
			text, err := json.Marshal(out)
			if err != nil {
				return response{status: http.StatusInternalServerError}
			}
			return response{status: http.StatusOK, header: "Content-Type: application/json\r\nHawthornhub-Server-Load: 0,0,1,100\r\n", body: text}
		}
	}
}
