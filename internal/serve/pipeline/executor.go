package pipeline

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/serve/admit"
	"hawthornhub.example/hawthornhub/internal/serve/budget"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/document"
)

const (
	// budgetBurst is the maximum number of retries or hedges that can accumulate.
	budgetBurst = 20
	// bytesPerUnit is the input size that counts as one unit of work.
	bytesPerUnit = 64
)

// Request is a caller's request.
type Request struct {
	ID       string
	Account  string
	Pipeline string
	Input    []byte
	// Tokens is the number of tokens requested from generate stages.
	Tokens uint32
	// Prefix is the shared prefix of the prompt, empty for none.
	Prefix string
	// Key is the idempotency key, required if a stage runs at most once.
	Key      string
	Deadline time.Time
	// Emit receives the chunks of the last stage as they arrive; nil if the
	// response is not streamed.
	Emit func(seq uint32, data []byte) error
}

// StageCost is the time, tokens and attempts that one stage of a request used.
type StageCost struct {
	Kind      string `json:"kind"`
	Model     string `json:"model,omitempty"`
	Upstream  string `json:"upstream"`
	ServiceUs int64  `json:"service_us"`
	QueueUs   int64  `json:"queue_us"`
	TotalUs   int64  `json:"total_us"`
	Tokens    uint32 `json:"tokens,omitempty"`
	Attempts  int    `json:"attempts"`
	Hedges    int    `json:"hedges,omitempty"`
	// WastedUs is the time of attempts whose results were not used.
	WastedUs int64 `json:"wasted_us,omitempty"`
	// Replayed reports that an earlier request with the same key claimed the
	// call.
	Replayed bool `json:"replayed,omitempty"`
}

// Response is the complete response to a request.
type Response struct {
	Output []byte
	Chunks uint32
	Stages []StageCost
}

// Config configures an Executor.
type Config struct {
	Table *route.Table
	// Pool holds the connections to the agents.
	Pool      *link.Pool
	Once      *once.Runner
	Admission *admit.Controller
	Follower  *control.Follower
	// Entries returns the number of live entries that share the upstreams.
	Entries  func() int
	Timeline *timeline.Recorder
	Metrics  tally.Scope
}

// Executor runs requests. It is safe for concurrent use.
type Executor struct {
	cfg     Config
	retries *budget.Budget
	hedges  *budget.Budget
	// mismatched counts replies that matched no pending call.
	mismatched atomic.Uint64
}

// NewExecutor returns an Executor.
func NewExecutor(cfg Config) *Executor {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return &Executor{cfg: cfg, retries: budget.New(budgetBurst), hedges: budget.New(budgetBurst)}
}

// Mismatched returns the number of replies that matched no pending call.
func (x *Executor) Mismatched() uint64 { return x.mismatched.Load() }

// Run runs a request. The error is a *refuse.Error.
func (x *Executor) Run(ctx context.Context, r Request) (Response, error) {
	current := x.cfg.Follower.Document()
	if !current.Fresh(time.Now()) {
		return Response{}, refuse.New(refuse.DocumentLapsed, ranIfLapsed(current, r), "this entry's document is not confirmed by a quorum", "send the request again shortly").WithRetryAfter(time.Second)
	}
	p, ok := current.Schema.Pipelines[r.Pipeline]
	if !ok {
		return Response{}, refuse.New(refuse.UnknownName, refuse.RanNo, fmt.Sprintf("no pipeline %q", r.Pipeline), "use a pipeline of the document")
	}
	if err := x.checkZones(p); err != nil {
		return Response{}, err
	}
	admitted, err := x.admit(current.Schema, p, r)
	if err != nil {
		return Response{}, err
	}
	if admitted != nil {
		defer x.cfg.Admission.Release(admitted)
	}
	x.addToTimeline("admit", r, fmt.Sprintf("pipeline %s under document %d", r.Pipeline, current.Index))
	return x.runStages(ctx, current.Schema, p, r, admitted)
}

