package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
)

const (
	// announceInterval is the time between announcements.
	announceInterval = time.Second
	// reportInterval is the time between load reports.
	reportInterval = 250 * time.Millisecond
	// postTimeout bounds a message to the agent.
	postTimeout = time.Second
)

// Config starts a Server.
type Config struct {
	// Address is where to serve HTTP, as IP:port.
	Address string
	// Agent is the agent's announcement address, empty for none.
	Agent string
	Kind  string
	Model string
	Slots int
	// BaseUs and PerUnitUs are the service time in microseconds: the base and
	// what each unit of size adds.
	BaseUs    int64
	PerUnitUs int64
	// Fenced refuses orders whose number is not above the last.
	Fenced bool
	// Record names the file that paid actions are written to.
	Record string
	// Lag is how old the load reports are.
	Lag time.Duration
	// Exit ends the process on command; nil is os.Exit.
	Exit func(int)
}

// Fault is what the stand-in does wrong, set on POST /v1/fault.
type Fault struct {
	// Slow multiplies the service times; 0 is 1.
	Slow float64 `json:"slow,omitempty"`
	// StallBefore and StallAfter hang before or after the paid action.
	StallBefore bool `json:"stall_before,omitempty"`
	StallAfter  bool `json:"stall_after,omitempty"`
	// DieBefore and DieAfter end the process before or after the paid action.
	DieBefore bool `json:"die_before,omitempty"`
	DieAfter  bool `json:"die_after,omitempty"`
	// DropAnswer closes the connection in place of an answer.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// DieAtChunk ends the process before it sends this chunk or a later one; 0
	// is never.
	DieAtChunk uint32 `json:"die_at_chunk,omitempty"`
}

// Stats answers GET /v1/stats.
type Stats struct {
	Runs      int64 `json:"runs"`
	Done      int64 `json:"done"`
	Cancelled int64 `json:"cancelled"`
	BusyUs    int64 `json:"busy_us"`
	Waiting   int64 `json:"waiting"`
	Running   int64 `json:"running"`
}

// Server is a running stand-in.
type Server struct {
	cfg      Config
	http     *http.Server
	address  string
	boot     string
	slots    chan struct{}
	fault    atomic.Pointer[Fault]
	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
	record   *os.File
	lastSeen uint64
	model    string
	runs     atomic.Int64
	done     atomic.Int64
	dropped  atomic.Int64
	busyUs   atomic.Int64
	waiting  atomic.Int64
	running  atomic.Int64
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup
}

// Start starts a stand-in and announces it.
func Start(cfg Config) (*Server, error) {
	if cfg.Exit == nil {
		cfg.Exit = os.Exit
	}
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	s := &Server{
		cfg:     cfg,
		boot:    uuid.NewString(),
		slots:   make(chan struct{}, cfg.Slots),
		cancels: make(map[string]context.CancelFunc),
		model:   cfg.Model,
	}
	s.fault.Store(&Fault{})
	if cfg.Record != "" {
		f, err := os.OpenFile(cfg.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open record: %w", err)
		}
		s.record = f
	}
	ln, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.address = ln.Addr().String()
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: postTimeout}
	s.wg.Add(3)
	go s.serve(ln)
	go s.announce()
	go s.report()
	return s, nil
}

// Address returns where it serves HTTP.
func (s *Server) Address() string { return s.address }

// SetFault replaces what the stand-in does wrong.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", s.run)
	mux.HandleFunc("POST /v1/cancel", s.cancel)
	mux.HandleFunc("POST /v1/order", s.order)
	mux.HandleFunc("POST /v1/fault", s.setFault)
	mux.HandleFunc("GET /v1/stats", s.stats)
	return mux
}

func (s *Server) serve(ln net.Listener) {
	defer s.wg.Done()
	if err := s.http.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}

func (s *Server) every(d time.Duration, do func()) {
	defer s.wg.Done()
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		do()
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) announce() {
	s.every(announceInterval, func() {
		s.mu.Lock()
		model := s.model
		s.mu.Unlock()
		s.post("/v1/announce", upstream.Announcement{
			Kind:    s.cfg.Kind,
			Model:   model,
			Slots:   s.cfg.Slots,
			Address: s.address,
			Fenced:  s.cfg.Fenced,
			BootID:  s.boot,
		})
	})
}

// report sends what the load was a lag ago.
func (s *Server) report() {
	var past []upstream.Load
	keep := int(s.cfg.Lag/reportInterval) + 1
	s.every(reportInterval, func() {
		past = append(past, upstream.Load{Running: int(s.running.Load()), Waiting: int(s.waiting.Load())})
		if len(past) > keep {
			past = past[1:]
		}
		l := past[0]
		l.AgeMs = int64(len(past)-1) * reportInterval.Milliseconds()
		s.post("/v1/load", l)
	})
}

func (s *Server) post(path string, body any) {
	if s.cfg.Agent == "" {
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, postTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.cfg.Agent+path, bytes.NewReader(b))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
}

// Close stops the stand-in and waits.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.wg.Wait()
	if s.record != nil {
		err = errors.Join(err, s.record.Close())
	}
	return err
}
