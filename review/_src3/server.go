package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server: it announces itself and records what it runs.
type server struct {
	f                          *fleet
	id, service, address, zone string
	slots                      int
	born                       int64
	handle                     func(w http.ResponseWriter, r *http.Request, id string, body []byte)

	mu    sync.Mutex
	seq   int
	state string
	stop  chan struct{}
	runs  map[string]int
	heads map[string]http.Header
	http  *http.Server
}

func (f *fleet) newServer(id, service string) *server {
	ln, err := net.Listen("tcp", "127.0.2.1:0")
	must(err)
	s := &server{
		f: f, id: id, service: service, address: ln.Addr().String(), zone: "za", slots: 6, born: time.Now().UnixMilli(), state: "ready",
		stop: make(chan struct{}), runs: make(map[string]int), heads: make(map[string]http.Header),
	}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(ln)
	go s.beat()
	return s
}

// beat announces the server once in a while, to one control instance after the other.
func (s *server) beat() {
	for i := 0; ; i++ {
		s.announce(i % 3)
		select {
		case <-s.stop:
			return
		case <-time.After(600 * time.Millisecond):
		}
	}
}

// announce sends one heartbeat and returns its status.
func (s *server) announce(control int) int {
	s.mu.Lock()
	s.seq++
	body := encode(object{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state, "cold-left-ms": 0, "seq": s.seq, "born": s.born})
	s.mu.Unlock()
	status, _ := call(http.MethodPut, "http://"+s.f.address(controlHost(control), "control")+"/v1/instances/"+s.id, body, time.Second)
	return status
}

func (s *server) close() {
	close(s.stop)
	s.http.Close()
}

// ServeHTTP answers a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Hawthornhub-Attempt-Id")
	if id != "" {
		w.Header().Set("Hawthornhub-Attempt-Id", id)
	}
	w.Header().Set("Hawthornhub-Server-Load", fmt.Sprintf("1,0,%d", s.slots))
	if t := r.Header.Get("Hawthornhub-Target-Instance"); t != "" && t != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Hawthornhub-Instance-Id", s.id)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.heads[id] = r.Header.Clone()
	n := s.runs[id]
	s.mu.Unlock()
	s.f.rec.printf("server %s runs %s %s (run %d), tenant %q", s.id, r.Method, r.RequestURI+" "+id, n, r.Header.Get("Hawthornhub-Tenant"))
	if s.handle != nil {
		s.handle(w, r, id, body)
		return
	}
	w.Header().Set("Hawthornhub-Server-Seal", "seal."+s.id+"."+id)
	fmt.Fprintf(w, "%s ran %s", s.id, id)
}

// ran returns the headers of a request, and whether the server ran it.
func (s *server) ran(id string) (http.Header, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heads[id], s.runs[id] > 0
}

// awaitServed waits until each gateway serves a request.
func (f *fleet) awaitServed(gateways int, path, key string) {
	end := time.Now().Add(15 * time.Second)
	for g := range gateways {
		for i := 0; f.request(g, fmt.Sprintf("warm-%d-%d", g, i), path, key, clientTimeout).status != http.StatusOK; i++ {
			if time.Now().After(end) {
				panic(errSetup{fmt.Errorf("gateway %d serves nothing", g+1)})
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fleet) request(gateway int, id, path, key string, timeout time.Duration, headers ...string) answer {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.address(gatewayHost(gateway), "front")+path, strings.NewReader("body of "+id))
	must(err)
	r.Host = "a.example"
	r.Header.Set("Hawthornhub-Attempt-Id", id)
	r.Header.Set("Hawthornhub-Time-Left-Ms", fmt.Sprint(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		f.rec.printf("client: %s %s: %v", path, id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	f.rec.printf("client: %s %s: %d %.80q %v", path, id, resp.StatusCode, text, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}
