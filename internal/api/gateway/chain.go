package gateway

import (
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/pace"
)

// Commitment is the pieces of one stage that an admitted request will still send. One of
// its methods is called once.
type Commitment interface {
	// Sent ends it because the job of the stage is sent.
	Sent()
	// Withdraw ends it because the job will not be sent.
	Withdraw()
}

// reserves reports whether admitted requests reserve capacity of their later stages.
func (s *Server) reserves() bool { return s.cfg.Commit != nil }

// decideAdmission decides whether the request may start its stages now. fields are the log
// fields of what the decision rests on.
func (q *request) decideAdmission() (d pace.Decision, fields []zap.Field) {
	objective, deadline := time.Until(q.start.Add(q.route.Objective)), q.timeToAbandon()
	if q.server.fair() {
		// A response that comes when the caller has given up is of no use, whatever
		// the objective of the route.
		objective = min(objective, deadline)
	}
	if q.server.reserves() {
		return q.decideChain(objective, deadline)
	}
	path := q.criticalPath()
	return pace.Decide(pace.Request{
		Work:           path.work,
		Wait:           path.wait,
		TotalWait:      path.totalWait,
		UntilObjective: objective,
		UntilDeadline:  deadline,
		Rank:           q.rank.RoutePriority(),
		Returned:       q.returned,
	}), path.fields(q.rank)
}

// decideChain decides by the predicted end of each stage.
func (q *request) decideChain(objective, deadline time.Duration) (pace.Decision, []zap.Field) {
	out := pace.DecideChain(q.chain(objective, deadline))
	ends := make([]time.Duration, len(out.OnTime.Stages))
	for i, s := range out.OnTime.Stages {
		ends[i] = s.End
	}
	if _, held := out.Decision.(pace.Hold); held && out.OnTime.Excess > 0 {
		q.server.cfg.Metrics.Counter("held_for_results").Inc(1)
	}
	return out.Decision, []zap.Field{
		zap.Duration("work", out.Work), zap.Duration("wait", out.OnTime.End-out.Work), zap.Duration("wait_last", out.Late.End-out.Work),
		zap.Durations("ends", ends), zap.Duration("excess", out.OnTime.Excess), zap.Int("rank", int(q.rank)),
	}
}

// chain returns the chain of the stages of the request.
func (q *request) chain(objective, deadline time.Duration) pace.Chain {
	c := pace.Chain{
		Stages:         make([]pace.Stage, len(q.route.Stages)),
		Engine:         q.firstEventTime(),
		Fetch:          batcher.InputFetchTime,
		UntilObjective: objective,
		UntilDeadline:  deadline,
		Rank:           q.rank.RoutePriority(),
		Returned:       q.returned,
	}
	for i, stage := range q.route.Stages {
		c.Stages[i] = pace.Stage{DependsOn: stage.DependsOn, CallTime: q.expectedCallTime(i)}
		if c.Stages[i].CallTime == 0 {
			continue
		}
		c.Stages[i].Backlog, c.Stages[i].TotalBacklog = q.server.cfg.QueueWait(stage.Service, q.stageZone(), q.account, q.rank)
		if s, ok := q.index.Service(stage.Service); ok && s.Batching != nil {
			c.Stages[i].ResultTTL = s.Batching.ResultTTL
		}
	}
	return c
}

// expectedTimeAfter is the expected time of a stage that is not started. Where capacity is
// reserved, the queue does not count: the reported backlog holds the pieces of the stage
// itself and of requests behind this one, and the admission has counted it.
func (q *request) expectedTimeAfter(stage int) time.Duration {
	if q.server.reserves() {
		return q.expectedCallTime(stage)
	}
	return q.expectedTime(stage)
}

// commitStages tells the owners of the services what the stages that are not started will
// send.
func (q *request) commitStages() {
	if !q.server.reserves() {
		return
	}
	if q.commitments == nil {
		q.commitments = make([]Commitment, len(q.route.Stages))
	}
	for i, stage := range q.route.Stages {
		started := len(q.stages) > 0 && q.stages[i].started
		if n := q.pieceCount(i); n > 0 && !started && q.commitments[i] == nil {
			q.commitments[i] = q.server.cfg.Commit(batcher.Job{RequestID: q.ID, Service: stage.Service, Pieces: n, Zone: q.stageZone(), Account: q.account, Rank: q.rank})
		}
	}
}

// sentStage ends the commitment of a stage whose job is sent.
func (q *request) sentStage(stage int) {
	if len(q.commitments) > 0 && q.commitments[stage] != nil {
		q.commitments[stage].Sent()
		q.commitments[stage] = nil
	}
}

// withdrawStages ends the commitments of the stages whose jobs will not be sent.
func (q *request) withdrawStages() {
	for i, c := range q.commitments {
		if c != nil {
			c.Withdraw()
			q.commitments[i] = nil
		}
	}
}
