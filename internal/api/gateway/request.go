package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/membudget"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// connectionShare is the fraction of an upstream's connection limit that all
// entries together use.
const connectionShare = 0.8

// request is one request in progress.
type request struct {
	Attributes
	server *Server
	http   *http.Request
	body   []byte
	// bodyMemory is the memory of body, nil if there is none.
	bodyMemory *membudget.Hold
	// bodyAt is the ID of the upstream that holds a copy of body, empty if there is none.
	bodyAt   string
	start    time.Time
	deadline time.Time
	index    *site.Index
	route    *site.Route
	account  string
	rank     site.Rank
	// returned is set if the request is taken for the return of one that was refused.
	returned bool

	service *site.Service
	// zone caches the result of stageZone.
	zone   string
	stages []stageState
	// commitments are what the owners know of the stages whose jobs are not sent, empty if
	// nothing is reserved.
	commitments []Commitment
	// reruns is how often stages were run again because results had expired.
	reruns int
	// stagesTook is the time from start until all stages were complete.
	stagesTook time.Duration
	// attempts is the number of times that the request was sent.
	attempts int
	// mayHaveRun is set once an upstream may have run the request. From then on
	// no response may claim that it has not run.
	mayHaveRun bool
	// tried are the IDs of the upstreams that the request was sent to.
	tried []string
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	// upstream is that of the latest attempt, sentAt when the attempt began.
	upstream catalog.Upstream
	sentAt   time.Time
	// choice is how the balancer chose it.
	choice balance.Choice
	// expected caches the result of firstEventTime as of expectedAt.
	expected   time.Duration
	expectedAt time.Time
	// begunAt is when the first event or byte of its response arrived, zero before.
	begunAt time.Time
	// begunReported is set once the breakers know of that.
	begunReported bool
	// waitingEnds is the number of upstreams that ended before they responded.
	waitingEnds int
}

// fields returns the log fields that describe the request, followed by more.
func (q *request) fields(more ...zap.Field) []zap.Field {
	out := []zap.Field{zap.String("request", q.ID), zap.Duration("age", time.Since(q.start))}
	if q.route != nil {
		out = append(out, zap.String("route", q.route.Name), zap.Uint64("version", q.index.Version), zap.String("account", q.account))
	}
	if q.attempts > 0 {
		out = append(out, zap.Int("sends", q.attempts), zap.String("upstream", q.upstream.ID))
	}
	return append(out, more...)
}

// idempotent reports whether the request may run more than once.
func (q *request) idempotent() bool {
	return q.route.Kind == site.Safe || q.route.Kind == site.Streaming && q.route.Resumable
}

// run runs the stages, forwards the request and writes the response.
func (q *request) run(ctx context.Context, w http.ResponseWriter) {
	defer q.releaseAll()
	if f := q.chooseService(); f != nil {
		q.server.writeFailure(w, q, f)
		return
	}
	if f := orElse(q.checkPrompt(), q.checkZones()); f != nil {
		q.server.writeFailure(w, q, f)
		return
	}
	if f := q.checkCallable(); f != nil {
		q.server.writeFailure(w, q, f)
		return
	}
	q.server.budget(q.service.Name).Deposit(q.server.cfg.Retry.Ratio * ratioShare)
	unsentCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.server.unsentCtx, cancel)()
	q.recordAsked()
	if f := q.awaitAdmission(unsentCtx); f != nil {
		q.server.writeFailure(w, q, f)
		return
	}
	for {
		f := q.runStages(unsentCtx)
		if f != nil {
			q.server.writeFailure(w, q, f)
			return
		}
		q.stagesTook = time.Since(q.start)
		if q.attempts == 0 && q.outlastsShutdown(&q.server.sendDurations) {
			q.server.writeFailure(w, q, q.stopping())
			return
		}
		response, f := q.forward(ctx)
		if f == nil {
			q.respond(ctx, w, response)
			return
		}
		if !f.inputsExpired || !q.rerun(q.resultsOrigin(finalStages(q.route.Stages))) {
			q.server.writeFailure(w, q, f)
			return
		}
		// The upstream can serve the request once the results exist again.
		q.tried = nil
	}
}

