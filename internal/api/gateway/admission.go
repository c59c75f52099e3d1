package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/pace"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// timeToAbandon is the time until the caller is expected to give up.
func (q *request) timeToAbandon() time.Duration {
	left := time.Until(q.deadline)
	if q.route.AbandonAfter > 0 {
		left = min(left, time.Until(q.start.Add(q.route.AbandonAfter)))
	}
	return left
}

// awaitAdmission delays a request before its first stage while it would miss
// its latency objective and only delay other requests.
func (q *request) awaitAdmission(ctx context.Context) *failure {
	held := false
	for {
		decision, fields := q.decideAdmission()
		switch d := decision.(type) {
		case pace.Start:
			if held {
				q.server.cfg.Log.Info("held request admitted", q.fields(fields...)...)
			}
			q.commitStages()
			return nil
		case pace.Refuse:
			return unavailable("the response is not expected before the caller gives up", max(defaultRetryAfter, d.RetryAfter))
		case pace.Hold:
			if q.server.draining.Load() {
				return q.stopping()
			}
			if !held {
				q.server.cfg.Log.Info("request held back", q.fields(fields...)...)
			}
			held = true
			select {
			case <-ctx.Done():
				return q.contextFailure(nil)
			case <-q.server.drainStarted:
			case <-time.After(d.For):
			}
		}
	}
}

// stagePath is a path through the stage graph: the expected time of the work on
// it, and the sum of the queue waits. wait is the sum for a request that can meet
// its latency objective, totalWait that for one that is queued behind all others.
type stagePath struct{ work, wait, totalWait time.Duration }

// fields returns the log fields of a decision that is based on the path and on
// the rank of the request.
func (p stagePath) fields(rank site.Rank) []zap.Field {
	return []zap.Field{zap.Duration("work", p.work), zap.Duration("wait", p.wait), zap.Duration("wait_last", p.totalWait), zap.Int("rank", int(rank))}
}

func (p stagePath) longerThan(other stagePath) bool {
	return p.work+p.wait > other.work+other.wait
}

// criticalPath returns the longest path through the stages to the first event
// of the response.
func (q *request) criticalPath() stagePath {
	var longest stagePath
	for i := range q.route.Stages {
		if p := q.pathTo(i); p.longerThan(longest) {
			longest = p
		}
	}
	longest.work += q.firstEventTime()
	return longest
}

// pathTo returns the longest path to the end of a stage.
func (q *request) pathTo(stage int) stagePath {
	var longest stagePath
	for _, dep := range q.route.Stages[stage].DependsOn {
		if p := q.pathTo(dep); p.longerThan(longest) {
			longest = p
		}
	}
	if callTime := q.expectedCallTime(stage); callTime > 0 {
		wait, totalWait := q.server.cfg.QueueWait(q.route.Stages[stage].Service, q.stageZone(), q.account, q.rank)
		longest.work += callTime
		longest.wait += wait
		longest.totalWait += totalWait
	}
	return longest
}
