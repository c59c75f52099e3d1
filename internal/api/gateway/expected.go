package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

const (
	// defaultFirstEventTime is the expected time from sending a request to an engine until
	// its first event before any is learned.
	defaultFirstEventTime = 150 * time.Millisecond
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
// event, or until the answer. It is at most the objective: a request that is late by this
// time alone is sent all the same, as only answers show that the time has become shorter.
func (q *request) firstEventTime() time.Duration {
	now := time.Now()
	if !q.expectedAt.IsZero() && now.Sub(q.expectedAt) < expectedTTL {
		return q.expected
	}
	q.expected, q.expectedAt = defaultFirstEventTime, now
	if q.service == nil {
		return q.expected
	}
	callable, _ := q.server.cfg.Rules.Filter(now, q.server.cfg.Upstreams(q.service.Name))
	if learned, ok := q.server.cfg.Balancer.Expected(now, q.pickInfo(), callable); ok {
		q.expected = min(q.route.Objective, learned)
	}
	return q.expected
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
