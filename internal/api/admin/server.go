package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// requestTimeout bounds an operator's request.
	requestTimeout = 10 * time.Second
	// askTimeout bounds the question to one process.
	askTimeout = time.Second
	// maxBodyBytes bounds an operator's body.
	maxBodyBytes = 4 << 20
)

// Config builds a Server.
type Config struct {
	Client *control.Client
	Pool   *link.Pool
	// Members returns the known processes.
	Members  func() []*fleetpb.Member
	Timeline *timeline.Recorder
}

// Server serves the operators. It is safe for concurrent use.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/document", s.guard(s.document))
	s.mux.HandleFunc("GET /v1/history", s.guard(s.history))
	s.mux.HandleFunc("GET /v1/orders", s.guard(s.orders))
	s.mux.HandleFunc("GET /v1/status", s.guard(s.status))
	s.mux.HandleFunc("GET /v1/timeline", s.guard(s.timeline))
	s.mux.HandleFunc("POST /v1/edits", s.guard(s.edit))
	s.mux.HandleFunc("POST /v1/orders", s.guard(s.order))
	s.mux.HandleFunc("POST /v1/drain", s.guard(s.drain))
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// session is an authenticated operator's request with the confirmed document.
type session struct {
	ctx  context.Context
	team string
	read *fleetpb.ReadReply
}

type handler func(w http.ResponseWriter, r *http.Request, in session)

// guard reads the confirmed document and checks the team's key against it.
func (s *Server) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		reply, err := s.cfg.Client.Read(ctx, &fleetpb.Read{Document: true, History: true, Orders: true})
		if err != nil {
			problem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: err.Error(), Remedy: "try again; check that most control instances run"})
			return
		}
		team := r.Header.Get(HeaderTeam)
		if !allowed(reply, team, r.Header.Get(HeaderKey)) {
			problem(w, http.StatusUnauthorized, Problem{Kind: "unauthorised", Detail: "the team or its key is wrong", Remedy: "give --team and --key-file"})
			return
		}
		next(w, r, session{ctx: ctx, team: team, read: reply})
	}
}

func allowed(reply *fleetpb.ReadReply, team, key string) bool {
	texts := make(map[string]string)
	for _, sec := range reply.GetDocument().GetSections() {
		texts[sec.Name] = sec.Text
	}
	schema, err := document.Parse(document.Join(texts))
	if err != nil {
		return false
	}
	t, known := schema.Teams[team]
	want, _ := hex.DecodeString(t.KeySHA256)
	got := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(got[:], want) == 1 && known
}

func problem(w http.ResponseWriter, status int, p Problem) { writeJSON(w, status, p) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		problem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: err.Error(), Remedy: "send the documented JSON"})
		return false
	}
	return true
}

// ask questions every living process at once and returns the names of those
// that did not answer.
func (s *Server) ask(ctx context.Context, e *fleetpb.Envelope, take func(*fleetpb.Envelope)) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var silent []string
	for _, m := range s.cfg.Members() {
		if m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply, err := s.cfg.Pool.RoundTrip(ctx, m.Link, &fleetpb.Envelope{Body: e.Body})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent = append(silent, m.Name)
				return
			}
			take(reply)
		}()
	}
	wg.Wait()
	sort.Strings(silent)
	return silent
}

func (s *Server) find(name string) *fleetpb.Member {
	for _, m := range s.cfg.Members() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func limitOf(r *http.Request) uint32 {
	n, err := strconv.ParseUint(r.URL.Query().Get("limit"), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

func missing(w http.ResponseWriter, name string) {
	problem(w, http.StatusNotFound, Problem{Kind: "unknown_process", Detail: fmt.Sprintf("no process %q", name), Remedy: "see hawthornhub status"})
}
