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
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// connectionShare is the part of an upstream's connections that all entries
// together use.
const connectionShare = 0.8

// request is one request in progress.
type request struct {
	Attributes
	server   *Server
	http     *http.Request
	body     []byte
	began    time.Time
	deadline time.Time
	index    *site.Index
	route    *site.Route
	account  string
	rank     site.Rank

	service *site.Service
	stages  []stageState
	remakes int
	staged  time.Duration
	sends   int
	// mayHaveRun is set once a send may have run: "not run" must not be said
	// any more.
	mayHaveRun bool
	tried      []string
	after      string
	upstream   string
}

// fields returns what every log line on the request says.
func (q *request) fields(more ...zap.Field) []zap.Field {
	out := []zap.Field{zap.String("request", q.ID), zap.Duration("age", time.Since(q.began))}
	if q.route != nil {
		out = append(out, zap.String("route", q.route.Name), zap.Uint64("version", q.index.Version), zap.String("account", q.account))
	}
	if q.sends > 0 {
		out = append(out, zap.Int("sends", q.sends), zap.String("upstream", q.upstream))
	}
	return append(out, more...)
}

// idempotent reports whether the request may run more than once.
func (q *request) idempotent() bool {
	return q.route.Kind == site.Safe || q.route.Kind == site.Streaming && q.route.Resumable
}

// run makes the stages, passes the request on and returns the answer.
func (q *request) run(ctx context.Context, w http.ResponseWriter) {
	defer q.release()
	if f := q.chooseService(); f != nil {
		q.server.refuse(w, q, f)
		return
	}
	q.server.budget(q.service.Name).Deposit(q.server.cfg.Retry.Ratio * ratioShare)
	unsent, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.server.waiting, cancel)()
	if f := q.awaitTurn(unsent); f != nil {
		q.server.refuse(w, q, f)
		return
	}
	for {
		f := q.runStages(unsent)
		if f != nil {
			q.server.refuse(w, q, f)
			return
		}
		q.staged = time.Since(q.began)
		answer, f := q.forward(ctx)
		if f == nil {
			q.respond(ctx, w, answer)
			return
		}
		if !f.inputsGone || !q.remake(lastStages(q.route.Stages)) {
			q.server.refuse(w, q, f)
			return
		}
		// The upstream is as good as any other once the results are there.
		q.tried = nil
	}
}

