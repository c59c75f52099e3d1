package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/budget"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// defaultBodyBytes bounds a body where the document does not.
	defaultBodyBytes = 4 << 20
	// shortRetry is when a caller may come back if nothing better is known.
	shortRetry = 300 * time.Millisecond
)

// Config builds a Server.
type Config struct {
	Wire Wire
	// Send sends a request to an upstream.
	Send func(ctx context.Context, t transport.Target, r transport.Request) transport.Outcome
	// Upstreams returns those of a service that may be called.
	Upstreams func(service string) []catalog.Upstream
	// Stages makes the pieces of an order.
	Stages func(ctx context.Context, o batcher.Order) batcher.Result
	// Wait returns how long a new order for a service is expected to wait: one
	// of a rank that is on time, and one that goes behind all others.
	Wait func(service string, rank site.Rank) (onTime, last time.Duration)
	// ZoneOf returns the availability zone in which a result lies, empty where
	// that is not known.
	ZoneOf func(handle string) string
	// Release gives the results of a stage back.
	Release func(service string, handles []string)
	Place   *balance.Table
	// Entries returns the number of living entries, at least 1.
	Entries func() int
	Retry   RetryLimit
	Zone    string
	Metrics tally.Scope
	Log     *zap.Logger
}

// RetryLimit bounds the extra sends to a service over all entries.
type RetryLimit struct {
	// Ratio is the number of extra sends for each request.
	Ratio float64
	// Slack is the number of extra sends that are free in a window.
	Slack float64
}

// Server passes requests on. It is safe for concurrent use.
type Server struct {
	cfg      Config
	index    atomic.Pointer[site.Index]
	draining atomic.Bool
	// drained is closed once the server drains.
	drained chan struct{}
	// waiting ends what has not been sent to an upstream, sent all else.
	waiting, sent       context.Context
	endWaiting, endSent context.CancelFunc
	budgets             sync.Map
	lasting             lasting
	// stopAt is when the process stops, once it drains.
	stopAt atomic.Value
	open   atomic.Int64
}

// NewServer returns a Server without a document.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, drained: make(chan struct{})}
	s.waiting, s.endWaiting = context.WithCancel(context.Background())
	s.sent, s.endSent = context.WithCancel(context.Background())
	return s
}

// Configure takes a new document. An older version than the one held is
// dropped.
func (s *Server) Configure(x *site.Index) {
	for {
		held := s.index.Load()
		if held != nil && held.Version >= x.Version {
			return
		}
		if s.index.CompareAndSwap(held, x) {
			return
		}
	}
}

// Index returns the document held, nil for none.
func (s *Server) Index() *site.Index { return s.index.Load() }

// Drain closes the callers' connections after their next answer. It refuses
// requests that would have to be held back, and streams that would last until
// end, when the process stops.
func (s *Server) Drain(end time.Time) {
	s.stopAt.Store(end)
	if s.draining.CompareAndSwap(false, true) {
		close(s.drained)
	}
}

// StopWaiting refuses the requests that no upstream has yet, so that their
// callers can go elsewhere.
func (s *Server) StopWaiting() { s.endWaiting() }

// StopSent fails the requests that an upstream has not answered.
func (s *Server) StopSent() { s.endSent() }

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// budget returns the extra sends to a service that this entry may make.
func (s *Server) budget(service string) *budget.Budget {
	if b, ok := s.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	share := max(1, s.cfg.Retry.Slack*slackShare/float64(s.cfg.Entries()))
	b, _ := s.budgets.LoadOrStore(service, budget.New(share))
	return b.(*budget.Budget)
}

const (
	// slackShare is the part of the free extra sends that is used; the rest
	// covers entries that do not know of each other.
	slackShare = 0.5
	// ratioShare is the part of the ratio that is used.
	ratioShare = 0.5
)

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := s.admit(r)
	if refusal != nil {
		s.refuse(w, q, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(s.sent, cancel)()
	q.run(ctx, w)
}

// admit matches a request to its route and account and reads it whole.
func (s *Server) admit(r *http.Request) (*request, *refusal) {
	q := &request{server: s, http: r, began: time.Now()}
	x := s.index.Load()
	if x == nil {
		return q, notRun("no configuration is known yet", shortRetry)
	}
	if limit := x.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return q, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the headers are over the limit; send less"}
	}
	attributes, err := s.cfg.Wire.Attributes(r.Header)
	q.Attributes = attributes
	if err != nil {
		return q, &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	route, ok := x.Route(r.Host, r.URL.Path)
	if !ok {
		return q, &refusal{status: http.StatusNotFound, reason: "no route for the host and path; check both"}
	}
	q.index, q.route, q.rank = x, route, site.RankOf(nil, route.Priority)
	if !route.Anonymous && x.Guarded() {
		account, ok := x.Account(attributes.Key)
		if !ok {
			return q, &refusal{status: http.StatusUnauthorized, reason: "the key is not known; send an account's key"}
		}
		q.account = account.Name
		q.rank = site.RankOf(account.Priority, route.Priority)
	}
	q.deadline = q.began.Add(route.Timeout)
	if attributes.Left > 0 && attributes.Left < route.Timeout {
		q.deadline = q.began.Add(attributes.Left)
	}
	if f := q.readBody(x.Limits.BodyBytes); f != nil {
		return q, f
	}
	if s.outlasts(route) {
		return q, q.stopped()
	}
	return q, nil
}

// headerBytes is the size of a request's head as it was sent, about.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func (q *request) readBody(limit int64) *refusal {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.http.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is over the limit; send less"}
	}
	if q.http.Body == nil || q.http.Body == http.NoBody {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(q.http.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "the body broke off: " + err.Error(), cut: true}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is over the limit; send less"}
	}
	q.body = body
	return nil
}

// refusal is an answer of this process's own.
type refusal struct {
	status int
	reason string
	// retry is when the caller may come back, 0 for no word.
	retry time.Duration
	// cut is set where the caller has gone.
	cut bool
	// inputsGone is set where the upstream found that results of the stages
	// have expired.
	inputsGone bool
	err        error
}

// notRun refuses a request that no upstream has run.
func notRun(reason string, retry time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retry: retry}
}

// mayHaveRun fails a request of which that is not certain.
func mayHaveRun(reason string, err error) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reason, err: err}
}

func (s *Server) refuse(w http.ResponseWriter, q *request, f *refusal) {
	if q.mayHaveRun && f.status == http.StatusServiceUnavailable {
		f = mayHaveRun(f.reason, f.err)
	}
	s.cfg.Metrics.Tagged(map[string]string{"status": strconv.Itoa(f.status)}).Counter("refused").Inc(1)
	s.cfg.Log.Info("request refused", q.fields(
		zap.Int("status", f.status), zap.String("reason", f.reason), zap.Duration("retry", f.retry), zap.Error(f.err))...)
	if f.cut {
		panic(http.ErrAbortHandler)
	}
	if f.retry > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retry.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	w.WriteHeader(f.status)
	if _, err := io.WriteString(w, f.reason+"\n"); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.cfg.Log.Debug("refusal not delivered", zap.String("request", q.ID), zap.Error(err))
	}
}