// chooseService picks a service at random by the weights of the traffic split.
func (q *request) chooseService() *failure {
	total := 0.0
	for _, s := range q.route.Split {
		total += s.Weight
	}
	left := rand.Float64() * total
	for _, s := range q.route.Split {
		left -= s.Weight
		if left < 0 {
			q.service, _ = q.index.Service(s.Service)
			return nil
		}
	}
	return unavailable("no service has a weight on the route", defaultRetryAfter)
}

// forward sends the request until an upstream answers it or no further attempt
// is allowed.
func (q *request) forward(ctx context.Context) (*transport.Answered, *failure) {
	var last *failure
	deferrals := 0
	for picks := 0; picks < maxPicks; picks++ {
		if err := ctx.Err(); err != nil {
			return nil, q.contextFailure(last)
		}
		if f := q.checkPrompt(); f != nil {
			return nil, f
		}
		choice, wait, ok := q.pickUpstream()
		if !ok {
			if f := q.awaitUpstream(ctx, wait, last); f != nil {
				return nil, f
			}
			picks--
			continue
		}
		if choice, ok = q.awaitRoom(ctx, choice); !ok {
			continue
		}
		q.choice = choice
		response, f, retry := q.attempt(ctx, choice.Upstream)
		if response != nil {
			return response, nil
		}
		if f.deferred && deferrals < maxDeferrals {
			deferrals++
			picks--
			continue
		}
		last = f
		if !retry {
			return nil, f
		}
		if f.closed {
			picks--
		}
	}
	return nil, last
}

// maxPicks limits how often an upstream is picked for one request. Unlike the
// attempts of a route, it counts unreachable upstreams too.
const maxPicks = 6

// maxDeferrals limits how often a request is not sent because others took what its
// upstream may be sent at the moment, which does not count as a pick.
const maxDeferrals = 32

