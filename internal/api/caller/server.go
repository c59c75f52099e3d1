package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/serve/limit"
	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/strictjson"
)

// Headers of requests; X-Request-Id is a header of responses.
const (
	HeaderAccount        = "X-Account"
	HeaderAccountKey     = "X-Account-Key"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
)

// Config configures a Server.
type Config struct {
	// Entry is the name of the entry, the prefix of its request IDs.
	Entry    string
	Executor *pipeline.Executor
	Limiter  *limit.Limiter
	Follower *control.Follower
	Timeline *timeline.Recorder
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	cfg     Config
	mux     *http.ServeMux
	history *history
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), history: newHistory()}
	s.mux.HandleFunc("POST /v1/pipelines/{name}", s.runPipeline)
	s.mux.HandleFunc("GET /v1/requests/{id}", s.requestStatus)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// runPipeline serves POST /v1/pipelines/{name}.
func (s *Server) runPipeline(w http.ResponseWriter, r *http.Request) {
	id := s.cfg.Entry + "-" + uuid.Must(uuid.NewV7()).String()
	w.Header().Set(HeaderRequestID, id)
	req, body, err := s.parse(w, r, id)
	if err != nil {
		s.writeRefusal(w, id, err)
		return
	}
	s.history.start(id, req.Account)
	if body.Stream {
		s.streamPipeline(w, r, req)
		return
	}
	resp, err := s.cfg.Executor.Run(r.Context(), req)
	s.history.finish(id, resp, err)
	if err != nil {
		s.writeRefusal(w, id, err)
		return
	}
	writeJSON(w, http.StatusOK, Response{RequestID: id, Output: string(resp.Output), Chunks: resp.Chunks, Stages: resp.Stages})
}

func (s *Server) writeRefusal(w http.ResponseWriter, id string, err error) {
	refusal := newRefusal(id, err)
	if refusal.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((refusal.RetryAfterMs+999)/1000, 10))
	}
	s.cfg.Timeline.Add("refuse", id, refusal.Kind+" ran "+refusal.Ran+": "+refusal.Detail)
	writeJSON(w, httpStatus(refuse.Kind(refusal.Kind)), refusal)
}

func newRefusal(id string, err error) Refusal {
	var e *refuse.Error
	if !errors.As(err, &e) {
		e = refuse.New(refuse.UpstreamFailed, refuse.RanUnknown, err.Error(), "report this answer to the operators")
	}
	return Refusal{
		RequestID:    id,
		Kind:         string(e.Kind),
		Ran:          string(e.Ran),
		Detail:       e.Detail,
		Remedy:       e.Remedy,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// parse authenticates and validates a request and applies the account's rate
// limit, before any stage runs.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id string) (pipeline.Request, Body, error) {
	schema := s.cfg.Follower.Document().Schema
	account, err := authenticate(schema, r)
	if err != nil {
		return pipeline.Request{}, Body{}, err
	}
	body, err := s.decodeBody(w, r)
	if err != nil {
		return pipeline.Request{}, Body{}, err
	}
	req := pipeline.Request{
		ID:       id,
		Account:  account,
		Pipeline: r.PathValue("name"),
		Input:    []byte(body.Input),
		Tokens:   body.Tokens,
		Prefix:   body.Prefix,
		Key:      r.Header.Get(HeaderIdempotencyKey),
	}
	p, ok := schema.Pipelines[req.Pipeline]
	if !ok {
		return req, body, refuse.New(refuse.UnknownName, refuse.RanNo, fmt.Sprintf("no pipeline %q", req.Pipeline), "use a pipeline of the document")
	}
	if err := checkIdempotencyKey(p, req.Key); err != nil {
		return req, body, err
	}
	if req.Deadline, err = requestDeadline(p, r); err != nil {
		return req, body, err
	}
	return req, body, s.cfg.Limiter.Take(r.Context(), account, schema.Accounts[account].Rate)
}

// authenticate returns the account of a request. It compares the hash of the
// request's key with the account's in constant time.
func authenticate(schema document.Schema, r *http.Request) (string, error) {
	name := r.Header.Get(HeaderAccount)
	account, known := schema.Accounts[name]
	want, _ := hex.DecodeString(account.KeySHA256)
	got := sha256.Sum256([]byte(r.Header.Get(HeaderAccountKey)))
	if !known || subtle.ConstantTimeCompare(got[:], want) != 1 {
		return "", refuse.New(refuse.Unauthorised, refuse.RanNo, "the account or its key is wrong", "send the headers "+HeaderAccount+" and "+HeaderAccountKey)
	}
	return name, nil
}

func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request) (Body, error) {
	var body Body
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxBodyBytes))
	if err == nil && len(bytes.TrimSpace(text)) == 0 {
		err = io.EOF
	}
	if err == nil {
		err = strictjson.DecodeKnown(text, &body)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return body, refuse.New(refuse.TooLarge, refuse.RanNo, "the body is too large", fmt.Sprintf("send at most %d bytes", s.cfg.MaxBodyBytes))
	case errors.Is(err, io.EOF):
		return body, refuse.New(refuse.BadRequest, refuse.RanNo, "the body is empty", "send a JSON object with input")
	case err != nil:
		return body, refuse.New(refuse.BadRequest, refuse.RanNo, "the body is not a valid request: "+err.Error(), "send a JSON object with input, tokens, prefix and stream")
	}
	return body, nil
}

