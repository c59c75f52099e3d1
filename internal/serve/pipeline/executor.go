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
	// savedExtra is the greatest number of retries or hedges saved up.
	savedExtra = 20
	// bytesPerUnit is the input size that counts as one unit of work.
	bytesPerUnit = 64
)

// Request is a caller's request.
type Request struct {
	ID       string
	Account  string
	Pipeline string
	Input    []byte
	// Tokens is the number of tokens wanted of generating stages.
	Tokens uint32
	Prefix string
	// Key is the idempotency key, needed where a stage is once-only.
	Key      string
	Deadline time.Time
	// Emit takes the chunks of the last stage as they come; nil for a whole
	// answer.
	Emit func(seq uint32, data []byte) error
}

// StageCost is what one stage of a request took.
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
	// WastedUs is the upstream time of attempts that were not used.
	WastedUs int64 `json:"wasted_us,omitempty"`
	// Replayed is set where an earlier request with the key had done it.
	Replayed bool `json:"replayed,omitempty"`
}

// Answer is the whole answer of a request.
type Answer struct {
	Output []byte
	Chunks uint32
	Stages []StageCost
}

// Config builds an Executor.
type Config struct {
	Table    *route.Table
	Pool     *link.Pool
	Once     *once.Runner
	Book     *admit.Book
	Follower *control.Follower
	// Entries returns the number of living entries that share the upstreams.
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
	return &Executor{cfg: cfg, retries: budget.New(savedExtra), hedges: budget.New(savedExtra)}
}

// Mismatched returns the number of replies that matched no pending call.
func (x *Executor) Mismatched() uint64 { return x.mismatched.Load() }

// Run runs a request. The error is a *refuse.Error.
func (x *Executor) Run(ctx context.Context, r Request) (Answer, error) {
	held := x.cfg.Follower.Held()
	if !held.Fresh(time.Now()) {
		return Answer{}, refuse.New(refuse.Lapsed, lapsedRan(held, r), "this entry's document is not confirmed by a quorum", "send the request again shortly").WithRetryAfter(time.Second)
	}
	p, ok := held.Schema.Pipelines[r.Pipeline]
	if !ok {
		return Answer{}, refuse.New(refuse.UnknownName, refuse.RanNo, fmt.Sprintf("no pipeline %q", r.Pipeline), "use a pipeline of the document")
	}
	ticket, err := x.admit(held.Schema, p, r)
	if err != nil {
		return Answer{}, err
	}
	if ticket != nil {
		defer x.cfg.Book.Leave(ticket)
	}
	x.note("admit", r, fmt.Sprintf("pipeline %s under document %d", r.Pipeline, held.Index))
	return x.stages(ctx, held.Schema, p, r, ticket)
}

// lapsedRan is RanUnknown where an earlier request with the key may have run.
func lapsedRan(held *control.Held, r Request) refuse.Ran {
	p, ok := held.Schema.Pipelines[r.Pipeline]
	if ok && p.Stages[len(p.Stages)-1].Once {
		return refuse.RanUnknown
	}
	return refuse.RanNo
}

func (x *Executor) note(kind string, r Request, detail string) {
	x.cfg.Timeline.Add(kind, r.ID, detail)
}

// sizeOf predicts the work of a stage from what the request shows.
func sizeOf(st document.Stage, r Request, input []byte) float64 {
	if st.Kind == "generate" && r.Tokens > 0 {
		return float64(r.Tokens)
	}
	return 1 + float64(len(input))/bytesPerUnit
}

func groupOf(st document.Stage) route.Group { return route.Group{Kind: st.Kind, Model: st.Model} }

func poolName(g route.Group) string { return g.Kind + "/" + g.Model }

