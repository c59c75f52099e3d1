package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
)

const (
	// begunAfter is how long a response has to go on after its first event until it
	// counts as begun. An upstream that ends sooner may have ended under the request.
	begunAfter = 250 * time.Millisecond
	// maxWaitingEnds is the number of upstreams after whose end, before they responded,
	// a request is not sent to another.
	maxWaitingEnds = 2
)

// sharedSegments returns the IDs of the prompt segments that other requests may have
// too, in order.
func (q *request) sharedSegments() []string {
	var out []string
	for i := 0; i < len(q.Prompt)-unsharedSegments; i++ {
		out = append(out, q.Prompt[i].ID)
	}
	return out
}

// checkPrompt returns a failure if the request must not be sent because of its prompt.
func (q *request) checkPrompt() *failure {
	if q.server.cfg.Breakers == nil {
		return nil
	}
	return promptFailure(q.server.cfg.Breakers.Check(q.sharedSegments()))
}

// startPrompt is called right before the request is sent. It returns an error if that
// must not happen because of its prompt.
func (q *request) startPrompt() error {
	if q.server.cfg.Breakers == nil {
		return nil
	}
	return q.server.cfg.Breakers.Start(q.sharedSegments())
}

// promptFailure returns the failure for a request whose prompt has a segment with a
// breaker that is not closed, nil for another error.
func promptFailure(err error) *failure {
	var open *breaker.OpenError
	if !errors.As(err, &open) {
		return nil
	}
	f := unavailable(open.Error(), open.RetryAfter)
	f.segment = open.Breaker.Segment
	return f
}

// recordEvent records that an event of the response has arrived.
func (q *request) recordEvent() {
	if q.begunAt.IsZero() {
		q.begunAt = time.Now()
		q.server.cfg.Balancer.Begun(q.begunAt, q.choice)
	}
	if time.Since(q.begunAt) >= begunAfter {
		q.reportBegun()
	}
}

// reportBegun reports once that the upstream responded to the prompt and went on.
func (q *request) reportBegun() {
	if q.server.cfg.Breakers == nil || q.begunAt.IsZero() || q.begunReported {
		return
	}
	q.begunReported = true
	q.server.cfg.Breakers.Begun(q.sharedSegments(), q.begunAt)
}

// recordBreak records that the upstream broke off the response to the latest attempt. If
// it has ended, the breakers of the segments in the prompt are told.
func (q *request) recordBreak(ctx context.Context, err error) {
	var writeErr *callerWriteError
	if ctx.Err() != nil || errors.As(err, &writeErr) {
		return
	}
	now, segments := time.Now(), q.sharedSegments()
	waited := q.begunAt.IsZero() || now.Sub(q.begunAt) < begunAfter
	ended := len(segments) > 0 && q.server.cfg.UpstreamEnded != nil && q.server.cfg.UpstreamEnded(ctx, q.upstream)
	q.server.cfg.Log.Info("response broke off", q.fields(
		zap.Bool("upstream_ended", ended), zap.Int64("born", q.upstream.StartTimeMs), zap.Bool("waited", waited),
		zap.Duration("sent", now.Sub(q.sentAt)), zap.Strings("prompt", segments), zap.Error(err))...)
	switch {
	case !waited:
		q.reportBegun()
	case ended:
		q.waitingEnds++
		q.server.cfg.Metrics.Counter("upstream_ends").Inc(1)
		if q.server.cfg.Breakers != nil {
			q.server.cfg.Breakers.Ended(breaker.End{Upstream: q.upstream, At: now, SentAt: q.sentAt, Segments: segments})
		}
	}
}