// checkIdempotencyKey rejects a request without a valid key if the pipeline runs
// at most once.
func checkIdempotencyKey(p document.Pipeline, key string) error {
	if !p.Stages[len(p.Stages)-1].Once {
		return nil
	}
	if key == "" {
		return refuse.New(refuse.MissingKey, refuse.RanNo, "the pipeline may not be repeated and the request has no key", "send the header "+HeaderIdempotencyKey)
	}
	if _, err := ledger.KeyTime(key); err != nil {
		return refuse.New(refuse.BadRequest, refuse.RanNo, err.Error(), "send a key that carries its time")
	}
	return nil
}

// requestDeadline returns the earlier of the deadlines of the pipeline and of the
// request.
func requestDeadline(p document.Pipeline, r *http.Request) (time.Time, error) {
	ms := p.DeadlineMs
	if text := r.Header.Get(HeaderDeadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return time.Time{}, refuse.New(refuse.BadRequest, refuse.RanNo, "the deadline is not a number", "send "+HeaderDeadline+" in milliseconds")
		}
		ms = min(ms, n)
	}
	if ms <= 0 {
		return time.Time{}, refuse.New(refuse.Deadline, refuse.RanNo, "the deadline has passed", "allow more time")
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// streamPipeline responds with server-sent events. A failure after the first
// chunk was sent is reported as an error event.
func (s *Server) streamPipeline(w http.ResponseWriter, r *http.Request, req pipeline.Request) {
	events := &eventWriter{w: w, controller: http.NewResponseController(w)}
	req.Emit = events.writeChunk
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	resp, err := s.cfg.Executor.Run(ctx, req)
	s.history.finish(req.ID, resp, err)
	switch {
	case err != nil && !events.started:
		s.writeRefusal(w, req.ID, err)
	case err != nil:
		s.cfg.Timeline.Add("refuse", req.ID, err.Error())
		_ = events.writeEvent("", "error", newRefusal(req.ID, err))
	default:
		_ = events.writeEvent("", "end", Response{RequestID: req.ID, Chunks: resp.Chunks, Stages: resp.Stages})
	}
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	started    bool
}

func (e *eventWriter) writeChunk(seq uint32, data []byte) error {
	return e.writeEvent(strconv.FormatUint(uint64(seq), 10), "chunk", Chunk{Data: string(data)})
}

func (e *eventWriter) writeEvent(id, name string, data any) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.w.WriteHeader(http.StatusOK)
	}
	b, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if id != "" {
		id = "id: " + id + "\n"
	}
	if _, err := fmt.Fprintf(e.w, "%sevent: %s\ndata: %s\n\n", id, name, b); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return e.controller.Flush()
}
