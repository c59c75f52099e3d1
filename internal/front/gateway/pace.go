package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/pace"
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
		work, wait := q.path()
		r := pace.Request{
			Work:      work,
			Wait:      wait,
			Objective: time.Until(q.began.Add(q.route.Objective)),
			Patience:  q.patience(),
			Rank:      q.rank,
		}
		switch d := pace.Decide(r).(type) {
		case pace.Begin:
			if held {
				q.server.cfg.Log.Info("request begins late", q.fields(zap.Duration("work", work), zap.Duration("wait", wait))...)
			}
			return nil
		case pace.Refuse:
			return notRun("the stages cannot be made before the caller gives up", max(shortRetry, d.Retry))
		case pace.Hold:
			if q.server.draining.Load() {
				return q.stopped()
			}
			if !held {
				q.server.cfg.Log.Info("request held back", q.fields(zap.Duration("work", work), zap.Duration("wait", wait))...)
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

// path returns the expected time of the longest way through the stages to the
// first event, without waits, and the wait in the queues on it.
func (q *request) path() (work, wait time.Duration) {
	for i := range q.route.Stages {
		w, waits := q.way(i)
		if w+waits > work+wait {
			work, wait = w, waits
		}
	}
	return work + firstEvent, wait
}

// way returns the time of a stage and of the longest way to it.
func (q *request) way(stage int) (work, wait time.Duration) {
	for _, a := range q.route.Stages[stage].After {
		w, waits := q.way(a)
		if w+waits > work+wait {
			work, wait = w, waits
		}
	}
	if usual := q.usual(stage); usual > 0 {
		work += usual
		wait += q.server.cfg.Wait(q.route.Stages[stage].Service)
	}
	return work, wait
}
