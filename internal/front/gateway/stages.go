package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/beside/pieces"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// firstEvent is the expected time until an engine's first event.
const firstEvent = 150 * time.Millisecond

// stageResult is the results of one stage.
type stageResult struct {
	service  string
	handles  []string
	made     bool
	released bool
}

// stageEnd is the end of one stage.
type stageEnd struct {
	stage  int
	result pieces.Result
}

// pieces returns the number of pieces of a stage.
func (q *request) pieces(stage int) int {
	if stage < len(q.Pieces) {
		return q.Pieces[stage]
	}
	return 0
}

// runStages makes the pieces of all stages, each as soon as its inputs are
// there.
func (q *request) runStages(ctx context.Context) *refusal {
	n := len(q.route.Stages)
	if n == 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q.results = make([]stageResult, n)
	started := make([]bool, n)
	ends := make(chan stageEnd, n)
	running := 0
	for {
		for i := range n {
			if !started[i] && q.inputsReady(i) {
				started[i] = true
				running++
				go func() { ends <- stageEnd{i, q.runStage(ctx, i)} }()
			}
		}
		if running == 0 {
			return nil
		}
		end := <-ends
		running--
		if f := q.take(ctx, end); f != nil {
			cancel()
			q.drop(ends, running)
			return f
		}
	}
}

// drop takes the stages that still run after another one failed.
func (q *request) drop(ends <-chan stageEnd, running int) {
	for range running {
		end := <-ends
		if made, ok := end.result.(pieces.Made); ok {
			q.results[end.stage] = stageResult{service: q.route.Stages[end.stage].Service, handles: made.Handles, made: true}
		}
	}
}

func (q *request) inputsReady(stage int) bool {
	for _, a := range q.route.Stages[stage].After {
		if !q.results[a].made {
			return false
		}
	}
	return true
}

func (q *request) runStage(ctx context.Context, i int) pieces.Result {
	n := q.pieces(i)
	if n == 0 {
		return pieces.Made{}
	}
	stage := q.route.Stages[i]
	now := time.Now()
	order := pieces.Order{
		Request:   q.ID,
		Service:   stage.Service,
		Stage:     i,
		Pieces:    n,
		Inputs:    q.inputsOf(stage.After),
		Left:      q.deadline.Sub(now),
		Objective: q.began.Add(q.route.Objective).Sub(now),
		Rest:      q.rest(i),
		Rank:      q.rank,
		Zone:      q.server.cfg.Zone,

		ResultBytes: stage.ResultBytes,
	}
	if len(order.Inputs) == 0 {
		order.Key = q.PieceKey
	}
	return q.server.cfg.Stages(ctx, order)
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
		out = append(out, q.results[a].handles...)
	}
	return out
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

// duration is the expected time of a stage.
func (q *request) duration(stage int) time.Duration {
	s, ok := q.index.Service(q.route.Stages[stage].Service)
	if !ok || s.Pieces == nil || q.pieces(stage) == 0 {
		return 0
	}
	return s.Pieces.Call + time.Duration(s.Pieces.Batch/2)*s.Pieces.Item
}

func (q *request) take(ctx context.Context, end stageEnd) *refusal {
	stage := q.route.Stages[end.stage]
	switch r := end.result.(type) {
	case pieces.Made:
		q.results[end.stage] = stageResult{service: stage.Service, handles: r.Handles, made: true}
		q.releaseUsed()
		return nil
	case pieces.Refused:
		return notRun(fmt.Sprintf("stage %d cannot be made in time", end.stage), r.Retry)
	case pieces.Failed:
		if ctx.Err() != nil {
			return q.timedOut(nil)
		}
		q.server.cfg.Log.Info("stage failed", q.fields(zap.Int("stage", end.stage), zap.String("service", stage.Service), zap.Error(r.Err))...)
		return notRun(fmt.Sprintf("stage %d failed", end.stage), shortRetry)
	default:
		panic(fmt.Sprintf("gateway: unhandled result %T", r))
	}
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
	if len(q.results) == 0 {
		return nil
	}
	return q.inputsOf(lastStages(q.route.Stages))
}

// releaseUsed gives back the results that all stages after them have used.
func (q *request) releaseUsed() {
	for i := range q.results {
		followers, done := 0, true
		for j, s := range q.route.Stages {
			if slices.Contains(s.After, i) {
				followers++
				done = done && q.results[j].made && q.pieces(j) > 0
			}
		}
		if followers > 0 && done {
			q.releaseStage(i)
		}
	}
}

func (q *request) releaseStage(i int) {
	r := &q.results[i]
	if r.released || len(r.handles) == 0 {
		return
	}
	r.released = true
	q.server.cfg.Release(r.service, r.handles)
}

// release gives back all results that are left.
func (q *request) release() {
	for i := range q.results {
		q.releaseStage(i)
	}
}