// checkZones refuses a request at once if all upstreams of a stage are in evacuated zones. A
// call that runs at most once may have run already, which its stage finds out.
func (x *Executor) checkZones(p document.Pipeline) error {
	for _, st := range p.Stages {
		if !st.Once && x.cfg.Table.Evacuated(poolOf(st)) {
			x.cfg.Metrics.Counter("refused_evacuated").Inc(1)
			return refuse.New(refuse.NoUpstream, refuse.RanNo, "every upstream of stage "+st.Kind+" is in an evacuated zone", "try again when a zone is restored").WithRetryAfter(time.Second)
		}
	}
	return nil
}

// ranIfLapsed returns the Ran value of a refusal for a lapsed document: it is
// RanUnknown if an earlier request with the same key may have run.
func ranIfLapsed(current *control.LeasedDocument, r Request) refuse.Ran {
	p, ok := current.Schema.Pipelines[r.Pipeline]
	if ok && p.Stages[len(p.Stages)-1].Once {
		return refuse.RanUnknown
	}
	return refuse.RanNo
}

func (x *Executor) addToTimeline(kind string, r Request, detail string) {
	x.cfg.Timeline.Add(kind, r.ID, detail)
}

// predictSize estimates the work of a stage: the requested tokens of a generate
// stage, otherwise a measure of the input size.
func predictSize(st document.Stage, r Request, input []byte) float64 {
	if st.Kind == "generate" && r.Tokens > 0 {
		return float64(r.Tokens)
	}
	return 1 + float64(len(input))/bytesPerUnit
}

func poolOf(st document.Stage) route.Pool { return route.Pool{Kind: st.Kind, Model: st.Model} }

func poolName(p route.Pool) string { return p.Kind + "/" + p.Model }

// admit reserves capacity for the expected work of the request, or refuses it.
// It returns nil if admission control is off.
func (x *Executor) admit(s document.Schema, p document.Pipeline, r Request) (*admit.Request, error) {
	if !s.Routing.Admission || s.Routing.Policy == "baseline" {
		return nil, nil
	}
	admitted := &admit.Request{
		Account:       r.Account,
		Weight:        max(1, float64(s.Accounts[r.Account].Weight)),
		UntilDeadline: time.Until(r.Deadline),
	}
	pools := make(map[string]route.Pool, len(p.Stages))
	for i, st := range p.Stages {
		input := r.Input
		if i > 0 {
			input = nil
		}
		pool := poolOf(st)
		size := predictSize(st, r, input)
		lane := admit.Lane{Pool: poolName(pool), Long: size >= float64(s.Upstreams.LongTokens)}
		admitted.Stages = append(admitted.Stages, admit.Stage{Lane: lane, ServiceUs: x.cfg.Table.Predict(pool, size)})
		pools[lane.Pool] = pool
	}
	entries := float64(max(1, x.cfg.Entries()))
	now := time.Now()
	err := x.cfg.Admission.Admit(admitted, s.Upstreams.LongShare, func(name string) float64 {
		return x.cfg.Table.EffectiveSlots(now, pools[name]) / entries
	})
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		return nil, x.overloadRefusal(p, r, refused)
	}
	return admitted, nil
}

// overloadRefusal counts and returns the refusal of a request that was not
// admitted. It says RanUnknown if the last stage runs at most once, as an
// earlier request with the same key may have run.
func (x *Executor) overloadRefusal(p document.Pipeline, r Request, e *admit.RefusedError) error {
	x.cfg.Metrics.Counter("refused_overload").Inc(1)
	x.addToTimeline("refuse", r, e.Error())
	ran := refuse.RanNo
	if p.Stages[len(p.Stages)-1].Once {
		ran = refuse.RanUnknown
	}
	kind := refuse.Overload
	if e.OverShare {
		kind = refuse.OverShare
	}
	return refuse.New(kind, ran, e.Error(), "try again later").WithRetryAfter(max(time.Second, e.Wait/2))
}

