package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

const (
	// minCallableWait is the shortest wait for an upstream that may be called, so that
	// requests whose wait has just ended do not spin.
	minCallableWait = time.Millisecond
	// maxResumeWait is the longest wait with a stream that broke off. Its caller has got
	// the first event already, and loses the stream otherwise.
	maxResumeWait = 2 * time.Second
)

// waitCounts counts the waiting requests by service. The zero value has none.
type waitCounts struct {
	mu       sync.Mutex
	services map[string]int
}

// add changes the count of a service and returns what it was before.
func (w *waitCounts) add(service string, n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.services[service]
	if w.services == nil {
		w.services = make(map[string]int)
	}
	w.services[service] = before + n
	return before
}

// deferSend returns the failure of a request that was not sent because its upstream may
// not be called now, nil if it was not sent for another reason. The request may be sent
// to that upstream later.
func (q *request) deferSend(ctx context.Context, err error) *failure {
	var wait *eligible.WaitError
	if ctx.Err() != nil || !errors.As(err, &wait) {
		return nil
	}
	q.tried = q.tried[:len(q.tried)-1]
	f := unavailable("no upstream of the service may be called now", retryAfterWait(wait.Wait))
	f.deferred = true
	return f
}

// awaitCallable waits until an upstream may be called again of which the shortest wait is
// given, if the request can still meet its objective then. Otherwise it returns false and
// the time after which one may be called. Nothing is held meanwhile, and the wait ends
// with the caller.
func (q *request) awaitCallable(ctx context.Context, wait time.Duration) (waited bool, next time.Duration) {
	if wait == 0 {
		return false, 0
	}
	s := q.server
	ahead := s.waiting.add(q.service.Name, 1)
	defer s.waiting.add(q.service.Name, -1)
	if s.cfg.NextCall != nil {
		wait = s.cfg.NextCall(time.Now(), q.untried(), ahead)
	}
	wait = max(minCallableWait, wait)
	limit, spread := q.waitLimit(), time.Duration(0)
	if q.askedToWait() {
		limit, spread = q.timeToSend(), rand.N(maxWaitSpread)
	}
	if wait == eligible.Unknown || wait+spread > limit || s.draining.Load() {
		return false, wait
	}
	// The body counts against the memory already.
	if err := s.memory.Reserve(q.account, waitingBytes); err != nil {
		return false, wait
	}
	defer s.memory.Release(q.account, waitingBytes)
	s.cfg.Metrics.Counter("waited_for_upstream").Inc(1)
	s.cfg.Log.Debug("request waits for an upstream", q.fields(zap.Duration("wait", wait), zap.Int("ahead", ahead))...)
	timer := time.NewTimer(wait + spread)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.unsentCtx.Done():
		return false, stoppingRetryAfter
	}
	return true, 0
}

// untried returns the upstreams of the service that the request was not sent to.
func (q *request) untried() []catalog.Upstream {
	all := q.server.cfg.Upstreams(q.service.Name)
	if len(q.tried) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(u catalog.Upstream) bool { return slices.Contains(q.tried, u.ID) })
}

// waitLimit returns how long the request may wait and still meet its objective, given how
// long requests of its route take.
func (q *request) waitLimit() time.Duration {
	if q.lastEventID != "" {
		return min(maxResumeWait, time.Until(q.deadline)-q.firstEventTime())
	}
	limit := q.timeToSend()
	if q.route.Objective > 0 {
		limit = min(limit, time.Until(q.start.Add(q.route.Objective))-q.sendTime())
	}
	return limit
}

// timeToSend returns the time within which the request must be sent for its response to
// begin before the caller gives up. One that is sent later is lost although it may run.
func (q *request) timeToSend() time.Duration { return q.timeToAbandon() - q.sendTime() }

// sendTime is the expected time from sending the request until its response begins.
func (q *request) sendTime() time.Duration {
	if average, ok := q.responseTime(); ok {
		return average
	}
	return q.firstEventTime()
}