// contextFailure returns the failure of a request whose context ended before an
// upstream answered; last is the failure of the previous attempt, if any.
func (q *request) contextFailure(last *failure) *failure {
	if errors.Is(q.http.Context().Err(), context.Canceled) {
		return &failure{status: statusClientClosedRequest, reason: "the caller left", callerGone: true}
	}
	if q.attempts == 0 && q.server.unsentCtx.Err() != nil {
		return q.stopping()
	}
	if last != nil && last.status != http.StatusServiceUnavailable {
		return &failure{status: http.StatusGatewayTimeout, reason: "no answer in time", err: last.err}
	}
	if q.attempts > 0 && last == nil {
		return &failure{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return unavailable("the time is over before the request was sent", defaultRetryAfter)
}

// stopping returns the failure of a request that this process will not serve
// because it is shutting down.
func (q *request) stopping() *failure {
	return unavailable("this entry stops; send the request again, it goes to another", stoppingRetryAfter)
}

// stoppingRetryAfter is short because another entry can serve the request at
// once.
const stoppingRetryAfter = 50 * time.Millisecond

// statusClientClosedRequest is logged if the caller has disconnected; it is
// never sent.
const statusClientClosedRequest = 499

// pickUpstream chooses the upstream of the next attempt. If there is none, wait is the
// time after which one may be called again, 0 if none is expected.
func (q *request) pickUpstream() (c balance.Choice, wait time.Duration, ok bool) {
	now := time.Now()
	if q.server.evacuated(q.service.Name) > 0 {
		q.server.cfg.Metrics.Counter("requests_kept_from_zones").Inc(1)
	}
	callable, wait := q.server.cfg.Rules.Filter(now, q.server.cfg.Upstreams(q.service.Name))
	c, ok = q.server.cfg.Balancer.Choose(now, q.pickInfo(), q.withRoomForBody(callable))
	return c, wait, ok
}

// pickInfo describes the request to the balancer.
func (q *request) pickInfo() balance.PickInfo {
	info := balance.PickInfo{Exclude: q.tried, Prefix: q.sharedPrefix(), TimeLeft: time.Until(q.start.Add(q.route.Objective))}
	if len(q.route.Stages) > 0 {
		info.Zone = q.stageZone()
		info.InputBytes = q.finalResultBytes()
	}
	if q.service.Engine != nil {
		for _, s := range q.Prompt {
			info.Prompt = append(info.Prompt, balance.Segment{ID: s.ID, Tokens: s.Tokens})
		}
	}
	return info
}

// retryAfterWait returns the Retry-After of a request that no upstream may be sent for
// the time wait.
func retryAfterWait(wait time.Duration) time.Duration {
	if wait == 0 || wait == eligible.Unknown {
		return defaultRetryAfter
	}
	return wait
}

// sharedPrefix returns the ID of the last prompt segment that other requests
// have too, empty if there is none.
func (q *request) sharedPrefix() string {
	n := len(q.Prompt)
	if n == 0 || !q.route.Sticky {
		return ""
	}
	return q.Prompt[max(0, n-1-unsharedSegments)].ID
}

// unsharedSegments is the number of segments at the end of a prompt that belong
// to the request or its session alone.
const unsharedSegments = 1

// attempt sends the request to one upstream. retry reports whether it may be
// sent to another.
func (q *request) attempt(ctx context.Context, u catalog.Upstream) (response *transport.Answered, f *failure, retry bool) {
	s := q.server
	q.tried = append(q.tried, u.ID)
	q.upstream, q.sentAt, q.begunAt, q.begunReported = u, time.Now(), time.Time{}, false
	t := transport.Target{ID: u.ID, Address: u.Address, StartTimeMs: u.StartTimeMs, MaxConnections: q.maxConnections()}
	q.attempts++
	q.moveBody(u.ID)
	outcome := s.cfg.Send(ctx, t, q.upstreamRequest(u))
	now := time.Now()
	switch o := outcome.(type) {
	case *transport.Answered:
		return q.handleResponse(now, u, o)
	case transport.Rejected:
		f, retry = q.handleRejection(now, u, o)
	case transport.NotSent:
		f, retry = q.handleNotSent(ctx, now, u, o)
	case transport.Unknown:
		f, retry = q.handleLostResponse(ctx, now, u, o)
	default:
		panic(fmt.Sprintf("gateway: unhandled outcome %T", o))
	}
	return nil, f, retry
}

// handleRejection decides what becomes of a request that its upstream has not run.
func (q *request) handleRejection(now time.Time, u catalog.Upstream, o transport.Rejected) (f *failure, retry bool) {
	q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{
		Full: true, Report: o.Reply.Load,
		CapacityUnknown: o.Status != http.StatusServiceUnavailable && o.Status != http.StatusTooManyRequests || asksToWait(o.Reply),
	})
	f = unavailable(fmt.Sprintf("the upstream did not take the request: status %d", o.Status), defaultRetryAfter)
	if f.inputsExpired = o.Status == http.StatusConflict && len(q.stages) > 0; f.inputsExpired {
		return f, false
	}
	if !asksToWait(o.Reply) {
		return f, q.allowRetry(u, "rejected by the upstream", nil)
	}
	if !q.allowReturn(u, o.Reply) {
		return q.rejected(f), false
	}
	f.closed = true
	return f, true
}

// handleNotSent decides what becomes of a request of which its upstream got nothing.
func (q *request) handleNotSent(ctx context.Context, now time.Time, u catalog.Upstream, o transport.NotSent) (f *failure, retry bool) {
	q.attempts--
	if f := q.deferSend(ctx, o.Err); f != nil {
		q.server.cfg.Balancer.Cancel(q.choice)
		return f, true
	}
	if q.keptBack(u, o.Err) {
		q.server.cfg.Balancer.Cancel(q.choice)
		return &failure{status: http.StatusServiceUnavailable, reason: o.Err.Error(), closed: true}, true
	}
	q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{Unreachable: !o.Local})
	q.logAttempt("could not send request to upstream", u, o.Err)
	if ctx.Err() != nil {
		return q.contextFailure(nil), false
	}
	if f := promptFailure(o.Err); f != nil {
		return f, false
	}
	return unavailable("the upstream could not be reached", defaultRetryAfter), true
}

