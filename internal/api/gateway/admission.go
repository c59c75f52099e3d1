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

// longer returns the longer one of two paths.
func (p stagePath) longer(other stagePath) stagePath {
	if other.work+other.wait > p.work+p.wait {
		return other
	}
	return p
}

// with returns the path that continues with another one.
func (p stagePath) with(other stagePath) stagePath {
	return stagePath{work: p.work + other.work, wait: p.wait + other.wait, totalWait: p.totalWait + other.totalWait}
}

// criticalPath returns the longest path through the stages to the first event
// of the response.
func (q *request) criticalPath() stagePath {
	return q.longestPath(q.pathOf).with(stagePath{work: q.firstEventTime()})
}

// stagesTime is the expected time of all stages without any queueing.
func (q *request) stagesTime() time.Duration {
	return q.longestPath(func(stage int) stagePath { return stagePath{work: q.expectedCallTime(stage)} }).work
}

// longestPath returns the longest path through the stages. through returns the path through a
// single stage. It visits each stage once: the number of paths can double with each stage.
func (q *request) longestPath(through func(stage int) stagePath) stagePath {
	var longest stagePath
	paths := make([]stagePath, len(q.route.Stages))
	for i, stage := range q.route.Stages {
		for _, dep := range stage.DependsOn {
			paths[i] = paths[i].longer(paths[dep])
		}
		paths[i] = paths[i].with(through(i))
		longest = longest.longer(paths[i])
	}
	return longest
}

// pathOf returns the path through a single stage.
func (q *request) pathOf(stage int) stagePath {
	callTime := q.expectedCallTime(stage)
	if callTime == 0 {
		return stagePath{}
	}
	wait, totalWait := q.server.cfg.QueueWait(q.route.Stages[stage].Service, q.stageZone(), q.account, q.rank)
	return stagePath{work: callTime, wait: wait, totalWait: totalWait}
}
