package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
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
	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/budget"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/serve/membudget"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// defaultMaxBodyBytes limits request bodies if the document sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// defaultRetryAfter is sent in Retry-After if no better estimate is known.
	defaultRetryAfter = 300 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	// Headers parses and writes the headers of requests and responses.
	Headers HeaderCodec
	// Send sends a request to an upstream.
	Send func(ctx context.Context, t transport.Target, r transport.Request) transport.Outcome
	// AwaitCurrent returns once this process knows the present configuration, or an
	// error if it does not get to know it in time; nil waits for nothing.
	AwaitCurrent func(ctx context.Context) error
	// UpstreamEnded reports whether an upstream has ended without having announced so;
	// it is asked after an answer has broken off. nil means that none has.
	UpstreamEnded func(ctx context.Context, u catalog.Upstream) bool
	// Upstreams returns the available upstreams of a service.
	Upstreams func(service string) []catalog.Upstream
	// AllLeave is asked about a service without available upstreams. It reports whether
	// the last ones have said in answers that they leave; nil stands for no.
	AllLeave func(service string) bool
	// AskedToWait reports whether an upstream of a service has asked for no requests for a
	// while; nil stands for no.
	AskedToWait func(service string) bool
	// Rules tell which of them may be called at the moment.
	Rules eligible.Rules
	// Evacuated returns the number of upstreams of a service that Upstreams leaves out
	// because their availability zone is evacuated; nil stands for none.
	Evacuated func(service string) int
	// NextCall returns how long after now one of the upstreams may be called by a request
	// that a number of others are ahead of; nil uses the shortest wait of Rules.
	NextCall func(now time.Time, upstreams []catalog.Upstream, ahead int) time.Duration
	// RunStage runs the pieces of one stage of a request.
	RunStage func(ctx context.Context, job batcher.Job) batcher.Result
	// QueueWait returns the expected queue wait of new work of an account for a service
	// that prefers an availability zone: of work of the given rank that can meet its
	// latency objective, and of work that cannot.
	QueueWait func(service, zone, account string, rank site.Rank) (onTime, total time.Duration)
	// Commit tells the owner of a job's service that an admitted request will send the job;
	// nil reserves no capacity. QueueWait counts what is committed.
	Commit func(job batcher.Job) Commitment
	// Fair reports whether scarce capacity is shared between accounts; nil means that it
	// is not.
	Fair func() bool
	// Asked records that an account asks for the pieces of a stage. It is called for each
	// stage of each request while Fair holds.
	Asked func(job batcher.Job)
	// Standing returns the standing of an account at a service that prefers an
	// availability zone.
	Standing func(service, zone, account string) fairshare.Standing
	// ResultZone returns the availability zone of the upstream that holds a
	// result, empty if it is not known.
	ResultZone func(handle string) string
	// ReleaseResults frees the results of a stage at the upstreams.
	ReleaseResults func(service string, handles []string)
	// Breakers holds the breakers of prompt segments; nil holds none.
	Breakers *breaker.Guard
	// Balancer chooses the upstream of each attempt.
	Balancer *balance.Balancer
	// StageTimes holds the learned times of stages from their dispatch to their results, by
	// service; nil uses the configured durations of calls.
	StageTimes *capacity.Model
	// EntryCount returns the number of live entries, the processes that accept
	// requests from callers. It is at least 1.
	EntryCount func() int
	Retry      RetryBudget
	// HeldBytes is the memory for what is held for callers, the bodies of their requests
	// and what of answers they have not read, 0 for 32 MiB.
	HeldBytes int64
	// Zone is the availability zone of this process.
	Zone    string
	Metrics tally.Scope
	Log     *zap.Logger
}

// RetryBudget limits the retries to a service, summed over all entries.
type RetryBudget struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Burst is the number of retries that are allowed in a window whatever the
	// number of requests.
	Burst float64
}

// Server forwards requests to upstreams. It is safe for concurrent use.
type Server struct {
	cfg      Config
	index    atomic.Pointer[site.Index]
	draining atomic.Bool
	// drainStarted is closed when draining starts.
	drainStarted chan struct{}
	// RejectUnsent cancels unsentCtx, which ends the work on requests that have
	// not been sent to an upstream. CancelSent cancels sentCtx, which ends all work
	// on requests.
	unsentCtx, sentCtx       context.Context
	cancelUnsent, cancelSent context.CancelFunc
	// configured is closed by the first call of Configure.
	configured chan struct{}
	// budgets holds the *budget.Budget of each service by name.
	budgets sync.Map
	// durations are those of whole requests, sendDurations those from the end of the
	// stages to the end of the response.
	durations     routeDurations
	sendDurations routeDurations
	// responseTimes are those from sending a request to the end of the response.
	responseTimes routeDurations
	// stopAt is the time.Time at which the process stops, set when draining
	// starts.
	stopAt   atomic.Value
	inFlight atomic.Int64
	// memory is what is held for callers.
	memory *membudget.Budget
	// bodies counts the bodies that each upstream holds.
	bodies  *membudget.Loads
	sharing sharing
	// waiting counts the requests of each service by name that wait until an upstream may
	// be called.
	waiting waitCounts
}

