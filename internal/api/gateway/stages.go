package gateway

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// maxReruns is how often stages of a request are run again after their
	// results have expired.
	maxReruns = 2
)

// stageState is the state of one stage of a request.
type stageState struct {
	service string
	started bool
	// done is set once the results exist.
	done bool
	// inputsFetched is set once the stage no longer needs its own inputs.
	inputsFetched bool
	// released is set once the results have been freed.
	released bool
	// handles refer to the results, one for each piece.
	handles []string
	// oldest is when the first of the results was made.
	oldest time.Time
}

// stageEvent reports the result of a stage or, if result is nil, only that its
// inputs have been fetched.
type stageEvent struct {
	stage  int
	result batcher.Result
	took   time.Duration
}

// pieceCount returns the number of pieces of a stage.
func (q *request) pieceCount(stage int) int {
	if stage < len(q.Pieces) {
		return q.Pieces[stage]
	}
	return 0
}

// stageRun runs the stages of one request.
type stageRun struct {
	*request
	ctx     context.Context
	events  chan stageEvent
	running int
}

// runStages runs all stages that are not done, each as soon as its inputs are
// available. It returns at the latest when ctx is done, whatever a stage waits for.
func (q *request) runStages(ctx context.Context) *failure {
	n := len(q.route.Stages)
	if n == 0 {
		return nil
	}
	if q.stages == nil {
		q.stages = make([]stageState, n)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.withdrawStages()
	r := &stageRun{request: q, ctx: ctx, events: make(chan stageEvent, 2*n*(maxReruns+1))}
	for {
		r.startReady()
		if r.running == 0 {
			return nil
		}
		if f := r.awaitEvent(); f != nil {
			cancel()
			go r.releaseLate(r.running)
			return f
		}
	}
}

// awaitEvent handles the next event of a stage. It returns a failure if the stages cannot
// be completed.
func (r *stageRun) awaitEvent() *failure {
	select {
	case e := <-r.events:
		return r.handle(e)
	case <-r.ctx.Done():
		return r.contextFailure(nil)
	}
}

// startReady starts the stages whose inputs are available.
func (r *stageRun) startReady() {
	for i := range r.stages {
		s := &r.stages[i]
		if s.started || !r.inputsReady(i) {
			continue
		}
		s.started = true
		r.running++
		job, ok := r.newJob(i)
		if !ok {
			r.events <- stageEvent{stage: i, result: batcher.Completed{}}
			continue
		}
		r.sentStage(i)
		go func() {
			start := time.Now()
			result := r.runStage(job)
			r.events <- stageEvent{stage: i, result: result, took: time.Since(start)}
		}()
	}
}

// runStage runs the pieces of a stage. A panic fails the stage and not the process.
func (r *stageRun) runStage(job batcher.Job) (result batcher.Result) {
	defer logs.Recover(r.server.cfg.Log, "stage of request "+r.ID, func(err error) { result = batcher.Failed{Err: err} })
	return r.server.cfg.RunStage(r.ctx, job)
}

// releaseLate waits for stages that still run after another one failed or the time was
// over, and releases their results. The request itself has ended by then.
func (r *stageRun) releaseLate(running int) {
	for running > 0 {
		e := <-r.events
		if e.result == nil {
			continue
		}
		running--
		if completed, ok := e.result.(batcher.Completed); ok && len(completed.Handles) > 0 {
			r.server.cfg.ReleaseResults(r.route.Stages[e.stage].Service, completed.Handles)
		}
	}
}

// newJob returns the batcher.Job of a stage, false if it has no pieces.
func (r *stageRun) newJob(i int) (batcher.Job, bool) {
	stage := r.route.Stages[i]
	r.stages[i].service = stage.Service
	n := r.pieceCount(i)
	if n == 0 {
		return batcher.Job{}, false
	}
	job := batcher.Job{
		RequestID:   r.ID,
		Service:     stage.Service,
		Stage:       i,
		Pieces:      n,
		Inputs:      r.inputsFrom(stage.DependsOn),
		Timeout:     r.timeToAbandon(),
		Objective:   r.objectiveLeft(i),
		Remaining:   r.timeAfter(i),
		Rank:        r.rank,
		Account:     r.account,
		ResultBytes: stage.ResultBytes,
		InputBytes:  r.inputBytes(stage.DependsOn),
		InputsTTL:   r.inputsTTL(stage.DependsOn),
	}
	if len(job.Inputs) == 0 {
		job.Key = r.PieceKey
		job.Zone = r.stageZone()
		return job, true
	}
	job.Zone = r.majorityZone(job.Inputs)
	fetched := r.inputFetchTime(i)
	job.OnDispatched = func() {
		time.AfterFunc(fetched, func() { r.events <- stageEvent{stage: i} })
	}
	return job, true
}

// resultTTL is the time until the first result of a stage expires, 0 if it is not known.
func (q *request) resultTTL(stage int) time.Duration {
	s, ok := q.index.Service(q.route.Stages[stage].Service)
	if !ok || s.Batching == nil || s.Batching.ResultTTL == 0 || q.stages[stage].oldest.IsZero() {
		return 0
	}
	return max(time.Millisecond, s.Batching.ResultTTL-time.Since(q.stages[stage].oldest))
}

// timeAfter is the expected time from the end of a stage to the first event of
// the response.
func (q *request) timeAfter(stage int) time.Duration {
	return q.stagesAfter(stage) + q.firstEventTime()
}

// stagesAfter is the expected time of the stages that depend on a stage. It visits each of them
// once, like longestPath.
func (q *request) stagesAfter(stage int) time.Duration {
	longest, ends := time.Duration(0), map[int]time.Duration{stage: 0}
	for i := stage + 1; i < len(q.route.Stages); i++ {
		start, follows := time.Duration(0), false
		for _, dep := range q.route.Stages[i].DependsOn {
			end, ok := ends[dep]
			start, follows = max(start, end), follows || ok
		}
		if follows {
			ends[i] = start + q.expectedTimeAfter(i)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// objectiveLeft is the time until the response misses its latency objective. A
// request that has completed a stage and can no longer meet the objective is
// treated as if it just could, so that it is not queued behind others until the
// results of its completed stages expire.
func (q *request) objectiveLeft(stage int) time.Duration {
	left := time.Until(q.start.Add(q.route.Objective))
	if len(q.route.Stages[stage].DependsOn) == 0 {
		return left
	}
	return max(left, q.expectedTime(stage)+q.timeAfter(stage))
}

// expectedTime is the expected time of a stage, including its queue wait.
func (q *request) expectedTime(stage int) time.Duration {
	callTime := q.expectedCallTime(stage)
	if callTime == 0 {
		return 0
	}
	wait, _ := q.server.cfg.QueueWait(q.route.Stages[stage].Service, q.stageZone(), q.account, q.rank)
	return wait + callTime
}

// handle updates the state of a stage after an event.
func (r *stageRun) handle(e stageEvent) *failure {
	if e.result == nil {
		r.stages[e.stage].inputsFetched = true
		r.releaseUnneeded()
		return nil
	}
	r.running--
	stage := r.route.Stages[e.stage]
	switch result := e.result.(type) {
	case batcher.Completed:
		r.complete(e, result)
		return nil
	case batcher.Refused:
		return unavailable(fmt.Sprintf("stage %d cannot be made in time", e.stage), result.RetryAfter)
	case batcher.Failed:
		if r.ctx.Err() != nil {
			return r.contextFailure(nil)
		}
		r.server.cfg.Log.Info("stage failed", r.fields(
			zap.Int("stage", e.stage), zap.String("service", stage.Service), zap.Bool("inputs_gone", result.InputsGone), zap.Error(result.Err))...)
		if result.InputsGone && r.rerun(append(r.resultsOrigin(stage.DependsOn), e.stage)) {
			return nil
		}
		return unavailable(fmt.Sprintf("stage %d failed", e.stage), defaultRetryAfter)
	default:
		panic(fmt.Sprintf("gateway: unhandled result %T", result))
	}
}

func (r *stageRun) complete(e stageEvent, result batcher.Completed) {
	s := &r.stages[e.stage]
	s.handles, s.done, s.inputsFetched = result.Handles, true, true
	s.oldest = time.Now().Add(-result.Oldest)
	defer r.releaseUnneeded()
	if len(result.Handles) == 0 {
		return
	}
	r.learnStage(s.service, e.took, len(result.Handles), result)
	r.server.cfg.Log.Info("stage made", r.fields(
		zap.Int("stage", e.stage), zap.String("service", s.service), zap.Int("pieces", len(result.Handles)), zap.Duration("took", e.took),
		zap.Duration("queued", result.Queued), zap.Int("calls", result.Calls), zap.Duration("backlog", result.Backlog.For(r.rank)), zap.Duration("backlog_last", result.Backlog.Total))...)
	scope := r.server.cfg.Metrics.Tagged(map[string]string{"service": s.service})
	scope.Timer("stage").Record(e.took)
	scope.Timer("stage_queued").Record(result.Queued)
}

// rerun resets stages so that they run again, along with those before them whose
// results are no longer available. It returns false if maxReruns is reached.
func (q *request) rerun(stages []int) bool {
	if q.reruns >= maxReruns {
		return false
	}
	q.reruns++
	reset := make([]bool, len(q.route.Stages))
	for len(stages) > 0 {
		i := stages[0]
		stages = stages[1:]
		if reset[i] {
			continue
		}
		reset[i] = true
		q.releaseStage(i)
		q.stages[i] = stageState{}
		for _, dep := range q.route.Stages[i].DependsOn {
			if q.stages[dep].released || !q.stages[dep].done {
				stages = append(stages, dep)
			}
		}
	}
	q.commitStages()
	return true
}

// finalStages returns the stages that no other stage depends on.
func finalStages(stages []site.Stage) []int {
	hasDependent := make(map[int]bool)
	for _, s := range stages {
		for _, dep := range s.DependsOn {
			hasDependent[dep] = true
		}
	}
	var out []int
	for i := range stages {
		if !hasDependent[i] {
			out = append(out, i)
		}
	}
	return out
}

// finalResultBytes is the total size of the results that the engine fetches.
func (q *request) finalResultBytes() int64 {
	if len(q.stages) == 0 {
		return 0
	}
	return q.inputBytes(finalStages(q.route.Stages))
}

// finalResults returns the handles of the results that the engine fetches.
func (q *request) finalResults() []string {
	if len(q.stages) == 0 {
		return nil
	}
	return q.inputsFrom(finalStages(q.route.Stages))
}

// releaseUnneeded releases the results that every dependent stage has fetched. A
// dependent stage without pieces fetches nothing: it passes the results on, and
// they are kept.
func (q *request) releaseUnneeded() {
	hasDependent, needed := make([]bool, len(q.stages)), make([]bool, len(q.stages))
	for i, s := range q.route.Stages {
		fetched := q.stages[i].inputsFetched && q.pieceCount(i) > 0
		for _, dep := range s.DependsOn {
			hasDependent[dep] = true
			needed[dep] = needed[dep] || !fetched
		}
	}
	for i := range q.stages {
		if hasDependent[i] && !needed[i] {
			q.releaseStage(i)
		}
	}
}

func (q *request) releaseStage(i int) {
	s := &q.stages[i]
	if s.released || len(s.handles) == 0 {
		return
	}
	s.released = true
	q.server.cfg.ReleaseResults(s.service, s.handles)
}

// releaseAll releases all results that have not been released yet.
func (q *request) releaseAll() {
	for i := range q.stages {
		q.releaseStage(i)
	}
}