func (x *Executor) runStages(ctx context.Context, s document.Schema, p document.Pipeline, r Request, admitted *admit.Request) (Response, error) {
	response := Response{Output: r.Input}
	for i, st := range p.Stages {
		started := time.Now()
		run := stageRun{
			x:       x,
			request: r,
			schema:  s,
			stage:   st,
			index:   uint32(i),
			input:   response.Output,
			reserve: x.reservedTime(p, i, r),
			events:  make(chan event),
			started: started,
		}
		if r.Emit != nil && i == len(p.Stages)-1 {
			run.emit = r.Emit
		}
		output, cost, err := x.runStage(ctx, &run)
		cost.TotalUs = time.Since(started).Microseconds()
		response.Stages = append(response.Stages, cost)
		x.recordMetrics(r, cost, err)
		if err != nil {
			return response, err
		}
		response.Output, response.Chunks = output, run.nextChunk
		if admitted != nil {
			x.cfg.Admission.StageDone(admitted, i)
		}
	}
	return response, nil
}

// reservedTime returns the time to keep for the stages after stage i: their
// expected service time, or their configured share of the remaining time if no
// estimate exists yet.
func (x *Executor) reservedTime(p document.Pipeline, i int, r Request) time.Duration {
	remaining := time.Until(r.Deadline)
	reserved := time.Duration(0)
	for _, st := range p.Stages[i+1:] {
		us := x.cfg.Table.Predict(poolOf(st), predictSize(st, r, nil))
		if us == 0 {
			reserved += time.Duration(st.Share * float64(remaining))
			continue
		}
		reserved += time.Duration(us) * time.Microsecond
	}
	return reserved
}

func (x *Executor) runStage(ctx context.Context, run *stageRun) ([]byte, StageCost, error) {
	if run.stage.Once {
		return x.runOnceStage(ctx, run)
	}
	output, err := run.run(ctx)
	return output, run.cost, err
}

func (x *Executor) runOnceStage(ctx context.Context, run *stageRun) ([]byte, StageCost, error) {
	r := run.request
	digest := sha256.Sum256(append([]byte(r.Pipeline+"\x00"), r.Input...))
	result, err := x.cfg.Once.Run(context.WithoutCancel(ctx), once.Call{
		Account:   r.Account,
		Key:       r.Key,
		Digest:    digest[:],
		Pool:      poolOf(run.stage),
		Input:     run.input,
		RequestID: r.ID,
		Stage:     run.index,
		Size:      predictSize(run.stage, r, run.input),
		Deadline:  r.Deadline,
		Routing:   run.schema.Routing,
		Zones:     run.schema.Insurer.Services[run.stage.Kind].Zones,
	})
	cost := StageCost{
		Kind:      run.stage.Kind,
		Upstream:  result.Upstream,
		ServiceUs: result.ServiceUs,
		QueueUs:   result.QueueUs,
		Attempts:  result.Attempts,
		Replayed:  result.Replayed,
	}
	if err == nil && run.emit != nil {
		if e := run.emit(0, result.Output); e == nil {
			run.nextChunk = 1
		}
	}
	return result.Output, cost, err
}

// recordMetrics adds the cost of a stage to the metrics, tagged by stage,
// account and pipeline.
func (x *Executor) recordMetrics(r Request, c StageCost, err error) {
	scope := x.cfg.Metrics.Tagged(map[string]string{"stage": c.Kind, "account": r.Account, "pipeline": r.Pipeline})
	scope.Counter("stage_service_us").Inc(c.ServiceUs)
	scope.Counter("stage_wasted_us").Inc(c.WastedUs)
	scope.Counter("stage_tokens").Inc(int64(c.Tokens))
	scope.Counter("stage_calls").Inc(1)
	scope.Counter("stage_attempts").Inc(int64(c.Attempts))
	scope.Counter("stage_hedges").Inc(int64(c.Hedges))
	if err != nil {
		scope.Counter("stage_failed").Inc(1)
	}
}
