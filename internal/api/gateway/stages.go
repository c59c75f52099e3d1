package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// firstEvent is the expected time until an engine's first event.
	firstEvent = 150 * time.Millisecond
	// fetchTime is the time after which an upstream that was idle has fetched
	// the inputs of a call.
	fetchTime = 70 * time.Millisecond
	// maxRemakes is how often the stages of a request are made again after
	// results of theirs have expired.
	maxRemakes = 2
)

// stageState is what is known of one stage of a request.
type stageState struct {
	service string
	started bool
	made    bool
	// fetched is set once the stage's own inputs are not needed any more.
	fetched  bool
	released bool
	handles  []string
}

// stageEvent is news of one stage: its result, or only that its inputs have
// been fetched, where result is nil.
type stageEvent struct {
	stage  int
	result batcher.Result
	took   time.Duration
}

// pieces returns the number of pieces of a stage.
func (q *request) pieces(stage int) int {
	if stage < len(q.Pieces) {
		return q.Pieces[stage]
	}
	return 0
}

// stageRun makes the stages of one request.
type stageRun struct {
	*request
	ctx     context.Context
	events  chan stageEvent
	running int
}

// runStages makes the pieces of all stages that are not made, each as soon as
// its inputs are there.
func (q *request) runStages(ctx context.Context) *refusal {
	n := len(q.route.Stages)
	if n == 0 {
		return nil
	}
	if q.stages == nil {
		q.stages = make([]stageState, n)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &stageRun{request: q, ctx: ctx, events: make(chan stageEvent, 2*n*(maxRemakes+1))}
	for {
		r.startReady()
		if r.running == 0 {
			return nil
		}
		if f := r.take(<-r.events); f != nil {
			cancel()
			r.drop()
			return f
		}
	}
}

// startReady starts the stages whose inputs are there.
func (r *stageRun) startReady() {
	for i := range r.stages {
		s := &r.stages[i]
		if s.started || !r.inputsReady(i) {
			continue
		}
		s.started = true
		r.running++
		order, ok := r.order(i)
		if !ok {
			r.events <- stageEvent{stage: i, result: batcher.Made{}}
			continue
		}
		go func() {
			began := time.Now()
			result := r.server.cfg.Stages(r.ctx, order)
			r.events <- stageEvent{stage: i, result: result, took: time.Since(began)}
		}()
	}
}

// drop takes the ends of the stages that still run after another one failed.
func (r *stageRun) drop() {
	for r.running > 0 {
		e := <-r.events
		if e.result == nil {
			continue
		}
		r.running--
		if made, ok := e.result.(batcher.Made); ok {
			r.stages[e.stage].handles = made.Handles
		}
	}
}

func (q *request) inputsReady(stage int) bool {
	for _, a := range q.route.Stages[stage].After {
		if !q.stages[a].made {
			return false
		}
	}
	return true
}

// order returns the order for a stage, false where it has no pieces.
func (r *stageRun) order(i int) (batcher.Order, bool) {
	stage := r.route.Stages[i]
	r.stages[i].service = stage.Service
	n := r.pieces(i)
	if n == 0 {
		return batcher.Order{}, false
	}
	o := batcher.Order{
		Request:     r.ID,
		Service:     stage.Service,
		Stage:       i,
		Pieces:      n,
		Inputs:      r.inputsOf(stage.After),
		Left:        r.patience(),
		Objective:   r.objective(i),
		Rest:        r.rest(i),
		Rank:        r.rank,
		ResultBytes: stage.ResultBytes,
		InputBytes:  r.inputBytes(stage.After),
	}
	if len(o.Inputs) == 0 {
		o.Key = r.PieceKey
		o.Zone = r.homeZone(stage.Service)
		return o, true
	}
	o.Zone = r.zoneOf(o.Inputs)
	o.Dispatched = func() {
		time.AfterFunc(fetchTime, func() { r.events <- stageEvent{stage: i} })
	}
	return o, true
}

// inputsOf returns the results of stages; those of a stage that is omitted are
// the results that it would have worked on.
func (q *request) inputsOf(stages []int) []string {
	var out []string
	for _, a := range stages {
		if q.pieces(a) == 0 {
			out = append(out, q.inputsOf(q.route.Stages[a].After)...)
			continue
		}
		out = append(out, q.stages[a].handles...)
	}
	return out
}

// inputBytes is the size of the results of stages, those of an omitted stage as
// inputsOf has them.
func (q *request) inputBytes(stages []int) int64 {
	total := int64(0)
	for _, a := range stages {
		if q.pieces(a) == 0 {
			total += q.inputBytes(q.route.Stages[a].After)
			continue
		}
		total += int64(len(q.stages[a].handles)) * q.route.Stages[a].ResultBytes
	}
	return total
}

// rest is the expected time from the end of a stage to the first event.
func (q *request) rest(stage int) time.Duration {
	longest := time.Duration(0)
	for i := stage + 1; i < len(q.route.Stages); i++ {
		if !slices.Contains(q.route.Stages[i].After, stage) {
			continue
		}
		longest = max(longest, q.duration(i)+q.rest(i)-firstEvent)
	}
	return longest + firstEvent
}

// objective is the time until the answer is late. A request that was begun and
// cannot be on time any more counts as if it still could, so that what was made
// for it is not lost behind others.
func (q *request) objective(stage int) time.Duration {
	left := time.Until(q.began.Add(q.route.Objective))
	if len(q.route.Stages[stage].After) == 0 {
		return left
	}
	return max(left, q.duration(stage)+q.rest(stage))
}

// duration is the expected time of a stage, its wait in the queue included.
func (q *request) duration(stage int) time.Duration {
	usual := q.usual(stage)
	if usual == 0 {
		return 0
	}
	wait, _ := q.server.cfg.Wait(q.route.Stages[stage].Service, q.rank)
	return wait + usual
}

// usual is the expected time of the calls of a stage, 0 where it has no pieces.
func (q *request) usual(stage int) time.Duration {
	s, ok := q.index.Service(q.route.Stages[stage].Service)
	if !ok || s.Pieces == nil || q.pieces(stage) == 0 {
		return 0
	}
	return batching.ConfigOf(s.Pieces).Usual()
}

// take takes news of a stage.
func (r *stageRun) take(e stageEvent) *refusal {
	if e.result == nil {
		r.stages[e.stage].fetched = true
		r.releaseUsed()
		return nil
	}
	r.running--
	stage := r.route.Stages[e.stage]
	switch result := e.result.(type) {
	case batcher.Made:
		r.made(e, result)
		return nil
	case batcher.Refused:
		return notRun(fmt.Sprintf("stage %d cannot be made in time", e.stage), result.Retry)
	case batcher.Failed:
		if r.ctx.Err() != nil {
			return r.timedOut(nil)
		}
		r.server.cfg.Log.Info("stage failed", r.fields(
			zap.Int("stage", e.stage), zap.String("service", stage.Service), zap.Bool("inputs_gone", result.InputsGone), zap.Error(result.Err))...)
		if result.InputsGone && r.remake(append([]int{e.stage}, stage.After...)) {
			return nil
		}
		return notRun(fmt.Sprintf("stage %d failed", e.stage), shortRetry)
	default:
		panic(fmt.Sprintf("gateway: unhandled result %T", result))
	}
}

func (r *stageRun) made(e stageEvent, result batcher.Made) {
	s := &r.stages[e.stage]
	s.handles, s.made, s.fetched = result.Handles, true, true
	defer r.releaseUsed()
	if len(result.Handles) == 0 {
		return
	}
	r.server.cfg.Log.Info("stage made", r.fields(
		zap.Int("stage", e.stage), zap.String("service", s.service), zap.Int("pieces", len(result.Handles)), zap.Duration("took", e.took),
		zap.Duration("queued", result.Queued), zap.Int("calls", result.Calls), zap.Duration("backlog", result.Backlog.For(r.rank)), zap.Duration("backlog_last", result.Backlog.Last))...)
	scope := r.server.cfg.Metrics.Tagged(map[string]string{"service": s.service})
	scope.Timer("stage").Record(e.took)
	scope.Timer("stage_queued").Record(result.Queued)
}

// remake marks stages to be made again, with all that they need, and reports
// whether it may be done once more.
func (q *request) remake(stages []int) bool {
	if q.remakes >= maxRemakes {
		return false
	}
	q.remakes++
	for len(stages) > 0 {
		i := stages[0]
		stages = stages[1:]
		q.releaseStage(i)
		q.stages[i] = stageState{}
		for _, a := range q.route.Stages[i].After {
			if q.stages[a].released || !q.stages[a].made {
				stages = append(stages, a)
			}
		}
	}
	return true
}

// lastStages returns the stages that no other one follows.
func lastStages(stages []site.Stage) []int {
	followed := make(map[int]bool)
	for _, s := range stages {
		for _, a := range s.After {
			followed[a] = true
		}
	}
	var out []int
	for i := range stages {
		if !followed[i] {
			out = append(out, i)
		}
	}
	return out
}

// inputs returns the results that the engine fetches.
func (q *request) inputs() []string {
	if len(q.stages) == 0 {
		return nil
	}
	return q.inputsOf(lastStages(q.route.Stages))
}

// releaseUsed gives back the results that all stages after them have fetched.
func (q *request) releaseUsed() {
	for i := range q.stages {
		followers, done := 0, true
		for j, s := range q.route.Stages {
			if slices.Contains(s.After, i) {
				followers++
				done = done && q.stages[j].fetched && q.pieces(j) > 0
			}
		}
		if followers > 0 && done {
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
	q.server.cfg.Release(s.service, s.handles)
}

// release gives back all results that are left.
func (q *request) release() {
	for i := range q.stages {
		q.releaseStage(i)
	}
}