// admit books the request's work, or refuses it. Requests whose key may have
// run before are always let through to the ledger.
func (x *Executor) admit(s document.Schema, p document.Pipeline, r Request) (*admit.Request, error) {
	if !s.Routing.Admission || s.Routing.Policy == "baseline" {
		return nil, nil
	}
	ticket := &admit.Request{
		Account:  r.Account,
		Weight:   max(1, float64(s.Accounts[r.Account].Weight)),
		Deadline: time.Until(r.Deadline),
	}
	groups := make(map[string]route.Group, len(p.Stages))
	for i, st := range p.Stages {
		input := r.Input
		if i > 0 {
			input = nil
		}
		g := groupOf(st)
		size := sizeOf(st, r, input)
		pool := admit.Pool{Name: poolName(g), Long: size >= float64(s.Upstreams.LongTokens)}
		ticket.Stages = append(ticket.Stages, admit.Stage{Pool: pool, ServiceUs: x.cfg.Table.Predict(g, size)})
		groups[pool.Name] = g
	}
	entries := float64(max(1, x.cfg.Entries()))
	now := time.Now()
	err := x.cfg.Book.Admit(ticket, s.Upstreams.LongShare, func(pool string) float64 {
		return x.cfg.Table.Slots(now, groups[pool]) / entries
	})
	var refused *admit.RefusedError
	if errors.As(err, &refused) {
		return nil, x.overload(p, r, refused)
	}
	return ticket, nil
}

func (x *Executor) overload(p document.Pipeline, r Request, e *admit.RefusedError) error {
	x.cfg.Metrics.Counter("refused_overload").Inc(1)
	x.note("refuse", r, e.Error())
	ran := refuse.RanNo
	if p.Stages[len(p.Stages)-1].Once {
		ran = refuse.RanUnknown
	}
	kind := refuse.Overload
	if e.Fair {
		kind = refuse.OverShare
	}
	return refuse.New(kind, ran, e.Error(), "try again later").WithRetryAfter(max(time.Second, e.Wait/2))
}

func (x *Executor) stages(ctx context.Context, s document.Schema, p document.Pipeline, r Request, ticket *admit.Request) (Answer, error) {
	answer := Answer{Output: r.Input}
	for i, st := range p.Stages {
		began := time.Now()
		run := stageRun{
			x:       x,
			request: r,
			schema:  s,
			stage:   st,
			index:   uint32(i),
			input:   answer.Output,
			reserve: x.reserve(p, i, r),
			events:  make(chan event),
			started: began,
		}
		if r.Emit != nil && i == len(p.Stages)-1 {
			run.emit = r.Emit
		}
		output, cost, err := x.stage(ctx, &run)
		cost.TotalUs = time.Since(began).Microseconds()
		answer.Stages = append(answer.Stages, cost)
		x.count(r, cost, err)
		if err != nil {
			return answer, err
		}
		answer.Output, answer.Chunks = output, run.next
		if ticket != nil {
			x.cfg.Book.StageDone(ticket, i)
		}
	}
	return answer, nil
}

// reserve is the time to keep for the stages behind stage i: what they are
// expected to take, or their share of the time that is left where that is not
// known yet.
func (x *Executor) reserve(p document.Pipeline, i int, r Request) time.Duration {
	left := time.Until(r.Deadline)
	kept := time.Duration(0)
	for _, st := range p.Stages[i+1:] {
		us := x.cfg.Table.Predict(groupOf(st), sizeOf(st, r, nil))
		if us == 0 {
			kept += time.Duration(st.Share * float64(left))
			continue
		}
		kept += time.Duration(us) * time.Microsecond
	}
	return kept
}

func (x *Executor) stage(ctx context.Context, run *stageRun) ([]byte, StageCost, error) {
	if run.stage.Once {
		return x.onceStage(ctx, run)
	}
	output, err := run.run(ctx)
	return output, run.cost, err
}

func (x *Executor) onceStage(ctx context.Context, run *stageRun) ([]byte, StageCost, error) {
	r := run.request
	digest := sha256.Sum256(append([]byte(r.Pipeline+"\x00"), r.Input...))
	result, err := x.cfg.Once.Run(context.WithoutCancel(ctx), once.Call{
		Account:   r.Account,
		Key:       r.Key,
		Digest:    digest[:],
		Group:     groupOf(run.stage),
		Input:     run.input,
		RequestID: r.ID,
		Stage:     run.index,
		Size:      sizeOf(run.stage, r, run.input),
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
			run.next = 1
		}
	}
	return result.Output, cost, err
}

// count adds a stage's cost to the metrics, by stage and account.
func (x *Executor) count(r Request, c StageCost, err error) {
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
