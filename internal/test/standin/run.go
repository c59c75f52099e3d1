package standin

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
)

const (
	// tokensPerChunk is the number of tokens in a streamed chunk.
	tokensPerChunk = 8
	// bytesPerUnit is the input size in bytes that counts as one unit of work.
	bytesPerUnit = 64
)

// workUnits returns the size of a request in units of work: tokens for a
// generation, otherwise blocks of input.
func workUnits(r upstream.Request) int64 {
	if r.Kind == "generate" && r.Tokens > 0 {
		return int64(r.Tokens)
	}
	return 1 + int64(len(r.Input))/bytesPerUnit
}

// chunkCount returns the number of chunks in the response to a request.
func chunkCount(r upstream.Request) uint32 {
	if !r.Stream || r.Kind != "generate" {
		return 1
	}
	return max(1, (r.Tokens+tokensPerChunk-1)/tokensPerChunk)
}

// Output returns one chunk of the response to a request. All stand-ins return the
// same chunks for the same kind, model and input, so that a stream can be resumed on
// another one.
func Output(kind, model string, input []byte, seq uint32) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s|%s|%s|%d", kind, model, input, seq))
	return fmt.Appendf(nil, "%s:%x ", kind, sum[:6])
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var req upstream.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	s.cancels[req.ID] = cancel
	s.mu.Unlock()
	defer s.removeCancel(req.ID)
	s.runs.Add(1)
	if !s.acquireSlot(ctx) {
		s.cancelled.Add(1)
		return
	}
	defer s.releaseSlot()
	start := time.Now()
	defer func() { s.busyUs.Add(time.Since(start).Microseconds()) }()
	if err := s.respond(ctx, w, req); err != nil {
		s.cancelled.Add(1)
		panic(http.ErrAbortHandler)
	}
	s.done.Add(1)
}

func (s *Server) removeCancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, id)
}

func (s *Server) acquireSlot(ctx context.Context) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.running.Add(-1)
	<-s.slots
}

// respond sends the chunks of the response. The service time is divided equally
// between them.
func (s *Server) respond(ctx context.Context, w http.ResponseWriter, req upstream.Request) error {
	f := s.fault.Load()
	n := chunkCount(req)
	total := time.Duration(s.cfg.BaseUs+s.cfg.PerUnitUs*workUnits(req)) * time.Microsecond
	if f.SlowFactor > 0 {
		total = time.Duration(float64(total) * f.SlowFactor)
	}
	chunkTime := total / time.Duration(n)
	enc := json.NewEncoder(w)
	for seq := req.FirstChunk; seq < n; seq++ {
		if err := sleep(ctx, chunkTime); err != nil {
			return err
		}
		if dieAt := s.fault.Load().DieAtChunk; dieAt > 0 && seq >= dieAt {
			s.cfg.Exit(1)
		}
		if err := s.execute(ctx, req, f); err != nil {
			return err
		}
		line := upstream.Line{ID: req.ID, Seq: seq, Data: Output(req.Kind, req.Model, req.Input, seq)}
		if err := enc.Encode(line); err != nil {
			return err
		}
		if n > 1 {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
	}
	return enc.Encode(upstream.Line{ID: req.ID, End: true, Chunks: n, Tokens: req.Tokens})
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute appends an at-most-once call to the record file, and applies the faults
// that occur before or after this. It does nothing for other calls.
func (s *Server) execute(ctx context.Context, req upstream.Request, f *Fault) error {
	if req.Key == "" {
		return nil
	}
	if f.DieBefore {
		s.cfg.Exit(1)
	}
	if f.StallBefore {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.recordFile != nil {
		s.mu.Lock()
		_, err := fmt.Fprintf(s.recordFile, "%s %s %s\n", req.Account, req.Key, req.ID)
		s.mu.Unlock()
		if err != nil {
			return fmt.Errorf("append to record file: %w", err)
		}
	}
	if f.DieAfter {
		s.cfg.Exit(1)
	}
	if f.StallAfter {
		<-ctx.Done()
		return ctx.Err()
	}
	if f.DropAnswer {
		return fmt.Errorf("response dropped by an injected fault")
	}
	return nil
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var c upstream.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cancel := s.cancels[c.ID]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o upstream.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fenced && o.Number <= s.lastOrder {
		http.Error(w, "old number", http.StatusConflict)
		return
	}
	s.lastOrder = o.Number
	if o.Action == "load" {
		s.model = o.Model
	}
	if s.recordFile != nil {
		fmt.Fprintf(s.recordFile, "order %d %s %s\n", o.Number, o.Action, o.Model)
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	fmt.Fprintln(w, "ok")
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(Stats{
		Runs:      s.runs.Load(),
		Done:      s.done.Load(),
		Cancelled: s.cancelled.Load(),
		BusyUs:    s.busyUs.Load(),
		Waiting:   s.waiting.Load(),
		Running:   s.running.Load(),
	})
}