// handleLostResponse decides what becomes of a request that its upstream may have run.
func (q *request) handleLostResponse(ctx context.Context, now time.Time, u catalog.Upstream, o transport.Unknown) (f *failure, retry bool) {
	q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{Failed: ctx.Err() == nil, GaveUp: ctx.Err() != nil})
	q.mayHaveRun = true
	q.recordBreak(ctx, o.Err)
	f = badGateway("the upstream's answer was lost", o.Err)
	if ctx.Err() != nil {
		return q.contextFailure(f), false
	}
	return f, q.idempotent() && q.allowRetry(u, "response lost", o.Err)
}

// handleResponse decides whether a response is returned to the caller or the
// request is retried.
func (q *request) handleResponse(now time.Time, u catalog.Upstream, o *transport.Answered) (*transport.Answered, *failure, bool) {
	q.mayHaveRun = true
	if upstreamFailed(o) && q.idempotent() && q.allowRetry(u, fmt.Sprintf("status %d", o.Status), nil) {
		o.Close()
		q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{Failed: true, Report: o.Reply.Load})
		return nil, badGateway(fmt.Sprintf("the upstream failed: status %d", o.Status), nil), true
	}
	if asksToWait(o.Reply) && q.idempotent() && q.allowReturn(u, o.Reply) {
		o.Close()
		q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{Report: o.Reply.Load})
		f := badGateway(fmt.Sprintf("the upstream wants no requests: status %d", o.Status), nil)
		f.closed = true
		return nil, f, true
	}
	if promisesNotRun(o.Status) && !q.idempotent() {
		o.Close()
		q.server.cfg.Balancer.End(now, q.choice, balance.DoneInfo{Failed: upstreamFailed(o), Report: o.Reply.Load})
		return nil, badGateway(fmt.Sprintf("the upstream may have run the request and answered with status %d", o.Status), nil), false
	}
	if o.Reply.Load != nil {
		q.server.cfg.Balancer.Report(now, u.ID, *o.Reply.Load)
	}
	return o, nil, false
}

// allowRetry reports whether the request may be sent once more. If so, it takes
// one retry from the budget and logs the reason.
func (q *request) allowRetry(u catalog.Upstream, reason string, err error) bool {
	if !q.attemptsLeft() || !q.server.budget(q.service.Name).TryWithdraw() {
		return false
	}
	q.recordRetry(u, reason, err)
	return true
}

// attemptsLeft reports whether the limits of the request itself allow another attempt.
func (q *request) attemptsLeft() bool {
	return q.attempts < max(1, q.route.MaxAttempts) && q.waitingEnds < maxWaitingEnds
}

func (q *request) recordRetry(u catalog.Upstream, reason string, err error) {
	q.logAttempt("retrying request: "+reason, u, err)
	q.server.cfg.Metrics.Counter("sent_again").Inc(1)
}

func (q *request) logAttempt(message string, u catalog.Upstream, err error) {
	q.server.cfg.Log.Info(message, q.fields(zap.String("upstream_at", u.Address), zap.Bool("silent", u.Silent), zap.Error(err))...)
}

// maxConnections returns this entry's share of the connections to an upstream, 0
// for no limit.
func (q *request) maxConnections() int {
	n := q.service.MaxConnections
	if n == 0 {
		return 0
	}
	return max(2, int(float64(n)*connectionShare)/max(1, q.server.cfg.EntryCount()))
}

// upstreamRequest returns the request as it is sent to an upstream.
func (q *request) upstreamRequest(u catalog.Upstream) transport.Request {
	return transport.Request{
		ID:     q.ID,
		Method: q.http.Method,
		URI:    q.http.RequestURI,
		Host:   q.http.Host,
		Body:   q.body,
		Permit: q.startPrompt,
		Header: q.server.cfg.Headers.ToUpstream(q.http.Header, UpstreamAttributes{
			TimeLeft:    time.Until(q.deadline),
			Upstream:    u.ID,
			Account:     q.account,
			Inputs:      q.finalResults(),
			Rank:        q.rank,
			Engine:      q.service.Engine != nil,
			LastEventID: q.lastEventID,
		}),
	}
}