// configurationWait is how long a request waits for the first site document. A
// process that has just started gets it within a moment, and the caller would lose
// more by another try.
const configurationWait = 500 * time.Millisecond

// NewServer returns a Server that serves nothing until Configure is called: requests
// wait for configurationWait and are then answered with 503.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, drainStarted: make(chan struct{}), configured: make(chan struct{}), sharing: newSharing(), bodies: membudget.NewLoads()}
	s.memory = membudget.New(cmp.Or(cfg.HeldBytes, defaultHeldBytes))
	s.unsentCtx, s.cancelUnsent = context.WithCancel(context.Background())
	s.sentCtx, s.cancelSent = context.WithCancel(context.Background())
	return s
}

// Configure replaces the site document. It does nothing unless the version is
// newer than the current one.
func (s *Server) Configure(x *site.Index) {
	for {
		current := s.index.Load()
		if current != nil && current.Version >= x.Version {
			return
		}
		if s.index.CompareAndSwap(current, x) {
			// Of two calls at one time the later document counts.
			s.memory.SetAccounts(accountCount(s.index.Load()))
			if current == nil {
				close(s.configured)
			}
			return
		}
	}
}

// accountCount returns the number of accounts that callers may have, with the one of
// requests without a key.
func accountCount(x *site.Index) int { return len(x.Accounts) + 1 }

// Index returns the current document, nil if there is none.
func (s *Server) Index() *site.Index { return s.index.Load() }

// awaitIndex returns the current document. It waits for the first one until
// configurationWait has passed, ctx is done or the process drains; then it returns nil.
func (s *Server) awaitIndex(ctx context.Context) *site.Index {
	if x := s.index.Load(); x != nil {
		return x
	}
	timer := time.NewTimer(configurationWait)
	defer timer.Stop()
	select {
	case <-s.configured:
	case <-ctx.Done():
	case <-s.drainStarted:
	case <-timer.C:
	}
	return s.index.Load()
}

// Drain closes each caller's connection after its next response. From then on
// the Server rejects requests that would have to be held back, and those that would
// probably still run at end, when the process stops.
func (s *Server) Drain(end time.Time) {
	s.stopAt.Store(end)
	if s.draining.CompareAndSwap(false, true) {
		close(s.drainStarted)
	}
}

// RejectUnsent rejects the requests that have not been sent to an upstream, so
// that their callers can try another entry.
func (s *Server) RejectUnsent() { s.cancelUnsent() }

