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
	// tokensPerChunk is the number of tokens of a streamed chunk.
	tokensPerChunk = 8
	// bytesPerUnit is the input size that counts as one unit.
	bytesPerUnit = 64
)

// size is the number of units of work of a request.
func size(r upstream.Request) int64 {
	if r.Kind == "generate" && r.Tokens > 0 {
		return int64(r.Tokens)
	}
	return 1 + int64(len(r.Input))/bytesPerUnit
}

// chunks is the number of chunks of a request's answer.
func chunks(r upstream.Request) uint32 {
	if !r.Stream || r.Kind != "generate" {
		return 1
	}
	return max(1, (r.Tokens+tokensPerChunk-1)/tokensPerChunk)
}

// Output returns a chunk of the answer that the stand-in gives to a request;
// it depends on the input alone, so that a resumed stream is the same stream.
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
	defer s.forget(req.ID)
	s.runs.Add(1)
	if !s.takeSlot(ctx) {
		s.dropped.Add(1)
		return
	}
	defer s.freeSlot()
	began := time.Now()
	defer func() { s.busyUs.Add(time.Since(began).Microseconds()) }()
	if err := s.work(ctx, w, req); err != nil {
		s.dropped.Add(1)
		panic(http.ErrAbortHandler)
	}
	s.done.Add(1)
}

func (s *Server) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, id)
}

func (s *Server) takeSlot(ctx context.Context) bool {
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

func (s *Server) freeSlot() {
	s.running.Add(-1)
	<-s.slots
}

// work sends the chunks of the answer, each after its part of the service
// time.
func (s *Server) work(ctx context.Context, w http.ResponseWriter, req upstream.Request) error {
	f := s.fault.Load()
	n := chunks(req)
	total := time.Duration(s.cfg.BaseUs+s.cfg.PerUnitUs*size(req)) * time.Microsecond
	if f.Slow > 0 {
		total = time.Duration(float64(total) * f.Slow)
	}
	part := total / time.Duration(n)
	enc := json.NewEncoder(w)
	for seq := req.FirstChunk; seq < n; seq++ {
		if err := sleep(ctx, part); err != nil {
			return err
		}
		if at := s.fault.Load().DieAtChunk; at > 0 && seq >= at {
			s.cfg.Exit(1)
		}
		if err := s.pay(ctx, req, f); err != nil {
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

// pay writes the paid action of a call that may not be repeated, and fails as
// commanded before or after it.
func (s *Server) pay(ctx context.Context, req upstream.Request, f *Fault) error {
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
	if s.record != nil {
		s.mu.Lock()
		_, err := fmt.Fprintf(s.record, "%s %s %s\n", req.Account, req.Key, req.ID)
		s.mu.Unlock()
		if err != nil {
			return fmt.Errorf("write record: %w", err)
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
		return fmt.Errorf("answer dropped on command")
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
	if s.cfg.Fenced && o.Number <= s.lastSeen {
		http.Error(w, "old number", http.StatusConflict)
		return
	}
	s.lastSeen = o.Number
	if o.Action == "load" {
		s.model = o.Model
	}
	if s.record != nil {
		fmt.Fprintf(s.record, "order %d %s %s\n", o.Number, o.Action, o.Model)
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
		Cancelled: s.dropped.Load(),
		BusyUs:    s.busyUs.Load(),
		Waiting:   s.waiting.Load(),
		Running:   s.running.Load(),
	})
}
