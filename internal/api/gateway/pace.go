package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/pace"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// patience is the time until the caller gives up.
func (q *request) patience() time.Duration {
	left := time.Until(q.deadline)
	if q.route.Patience > 0 {
		left = min(left, time.Until(q.began.Add(q.route.Patience)))
	}
	return left
}

// awaitTurn holds a request back before its first stage while its work could
// only end late and in the way of others.
func (q *request) awaitTurn(ctx context.Context) *refusal {
	held := false
	for {
		way := q.path()
		r := pace.Request{
			Work:      way.work,
			Wait:      way.wait,
			Last:      way.last,
			Objective: time.Until(q.began.Add(q.route.Objective)),
			Patience:  q.patience(),
			Rank:      q.rank.Route(),
		}
		switch d := pace.Decide(r).(type) {
		case pace.Begin:
			if held {
				q.server.cfg.Log.Info("request begins late", q.fields(way.fields(q.rank)...)...)
			}
			return nil
		case pace.Refuse:
			return notRun("the stages cannot be made before the caller gives up", max(shortRetry, d.Retry))
		case pace.Hold:
			if q.server.draining.Load() {
				return q.stopped()
			}
			if !held {
				q.server.cfg.Log.Info("request held back", q.fields(way.fields(q.rank)...)...)
			}
			held = true
			select {
			case <-ctx.Done():
				return q.timedOut(nil)
			case <-q.server.drained:
			case <-time.After(d.For):
			}
		}
	}
}

// way is a way through the stages: the expected time of the work, and the waits
// in the queues on it for a request on time and for one behind all others.
type way struct{ work, wait, last time.Duration }

// fields returns what a log line on a decision by the way says, with the rank
// that decided.
func (w way) fields(rank site.Rank) []zap.Field {
	return []zap.Field{zap.Duration("work", w.work), zap.Duration("wait", w.wait), zap.Duration("wait_last", w.last), zap.Int("rank", int(rank))}
}

func (w way) longerThan(other way) bool { return w.work+w.wait > other.work+other.wait }

// path returns the longest way through the stages to the first event.
func (q *request) path() way {
	var longest way
	for i := range q.route.Stages {
		if w := q.way(i); w.longerThan(longest) {
			longest = w
		}
	}
	longest.work += firstEvent
	return longest
}

// way returns the longest way to the end of a stage.
func (q *request) way(stage int) way {
	var longest way
	for _, a := range q.route.Stages[stage].After {
		if w := q.way(a); w.longerThan(longest) {
			longest = w
		}
	}
	if usual := q.usual(stage); usual > 0 {
		wait, last := q.server.cfg.Wait(q.route.Stages[stage].Service, q.rank)
		longest.work += usual
		longest.wait += wait
		longest.last += last
	}
	return longest
}