// chooseService draws a service by the weights of the route's split.
func (q *request) chooseService() *refusal {
	total := 0.0
	for _, s := range q.route.Split {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range q.route.Split {
		at -= s.Weight
		if at < 0 {
			q.service, _ = q.index.Service(s.Service)
			return nil
		}
	}
	return notRun("no service has a weight on the route", shortRetry)
}

// forward sends the request until an upstream answers it or it may not be sent
// again.
func (q *request) forward(ctx context.Context) (*transport.Answered, *refusal) {
	var last *refusal
	for tries := 0; tries < maxPicks; tries++ {
		if err := ctx.Err(); err != nil {
			return nil, q.timedOut(last)
		}
		u, ok := q.pick()
		if !ok {
			return nil, orElse(last, notRun("no upstream of the service is ready", shortRetry))
		}
		answer, f, again := q.try(ctx, u)
		if answer != nil {
			return answer, nil
		}
		last = f
		if !again {
			return nil, f
		}
	}
	return nil, last
}

// maxPicks bounds the upstreams that are chosen for one request, those that
// could not be reached included.
const maxPicks = 6

func orElse(f, other *refusal) *refusal {
	if f != nil {
		return f
	}
	return other
}

// timedOut answers a request whose time is over before an upstream answered.
func (q *request) timedOut(last *refusal) *refusal {
	if errors.Is(q.http.Context().Err(), context.Canceled) {
		return &refusal{status: statusGone, reason: "the caller left", cut: true}
	}
	if q.sends == 0 && q.server.waiting.Err() != nil {
		return q.stopped()
	}
	if last != nil && last.status != http.StatusServiceUnavailable {
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time", err: last.err}
	}
	if q.sends > 0 && last == nil {
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return notRun("the time is over before the request was sent", shortRetry)
}

// stopped refuses a request that this process will not get to any more.
func (q *request) stopped() *refusal {
	return notRun("this entry stops; send the request again, it goes to another", stopRetry)
}

// stopRetry is when a caller may come back to another entry.
const stopRetry = 50 * time.Millisecond

// statusGone is logged for callers who left; it is never sent.
const statusGone = 499

func (q *request) pick() (catalog.Upstream, bool) {
	need := balance.Need{Except: q.tried, Prefix: q.shared()}
	if len(q.route.Stages) > 0 {
		need.Zone = q.homeZone(q.route.Stages[0].Service)
	}
	return q.server.cfg.Place.Pick(time.Now(), need, q.server.cfg.Upstreams(q.service.Name))
}

// shared returns the last part of the prompt that other requests have too,
// empty where there is none.
func (q *request) shared() string {
	n := len(q.Prompt)
	if n == 0 || !q.route.Sticky {
		return ""
	}
	return q.Prompt[max(0, n-1-ownParts)].ID
}

// ownParts is the number of parts at the end of a prompt that belong to the
// request or its session.
const ownParts = 1

// try sends the request to one upstream. again says whether it may be sent to
// another.
func (q *request) try(ctx context.Context, u catalog.Upstream) (answer *transport.Answered, f *refusal, again bool) {
	s := q.server
	q.tried = append(q.tried, u.ID)
	q.upstream = u.ID
	t := transport.Target{ID: u.ID, Address: u.Address, MaxConnections: q.connections()}
	q.sends++
	outcome := s.cfg.Send(ctx, t, q.message(u))
	now := time.Now()
	switch o := outcome.(type) {
	case *transport.Answered:
		return q.answered(now, u, o)
	case transport.Rejected:
		s.cfg.Place.Ended(now, u.ID, balance.End{Full: true, Report: o.Reply.Load})
		f = notRun(fmt.Sprintf("the upstream did not take the request: status %d", o.Status), shortRetry)
		if f.inputsGone = o.Status == http.StatusConflict && len(q.stages) > 0; f.inputsGone {
			return nil, f, false
		}
		return nil, f, q.again(u, "rejected", nil)
	case transport.NotSent:
		q.sends--
		s.cfg.Place.Ended(now, u.ID, balance.End{Unreachable: true})
		q.log("request not sent", u, o.Err)
		if ctx.Err() != nil {
			return nil, q.timedOut(nil), false
		}
		return nil, notRun("the upstream could not be reached", shortRetry), true
	case transport.Unknown:
		s.cfg.Place.Ended(now, u.ID, balance.End{Failed: ctx.Err() == nil})
		q.mayHaveRun = true
		f = mayHaveRun("the upstream's answer was lost", o.Err)
		if ctx.Err() != nil {
			return nil, q.timedOut(f), false
		}
		return nil, f, q.idempotent() && q.again(u, "lost", o.Err)
	default:
		panic(fmt.Sprintf("gateway: unhandled outcome %T", o))
	}
}

// answered decides whether an answer is passed on.
func (q *request) answered(now time.Time, u catalog.Upstream, o *transport.Answered) (*transport.Answered, *refusal, bool) {
	q.mayHaveRun = true
	failed := o.Status >= http.StatusInternalServerError
	if failed && q.idempotent() && q.again(u, fmt.Sprintf("status %d", o.Status), nil) {
		o.Close()
		q.server.cfg.Place.Ended(now, u.ID, balance.End{Failed: true, Report: o.Reply.Load})
		return nil, mayHaveRun(fmt.Sprintf("the upstream failed: status %d", o.Status), nil), true
	}
	if o.Reply.Load != nil {
		q.server.cfg.Place.Report(now, u.ID, *o.Reply.Load)
	}
	return o, nil, false
}

// again reports whether the request may be sent once more, and logs why.
func (q *request) again(u catalog.Upstream, why string, err error) bool {
	if q.sends >= max(1, q.route.Attempts) || !q.server.budget(q.service.Name).TryWithdraw() {
		return false
	}
	q.log("request sent again: "+why, u, err)
	q.server.cfg.Metrics.Counter("sent_again").Inc(1)
	return true
}

func (q *request) log(message string, u catalog.Upstream, err error) {
	q.server.cfg.Log.Info(message, q.fields(zap.String("upstream_at", u.Address), zap.Duration("heard", time.Since(u.Heard)), zap.Error(err))...)
}

func (q *request) connections() int {
	n := q.service.MaxConnections
	if n == 0 {
		return 0
	}
	return max(2, int(float64(n)*connectionShare)/max(1, q.server.cfg.Entries()))
}

// message returns the request as it goes to an upstream.
func (q *request) message(u catalog.Upstream) transport.Request {
	return transport.Request{
		ID:     q.ID,
		Method: q.http.Method,
		URI:    q.http.RequestURI,
		Host:   q.http.Host,
		Body:   q.body,
		Header: q.server.cfg.Wire.Forward(q.http.Header, Forwarding{
			Left:     time.Until(q.deadline),
			Upstream: u.ID,
			Account:  q.account,
			Inputs:   q.inputs(),
			Rank:     q.rank,
			Engine:   q.service.Engine != nil,
			After:    q.after,
		}),
	}
}
