package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// defaultFirstEventTime is the expected time from sending a request until its first event
	// or its answer before any is learned.
	defaultFirstEventTime = 150 * time.Millisecond
	// maxFirstEventShare is the largest share of the time that a route leaves after its
	// stages that the first event is expected to take.
	maxFirstEventShare = 0.5
	// expectedTTL is how long the expected time of a request is kept.
	expectedTTL = 100 * time.Millisecond
	// maxInputFetchFactor bounds the learned time of stages as a multiple of the configured
	// one where the fetching of inputs is expected.
	maxInputFetchFactor = 10
	// minRoomWait and maxRoomWait bound the pause after which a request looks again for an
	// upstream with room. Small services take about that long for a request.
	minRoomWait = 15 * time.Millisecond
	maxRoomWait = 45 * time.Millisecond
)

// firstEventTime is the expected time from sending the request to an engine until its first
// event, or until the answer. It is at most maxFirstEventTime.
func (q *request) firstEventTime() time.Duration {
	now := time.Now()
	if !q.expectedAt.IsZero() && now.Sub(q.expectedAt) < expectedTTL {
		return q.expected
	}
	q.expected, q.expectedAt = min(q.learnedFirstEventTime(now), q.maxFirstEventTime()), now
	return q.expected
}

// learnedFirstEventTime is what has been learned of the time until the first event or the
// answer, the default if nothing has.
func (q *request) learnedFirstEventTime(now time.Time) time.Duration {
	if q.service == nil {
		return defaultFirstEventTime
	}
	if average, ok := q.responseTime(); ok {
		return average
	}
	callable, _ := q.server.cfg.Rules.Filter(now, q.server.cfg.Upstreams(q.service.Name))
	if learned, ok := q.server.cfg.Balancer.Expected(now, q.pickInfo(), callable); ok {
		return learned
	}
	return defaultFirstEventTime
}

// maxFirstEventTime bounds what is expected of the time until the first event, so that it alone
// refuses no request that has the whole time of its route. Such a request is sent even
// if it is expected to be late: only answers show that the time has become shorter.
func (q *request) maxFirstEventTime() time.Duration {
	limit := q.route.Timeout
	if q.route.AbandonAfter > 0 {
		limit = min(limit, q.route.AbandonAfter)
	}
	limit = time.Duration(maxFirstEventShare * float64(max(0, limit-q.stagesTime())))
	if q.route.Objective > 0 {
		limit = min(limit, q.route.Objective)
	}
	return limit
}

// responseTime returns how long answers of the route take on average, false for streams and
// if there was none yet.
func (q *request) responseTime() (time.Duration, bool) {
	if q.route.Kind == site.Streaming {
		return 0, false
	}
	return q.server.responseTimes.typical(q.route.Name)
}

// expectedCallTime is the expected time of the calls of a stage, 0 if it has no pieces.
func (q *request) expectedCallTime(stage int) time.Duration {
	name := q.route.Stages[stage].Service
	s, ok := q.index.Service(name)
	if !ok || s.Batching == nil || q.pieceCount(stage) == 0 {
		return 0
	}
	if q.server.cfg.StageTimes != nil {
		if learned, known := q.server.cfg.StageTimes.Typical(time.Now(), name, float64(q.pieceCount(stage))); known {
			return learned
		}
	}
	return batching.ConfigOf(s.Batching).TypicalDuration()
}

// inputFetchTime is the time after which an idle upstream has fetched the inputs of a call
// of a stage: longer than the default where the calls take longer than configured.
func (q *request) inputFetchTime(stage int) time.Duration {
	s, ok := q.index.Service(q.route.Stages[stage].Service)
	if !ok || s.Batching == nil {
		return batcher.InputFetchTime
	}
	configured := batching.ConfigOf(s.Batching).TypicalDuration()
	if configured <= 0 {
		return batcher.InputFetchTime
	}
	factor := q.expectedCallTime(stage).Seconds() / configured.Seconds()
	return time.Duration(min(maxInputFetchFactor, max(1, factor)) * float64(batcher.InputFetchTime))
}

// learnStage records how long a stage took from its dispatch to its results.
func (q *request) learnStage(service string, took time.Duration, pieces int, result batcher.Completed) {
	if q.server.cfg.StageTimes == nil {
		return
	}
	query := capacity.Query{Service: service, Upstream: service, Work: float64(pieces), Load: 1}
	q.server.cfg.StageTimes.Observe(time.Now(), capacity.Observation{Query: query, Took: took - result.Queued})
}

// awaitRoom looks again for an upstream while the one that was chosen is expected to refuse
// the request, as long as the request can still meet its objective. After that it returns
// the choice all the same: the upstream may have room by then.
func (q *request) awaitRoom(ctx context.Context, c balance.Choice) (balance.Choice, bool) {
	for c.Full {
		pause := minRoomWait + rand.N(maxRoomWait-minRoomWait)
		if time.Until(q.start.Add(q.route.Objective)) < c.Expected+pause {
			return c, true
		}
		q.server.cfg.Balancer.Cancel(c)
		q.server.cfg.Metrics.Counter("room_waits").Inc(1)
		select {
		case <-ctx.Done():
			return c, false
		case <-time.After(pause):
		}
		next, _, ok := q.pickUpstream()
		if !ok {
			return next, false
		}
		c = next
	}
	return c, true
}
