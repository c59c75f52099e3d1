package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for one server of a service. It announces itself, runs requests and
// pieces, and records what it runs.
type server struct {
	fleet       *fleet
	id, service string
	zone        string
	address     string
	slots       int
	born        int64
	http        *http.Server
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	seq         int
	state       string
	runs        map[string]int
	arrivals    []arrival
	results     map[string]bool
	needsInputs bool
	// before, if set, is called for each request; it has answered it if it returns true.
	before func(w http.ResponseWriter, r *http.Request) bool
	work   time.Duration
	// handle, if set, names the result of a piece, and onPiece is called for each piece.
	handle  func(s *server, id string, stage, piece int) string
	onPiece func(item pieceItem)
}

// arrival is a request that reached a server.
type arrival struct {
	at       time.Time
	id, path string
	gateway  string
}

func (f *fleet) newServer(id, service, zone string, slots int) *server {
	s := &server{fleet: f, id: id, service: service, zone: zone, slots: slots, state: "ready", runs: make(map[string]int), results: make(map[string]bool), work: 5 * time.Millisecond}
	return s
}

// start listens and announces the server until stop.
func (s *server) start(address string) error {
	if address == "" {
		address = s.fleet.serverHost() + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	s.born = time.Now().UnixMilli()
	s.seq = 0
	s.ctx, s.cancel = context.WithCancel(s.fleet.ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/stage-run", s.runPieces)
	mux.HandleFunc("POST /v1/stage-free", s.freeResults)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: r.Header.Get("Hawthornhub-Attempt-Id"), path: r.URL.Path, gateway: host})
		before := s.before
		s.mu.Unlock()
		if target := r.Header.Get("Hawthornhub-Target-Instance"); target != "" && target != s.id {
			w.Header().Set("Hawthornhub-Not-Executed", "1")
			w.Header().Set("Hawthornhub-Attempt-Id", r.Header.Get("Hawthornhub-Attempt-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if before != nil && before(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go s.http.Serve(ln)
	go s.announceLoop(s.ctx)
	return nil
}

// stop closes the server like the end of its process.
func (s *server) stop() {
	s.cancel()
	s.http.Close()
}

func (s *server) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.announce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// announce sends one heartbeat, to the next node until it is acknowledged.
func (s *server) announce(ctx context.Context) bool {
	s.mu.Lock()
	s.seq++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "cold-left-ms": 0, "seq": s.seq, "born": s.born,
	})
	s.mu.Unlock()
	registries := s.fleet.registries
	first := rand.IntN(len(registries))
	for i := range 6 {
		callCtx, cancel := context.WithTimeout(ctx, ackLimit)
		status, _, err := s.fleet.call(callCtx, http.MethodPut, "http://"+s.fleet.registryAddress(registries[(first+i)%len(registries)])+"/v1/instances/"+s.id, body)
		cancel()
		if err == nil && status/100 == 2 {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ran returns how often a request ran.
func (s *server) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *server) arrived() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// serve runs a request: an engine or a plain server.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Hawthornhub-Attempt-Id")
	io.Copy(io.Discard, r.Body)
	w.Header().Set("Hawthornhub-Attempt-Id", id)
	inputs := r.Header.Get("Hawthornhub-Inputs")
	if s.needsInputs && inputs == "" {
		w.Header().Set("Hawthornhub-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.fleet.record.add("server %s runs %s %s inputs %q", s.id, id, r.URL.Path, inputs)
	time.Sleep(s.work)
	w.Header().Set("Hawthornhub-Server-Seal", "seal-"+s.id+"-"+id)
	w.Header().Set("Hawthornhub-Server-Load", "1,0,"+strconv.Itoa(s.slots))
	if r.Header.Get("Hawthornhub-Token-Counts") == "" {
		fmt.Fprintf(w, "%s ran %s", s.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 4; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		w.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

type pieceItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

func (s *server) runPieces(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []pieceItem `json:"items"`
	}
	json.NewDecoder(r.Body).Decode(&call)
	time.Sleep(s.work)
	out := make([]map[string]string, len(call.Items))
	for i, item := range call.Items {
		if s.onPiece != nil {
			s.onPiece(item)
		}
		handle := fmt.Sprintf("%s/%016x", s.address, rand.Uint64())
		if s.handle != nil {
			handle = s.handle(s, item.ID, item.Stage, item.Piece)
		}
		s.mu.Lock()
		s.results[handle] = true
		s.mu.Unlock()
		out[i] = map[string]string{"handle": handle}
		s.fleet.record.add("server %s makes %s stage %d piece %d key %q inputs %s: %s", s.id, item.ID, item.Stage, item.Piece, item.Key, strings.Join(item.Inputs, " "), handle)
	}
	w.Header().Set("Hawthornhub-Server-Load", "1,0,"+strconv.Itoa(s.slots))
	json.NewEncoder(w).Encode(map[string]any{"items": out})
}

func (s *server) freeResults(_ http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	json.NewDecoder(r.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range call.Handles {
		delete(s.results, h)
	}
}
