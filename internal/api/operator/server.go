package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/strictjson"
)

const (
	// requestTimeout is the maximum duration of an operator's request.
	requestTimeout = 10 * time.Second
	// queryTimeout is the maximum time to wait for the answers of the processes.
	queryTimeout = time.Second
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 4 << 20
)

// Config configures a Server.
type Config struct {
	Client *control.Client
	Pool   *link.Pool
	// Members returns the known processes, including dead ones.
	Members  func() []*fleetpb.Member
	Timeline *timeline.Recorder
}

// Server is the HTTP handler for operators. It is safe for concurrent use.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// NewServer returns a Server.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/document", s.authenticate(s.document))
	s.mux.HandleFunc("GET /v1/history", s.authenticate(s.history))
	s.mux.HandleFunc("GET /v1/orders", s.authenticate(s.orders))
	s.mux.HandleFunc("GET /v1/status", s.authenticate(s.status))
	s.mux.HandleFunc("GET /v1/timeline", s.authenticate(s.timeline))
	s.mux.HandleFunc("POST /v1/edits", s.authenticate(s.edit))
	s.mux.HandleFunc("POST /v1/orders", s.authenticate(s.order))
	s.mux.HandleFunc("POST /v1/drain", s.authenticate(s.drain))
	s.mux.HandleFunc("POST /v1/evacuations/{zone}", s.authenticate(s.evacuate))
	s.mux.HandleFunc("DELETE /v1/evacuations/{zone}", s.authenticate(s.evacuate))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// request is an authenticated request with the state that a quorum of control
// instances confirmed when it arrived.
type request struct {
	ctx   context.Context
	team  string
	state *fleetpb.ReadReply
	// arrived is when the request arrived, by watch.BootTime.
	arrived time.Duration
}

type handler func(w http.ResponseWriter, r *http.Request, req request)

// authenticate reads the confirmed state and checks the team's key against the
// document in it, before it calls next.
func (s *Server) authenticate(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		arrived := watch.BootTime()
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		reply, err := s.cfg.Client.Read(ctx, &fleetpb.Read{Document: true, History: true, Orders: true, Evacuations: true})
		if err != nil {
			writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: err.Error(), Remedy: "try again; check that most control instances run"})
			return
		}
		team := r.Header.Get(HeaderTeam)
		if !validKey(reply, team, r.Header.Get(HeaderTeamKey)) {
			writeProblem(w, http.StatusUnauthorized, Problem{Kind: "unauthorised", Detail: "the team or its key is wrong", Remedy: "give --team and --key-file"})
			return
		}
		next(w, r, request{ctx: ctx, team: team, state: reply, arrived: arrived})
	}
}

func validKey(reply *fleetpb.ReadReply, team, key string) bool {
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

func writeProblem(w http.ResponseWriter, status int, p Problem) { writeJSON(w, status, p) }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = strictjson.DecodeKnown(body, v)
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: err.Error(), Remedy: "send the documented JSON"})
		return false
	}
	return true
}

// queryAll sends e to all processes that are not dead in parallel, calls onReply
// with each answer, one at a time, and returns the names of the processes that
// did not answer.
func (s *Server) queryAll(ctx context.Context, e *fleetpb.Envelope, onReply func(*fleetpb.Envelope)) []string {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var unresponsive []string
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
				unresponsive = append(unresponsive, m.Name)
				return
			}
			onReply(reply)
		}()
	}
	wg.Wait()
	sort.Strings(unresponsive)
	return unresponsive
}

func (s *Server) findMember(name string) *fleetpb.Member {
	for _, m := range s.cfg.Members() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// limitParam returns the query parameter limit, or 0 for none. It answers a request whose
// parameter is no such number, and returns false.
func limitParam(w http.ResponseWriter, r *http.Request) (uint32, bool) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: fmt.Sprintf("limit: %q is not a whole number", text), Remedy: "send a number of entries, or leave it out for all"})
		return 0, false
	}
	return uint32(n), true
}

func writeUnknownProcess(w http.ResponseWriter, name string) {
	writeProblem(w, http.StatusNotFound, Problem{Kind: "unknown_process", Detail: fmt.Sprintf("no process %q", name), Remedy: "see hawthornhub status"})
}
