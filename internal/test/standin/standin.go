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
	// postTimeout limits a request to the agent.
	postTimeout = time.Second
)

// Config configures a Server.
type Config struct {
	// Address is the HTTP listen address as IP:port; the default is a free loopback
	// port.
	Address string
	// Agent is the announcement address of the agent, or empty for none.
	Agent string
	Kind  string
	Model string
	// Slots is the number of calls that run concurrently.
	Slots int
	// The service time of a call is BaseUs plus PerUnitUs for each unit of its size,
	// in microseconds.
	BaseUs    int64
	PerUnitUs int64
	// Fenced rejects an order whose number is not higher than the last one.
	Fenced bool
	// RecordFile is the file to which executed at-most-once calls and accepted
	// orders are appended, or empty for none.
	RecordFile string
	// ReportDelay is the age of the load in a load report, rounded down to a multiple
	// of the report interval.
	ReportDelay time.Duration
	// Exit ends the process for an injected fault; the default is os.Exit.
	Exit func(int)
}

// Fault is the set of injected faults, as set on POST /v1/fault. The zero value is
// none. Only at-most-once calls are subject to the faults around their execution
// and to DropAnswer.
type Fault struct {
	// SlowFactor multiplies the service times; 0 means 1.
	SlowFactor float64 `json:"slow,omitempty"`
	// StallBefore and StallAfter block a call before or after its execution, until
	// it is cancelled.
	StallBefore bool `json:"stall_before,omitempty"`
	StallAfter  bool `json:"stall_after,omitempty"`
	// DieBefore and DieAfter end the process before or after an execution.
	DieBefore bool `json:"die_before,omitempty"`
	DieAfter  bool `json:"die_after,omitempty"`
	// DropAnswer closes the connection after the execution, without a response.
	DropAnswer bool `json:"drop_answer,omitempty"`
	// DieAtChunk ends the process before it sends a chunk with this number or a
	// higher one; 0 means never.
	DieAtChunk uint32 `json:"die_at_chunk,omitempty"`
}

// Stats is the response to GET /v1/stats. Waiting and Running are current values,
// the others are totals since the start.
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
	cfg        Config
	http       *http.Server
	address    string
	bootID     string
	slots      chan struct{}
	fault      atomic.Pointer[Fault]
	mu         sync.Mutex
	cancels    map[string]context.CancelFunc
	recordFile *os.File
	// lastOrder is the number of the last accepted order.
	lastOrder uint64
	model     string
	runs      atomic.Int64
	done      atomic.Int64
	cancelled atomic.Int64
	busyUs    atomic.Int64
	waiting   atomic.Int64
	running   atomic.Int64
	ctx       context.Context
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// Start starts a stand-in and the announcements to its agent.
func Start(cfg Config) (*Server, error) {
	if cfg.Exit == nil {
		cfg.Exit = os.Exit
	}
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	s := &Server{
		cfg:     cfg,
		bootID:  uuid.NewString(),
		slots:   make(chan struct{}, cfg.Slots),
		cancels: make(map[string]context.CancelFunc),
		model:   cfg.Model,
	}
	s.fault.Store(&Fault{})
	if cfg.RecordFile != "" {
		f, err := os.OpenFile(cfg.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, fmt.Errorf("open record file: %w", err)
		}
		s.recordFile = f
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

// Address returns the HTTP address as IP:port.
func (s *Server) Address() string { return s.address }

// SetFault replaces the injected faults.
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

// runEvery calls run at once and then at a fixed interval until the server stops.
func (s *Server) runEvery(d time.Duration, run func()) {
	defer s.wg.Done()
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		run()
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) announce() {
	s.runEvery(announceInterval, func() {
		s.mu.Lock()
		model := s.model
		s.mu.Unlock()
		s.post("/v1/announce", upstream.Announcement{
			Kind:    s.cfg.Kind,
			Model:   model,
			Slots:   s.cfg.Slots,
			Address: s.address,
			Fenced:  s.cfg.Fenced,
			BootID:  s.bootID,
		})
	})
}

// report sends the load as it was ReportDelay ago.
func (s *Server) report() {
	var samples []upstream.Load
	maxSamples := int(s.cfg.ReportDelay/reportInterval) + 1
	s.runEvery(reportInterval, func() {
		samples = append(samples, upstream.Load{Running: int(s.running.Load()), Waiting: int(s.waiting.Load())})
		if len(samples) > maxSamples {
			samples = samples[1:]
		}
		load := samples[0]
		load.AgeMs = int64(len(samples)-1) * reportInterval.Milliseconds()
		s.post("/v1/load", load)
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

// Close closes all connections and waits until announcements and load reports have
// stopped.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.wg.Wait()
	if s.recordFile != nil {
		err = errors.Join(err, s.recordFile.Close())
	}
	return err
}