// CancelSent cancels all requests in progress. Those that were sent and have no
// answer yet fail with 504, and responses that are being forwarded are aborted.
func (s *Server) CancelSent() {
	if n := s.inFlight.Load(); n > 0 {
		s.cfg.Log.Warn("open requests aborted at the end of the grace period", zap.Int64("requests", n))
	}
	s.cancelSent()
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// budget returns this entry's share of the retry budget of a service.
func (s *Server) budget(service string) *budget.Budget {
	if b, ok := s.budgets.Load(service); ok {
		return b.(*budget.Budget)
	}
	burst := max(1, s.cfg.Retry.Burst*burstShare/float64(s.cfg.EntryCount()))
	b, _ := s.budgets.LoadOrStore(service, budget.New(burst))
	return b.(*budget.Budget)
}

const (
	// burstShare is the fraction of RetryBudget.Burst that is used. The rest
	// allows for entries that do not know of each other: each divides the budget
	// by the number of entries that it knows.
	burstShare = 0.5
	// ratioShare is the fraction of RetryBudget.Ratio that is used.
	ratioShare = 0.5
)

// ServeHTTP forwards one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, f := s.newRequest(r)
	defer q.releaseBody()
	if f != nil {
		s.writeFailure(w, q, f)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(s.sentCtx, cancel)()
	q.run(ctx, w)
}

// newRequest matches a request to its route and account and reads its body.
func (s *Server) newRequest(r *http.Request) (*request, *failure) {
	q := &request{server: s, http: r, start: time.Now()}
	if s.cfg.AwaitCurrent != nil {
		if err := s.cfg.AwaitCurrent(r.Context()); err != nil {
			return q, unavailable(err.Error(), defaultRetryAfter)
		}
	}
	x := s.awaitIndex(r.Context())
	if x == nil {
		return q, unavailable("no configuration is known yet", defaultRetryAfter)
	}
	if limit := x.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return q, &failure{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the headers are over the limit; send less"}
	}
	attributes, err := s.cfg.Headers.Parse(r.Header)
	q.Attributes = attributes
	if err != nil {
		return q, &failure{status: http.StatusBadRequest, reason: err.Error()}
	}
	for _, n := range attributes.Pieces {
		job := batcher.Job{RequestID: attributes.ID, Key: attributes.PieceKey, Pieces: n}
		if err := job.Validate(); err != nil {
			return q, &failure{status: http.StatusBadRequest, reason: err.Error()}
		}
	}
	route, ok := x.Route(r.Host, sentPath(r.RequestURI))
	if !ok {
		return q, &failure{status: http.StatusNotFound, reason: "no route for the host and path; check both"}
	}
	q.index, q.route, q.rank = x, route, site.RankOf(nil, route.Priority)
	if f := q.authenticate(); f != nil {
		return q, f
	}
	q.deadline = q.start.Add(route.Timeout)
	if attributes.Left > 0 && attributes.Left < route.Timeout {
		q.deadline = q.start.Add(attributes.Left)
	}
	if f := q.readBody(x.Limits.BodyBytes); f != nil {
		return q, f
	}
	if q.outlastsShutdown(&s.durations) {
		return q, q.stopping()
	}
	return q, nil
}

// authenticate sets the account of a request and the rank that follows from it. A key counts
// on every route: one that allows anonymous requests admits those that carry none, and no
// others without their account. The account stays that of the request until it ends, whatever
// later documents say.
func (q *request) authenticate() *failure {
	if !q.index.RequiresKey() {
		return nil
	}
	switch c := q.Credential.(type) {
	case NoKey:
		if q.route.AllowAnonymous {
			return nil
		}
		return unauthorized("the request has no key; send an account's key")
	case AmbiguousKey:
		return unauthorized("the request has several credentials; send one key")
	case Key:
		account, ok := q.index.Account(c.Value)
		if !ok {
			return unauthorized("the key is not known; send an account's key")
		}
		q.account = account.Name
		q.rank = site.RankOf(account.Priority, q.route.Priority)
		return nil
	default:
		panic(fmt.Sprintf("gateway: unhandled credential %T", c))
	}
}

// unauthorized returns a 401 for a request whose account is not known.
func unauthorized(reason string) *failure {
	return &failure{status: http.StatusUnauthorized, reason: reason}
}

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// failure is an error response that the gateway generates itself.
type failure struct {
	status int
	reason string
	// retryAfter is the value of Retry-After, 0 to omit the header.
	retryAfter time.Duration
	// callerGone is set if nobody is left to read the response.
	callerGone bool
	// bodyUnread is set if the body of the request was not read. net/http would read it
	// before the response is sent, unless the connection is closed after it.
	bodyUnread bool
	// inputsExpired is set if the upstream reported that results of the stages
	// have expired.
	inputsExpired bool
	// deferred is set if the upstream may not be called now and the request was not sent.
	deferred bool
	// closed is set if the upstream is not to be called for a while, by its own words. The
	// request may be sent to it afterwards.
	closed bool
	// service is the service of which no upstream may be called, if that is the reason.
	service string
	// segment is the prompt segment whose breaker is not closed, if that is the reason.
	segment string
	err     error
}

// fields returns the log fields that describe the failure.
func (f *failure) fields() []zap.Field {
	out := []zap.Field{zap.Int("status", f.status), zap.String("reason", f.reason), zap.Duration("retry", f.retryAfter), zap.Error(f.err)}
	if f.segment != "" {
		out = append(out, zap.String("segment", f.segment))
	}
	if f.service != "" {
		out = append(out, zap.String("service", f.service))
	}
	return out
}

// unavailable returns a 503, which guarantees that no upstream has run the
// request.
func unavailable(reason string, retryAfter time.Duration) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// badGateway returns a 502 for a request that an upstream may have run.
func badGateway(reason string, err error) *failure {
	return &failure{status: http.StatusBadGateway, reason: reason, err: err}
}

// writeFailure sends a failure to the caller. A 503 becomes a 502 if an earlier
// attempt may have run.
func (s *Server) writeFailure(w http.ResponseWriter, q *request, f *failure) {
	if q.mayHaveRun && f.status == http.StatusServiceUnavailable {
		f = &failure{status: http.StatusBadGateway, reason: f.reason, segment: f.segment, service: f.service, err: f.err}
	}
	f = s.shareRefusal(q, f)
	s.cfg.Metrics.Tagged(map[string]string{"status": strconv.Itoa(f.status)}).Counter("refused").Inc(1)
	if f.segment != "" {
		s.cfg.Metrics.Counter("prompts_blocked").Inc(1)
	}
	s.cfg.Log.Info("request refused", q.fields(f.fields()...)...)
	if f.callerGone {
		panic(http.ErrAbortHandler)
	}
	if f.bodyUnread {
		w.Header().Set("Connection", "close")
	}
	if f.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(f.reason)+1))
	w.WriteHeader(f.status)
	if _, err := io.WriteString(w, f.reason+"\n"); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.cfg.Log.Debug("could not write error response", zap.String("request", q.ID), zap.Error(err))
	}
	if f.bodyUnread {
		q.discardBody(http.NewResponseController(w))
	}
}
