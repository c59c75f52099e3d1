package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

const (
	// maxWaitSpread is the longest random time that is added to the wait for an upstream.
	// Without it, all waiting requests would look at once each time that one may be sent.
	maxWaitSpread = 40 * time.Millisecond
	// waitingBytes is what a waiting request takes of the memory that answers and waiting
	// requests share, without its body: its headers, its goroutines and its connection.
	waitingBytes = 16 << 10
	// minFreeRetryAfter is the shortest time without requests after which a request goes to
	// another upstream at no cost to the retry budget. Only what was under way at the
	// answer can come back then; with shorter times every request could.
	minFreeRetryAfter = 500 * time.Millisecond
)

func orElse(f, other *failure) *failure {
	if f != nil {
		return f
	}
	return other
}

// upstreamFailed reports whether an answer says that the upstream failed. One that asks to
// be left alone for a while has not.
func upstreamFailed(a *transport.Answered) bool {
	return a.Status >= http.StatusInternalServerError && !asksToWait(a.Reply)
}

// promisesNotRun reports whether a status tells callers that their request has not run and
// never will. An upstream that gives one without saying so by its headers may have run it.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// asksToWait reports whether the upstream wants no requests for a while.
func asksToWait(r transport.Reply) bool { return r.Signal.RetryAfter > 0 }

// allowReturn reports whether a request that an upstream has answered with a time without
// requests may be sent once more: to another upstream, or to the same one after that time.
func (q *request) allowReturn(u catalog.Upstream, r transport.Reply) bool {
	const reason = "the upstream wants no requests for a while"
	q.untry(u.ID)
	if _, ok := q.servable(); !ok || !q.attemptsLeft() {
		return false
	}
	if r.Signal.RetryAfter < minFreeRetryAfter {
		return q.allowRetry(u, reason, nil)
	}
	q.recordRetry(u, reason, nil)
	return true
}

// servable reports whether an upstream that the request was not sent to can serve it in
// time. If none may be called, wait is the time after which one may be again.
func (q *request) servable() (wait time.Duration, ok bool) {
	callable, wait := q.server.cfg.Rules.Filter(time.Now(), q.server.cfg.Upstreams(q.service.Name))
	untried := slices.ContainsFunc(callable, func(u catalog.Upstream) bool { return !slices.Contains(q.tried, u.ID) })
	return wait, untried || q.canWait(wait)
}

// rejected returns the failure of a request that an upstream has not run because it wants
// none for a while, and that is not sent again.
func (q *request) rejected(f *failure) *failure {
	if wait, ok := q.servable(); !ok && wait > 0 {
		return q.noneCallable(wait)
	}
	return f
}

// keptBack reports whether a request was not sent because of what its upstream had said, which
// may be sent to it later.
func (q *request) keptBack(u catalog.Upstream, err error) bool {
	var closed *backoff.ClosedError
	if !errors.As(err, &closed) {
		return false
	}
	q.untry(u.ID)
	return true
}

// untry lets an upstream be picked again. The rules exclude it for as long as necessary.
func (q *request) untry(id string) {
	q.tried = slices.DeleteFunc(q.tried, func(other string) bool { return other == id })
}

// checkCallable returns a failure if no upstream can serve the request in time, by what is
// known before any work is done for it. Where no upstream has been there at all, one may still
// start.
func (q *request) checkCallable() *failure {
	cfg := q.server.cfg
	all := cfg.Upstreams(q.service.Name)
	if len(all) == 0 && (cfg.AllLeave == nil || !cfg.AllLeave(q.service.Name)) {
		return nil
	}
	callable, wait := cfg.Rules.Filter(time.Now(), all)
	if len(callable) > 0 || q.canWait(wait) {
		return nil
	}
	return q.noneCallable(wait)
}

// canWait reports whether a request that is sent after a wait can still be answered in time.
func (q *request) canWait(wait time.Duration) bool {
	return wait > 0 && wait != eligible.Unknown && wait < q.timeToSend()
}

// noneCallable returns the failure of a request that no upstream may be sent for the time
// wait, 0 or eligible.Unknown if that is not known.
func (q *request) noneCallable(wait time.Duration) *failure {
	f := unavailable("no upstream of the service may be called now", retryAfterWait(wait))
	if wait > 0 && wait != eligible.Unknown {
		f.reason = fmt.Sprintf("no upstream of the service may be called for another %v", wait.Round(time.Millisecond))
	}
	f.service = q.service.Name
	return f
}

// askedToWait reports whether an upstream of the service has asked for no requests for a
// while. Requests wait for it as long as they can be answered before their deadline, and not
// within their objective alone.
func (q *request) askedToWait() bool {
	return q.server.cfg.AskedToWait != nil && q.server.cfg.AskedToWait(q.service.Name)
}

// awaitUpstream waits until an upstream may be called again, after the time wait. It
// returns a failure at once if that is too late or not known or there is no memory for
// another waiting request, and if the process stops meanwhile. last is the failure of the
// previous attempt, if any.
func (q *request) awaitUpstream(ctx context.Context, wait time.Duration, last *failure) *failure {
	if q.attemptsLeft() {
		waited, next := q.awaitCallable(ctx, wait)
		if waited {
			return nil
		}
		wait = next
	}
	switch {
	case last != nil && !last.closed:
		return last
	case q.server.unsentCtx.Err() != nil:
		return q.afterClosed(last, q.stopping())
	default:
		return q.afterClosed(last, q.noneCallable(wait))
	}
}

// afterClosed returns f, or the failure of the attempt before if an upstream may have run the
// request then.
func (q *request) afterClosed(last, f *failure) *failure {
	if last != nil && q.mayHaveRun {
		return last
	}
	return f
}
