package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

// recordBreak records that the upstream broke off the response to the latest attempt.
func (q *request) recordBreak(ctx context.Context, err error) {
	var writeErr *callerWriteError
	if ctx.Err() != nil || errors.As(err, &writeErr) {
		return
	}
	ended := q.server.cfg.UpstreamEnded != nil && q.server.cfg.UpstreamEnded(ctx, q.upstream)
	if ended {
		q.server.cfg.Metrics.Counter("upstream_ends").Inc(1)
	}
	q.server.cfg.Log.Info("response broke off", q.fields(
		zap.Bool("upstream_ended", ended), zap.Int64("born", q.upstream.StartTimeMs), zap.Bool("begun", !q.begunAt.IsZero()),
		zap.Duration("sent", time.Since(q.sentAt)), zap.Strings("prompt", q.sharedSegments()), zap.Error(err))...)
}

// sharedSegments returns the IDs of the prompt segments that other requests may have
// too, in order.
func (q *request) sharedSegments() []string {
	var out []string
	for i := 0; i < len(q.Prompt)-unsharedSegments; i++ {
		out = append(out, q.Prompt[i].ID)
	}
	return out
}
