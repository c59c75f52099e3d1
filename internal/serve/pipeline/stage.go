package pipeline

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// maxAttempts bounds the attempts of a stage, hedges among them.
	maxAttempts = 6
	// retryPause is the wait before a stage without a usable upstream is
	// tried again.
	retryPause = 20 * time.Millisecond
	// hedgeLeast is the least time after which a stage is hedged.
	hedgeLeast = 2 * time.Millisecond
)

// stageRun is one repeatable stage of one request while it runs.
type stageRun struct {
	x       *Executor
	request Request
	schema  document.Schema
	stage   document.Stage
	index   uint32
	input   []byte
	reserve time.Duration
	emit    func(seq uint32, data []byte) error
	started time.Time

	events chan event
	active []*attempt
	tried  []string
	count  int
	hedged bool
	next   uint32
	output []byte
	cost   StageCost
}

func (s *stageRun) group() route.Group { return groupOf(s.stage) }

func (s *stageRun) size() float64 { return sizeOf(s.stage, s.request, s.input) }

// run returns the stage's whole output. The error is a *refuse.Error.
func (s *stageRun) run(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, s.request.Deadline)
	defer cancel()
	defer s.stopAll()
	s.cost.Kind, s.cost.Model = s.stage.Kind, s.stage.Model
	s.x.retries.Earn(s.schema.Routing.RetryBudget)
	s.x.hedges.Earn(s.schema.Routing.HedgeBudget)
	if err := s.launch(ctx); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, s.ended(ctx)
		case <-hedge.C:
			s.tryHedge(ctx)
		case e := <-s.events:
			done, err := s.handle(ctx, e)
			if err != nil {
				return nil, err
			}
			if done {
				return s.output, nil
			}
		}
	}
}

// ended is the refusal of a stage whose time ran out or whose caller left.
func (s *stageRun) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse.New(refuse.Deadline, refuse.RanYes, "the deadline passed in stage "+s.stage.Kind, "allow more time or send less work")
	}
	return refuse.New(refuse.Cancelled, refuse.RanYes, "the caller left", "none")
}

// hedgeDelay is the time after which the stage is late against its like.
func (s *stageRun) hedgeDelay() time.Duration {
	r := s.schema.Routing
	us := 0.0
	if len(s.active) > 0 {
		us = s.x.cfg.Table.HedgeAfter(s.active[0].upstream, s.size())
	}
	if r.HedgeQuantile == 0 || r.Policy == "baseline" || us == 0 {
		return time.Until(s.request.Deadline) + time.Second
	}
	return max(hedgeLeast, time.Duration(us)*time.Microsecond)
}

// tryHedge starts a second attempt where none has shown progress, another
// upstream has a free slot, and the budget allows it. Where all are full, a
// hedge would only take the place of other work.
func (s *stageRun) tryHedge(ctx context.Context) {
	if s.hedged || len(s.active) != 1 || s.active[0].next > s.active[0].first {
		return
	}
	u, ok := s.pick()
	if !ok || !s.x.cfg.Table.Free(u) || !s.x.hedges.Spend() {
		return
	}
	s.hedged = true
	s.cost.Hedges++
	s.x.note("hedge", s.request, fmt.Sprintf("stage %d after %v", s.index, time.Since(s.started).Round(time.Microsecond)))
	s.begin(ctx, u, true)
}

// launch places an attempt on an upstream that has not been tried, or on any
// where all have been, and waits for one to appear.
func (s *stageRun) launch(ctx context.Context) error {
	for {
		if u, ok := s.pick(); ok {
			s.begin(ctx, u, false)
			return nil
		}
		select {
		case <-ctx.Done():
			return s.noUpstream()
		case <-time.After(retryPause):
		}
	}
}

func (s *stageRun) noUpstream() error {
	return refuse.New(refuse.NoUpstream, s.ranSoFar(), "no upstream is able to take stage "+s.stage.Kind, "try again when an upstream is there").WithRetryAfter(time.Second)
}

func (s *stageRun) ranSoFar() refuse.Ran {
	if s.index > 0 || s.count > 0 {
		return refuse.RanYes
	}
	return refuse.RanNo
}

func (s *stageRun) pick() (route.Upstream, bool) {
	need := route.Need{
		Group:  s.group(),
		Size:   s.size(),
		Prefix: s.request.Prefix,
		Except: s.tried,
		Zones:  s.schema.Insurer.Services[s.stage.Kind].Zones,
	}
	if u, ok := s.x.cfg.Table.Pick(time.Now(), need, s.schema.Routing); ok {
		return u, true
	}
	need.Except = s.activeNames()
	return s.x.cfg.Table.Pick(time.Now(), need, s.schema.Routing)
}

func (s *stageRun) activeNames() []string {
	var out []string
	for _, a := range s.active {
		out = append(out, a.upstream.Name)
	}
	return out
}

func (s *stageRun) begin(ctx context.Context, u route.Upstream, hedge bool) {
	s.count++
	s.cost.Attempts = s.count
	s.tried = append(s.tried, u.Name)
	digest := sha256.Sum256(s.input)
	now := time.Now()
	a := &attempt{
		id:       &fleetpb.CallId{Request: s.request.ID, Stage: s.index, Attempt: uint32(s.count)},
		digest:   digest[:],
		upstream: u,
		placed:   s.x.cfg.Table.Begin(now, u, route.Need{Group: s.group(), Size: s.size()}),
		began:    now,
		hedge:    hedge,
	}
	if s.emit != nil {
		a.first, a.next = s.next, s.next
	}
	s.active = append(s.active, a)
	s.x.note("dispatch", s.request, fmt.Sprintf("stage %d attempt %d to %s", s.index, s.count, u.Name))
	a.start(ctx, s.x, s.callFor(a), s.events)
}

func (s *stageRun) callFor(a *attempt) *fleetpb.Call {
	lane := "short"
	if s.size() >= float64(s.schema.Upstreams.LongTokens) {
		lane = "long"
	}
	return &fleetpb.Call{
		Id:         a.id,
		Kind:       s.stage.Kind,
		Model:      s.stage.Model,
		Input:      s.input,
		BudgetMs:   max(1, (time.Until(s.request.Deadline) - s.reserve).Milliseconds()),
		Account:    s.request.Account,
		Tokens:     s.tokens(),
		Stream:     s.emit != nil,
		FirstChunk: a.first,
		Lane:       lane,
		Digest:     a.digest,
		Prefix:     s.request.Prefix,
		Size:       uint32(s.size()),
		Policy:     s.schema.Routing.Queue,
	}
}

func (s *stageRun) tokens() uint32 {
	if s.stage.Kind == "generate" {
		return s.request.Tokens
	}
	return 0
}

// handle takes one event and reports whether the stage is done.
func (s *stageRun) handle(ctx context.Context, e event) (bool, error) {
	if !slices.Contains(s.active, e.attempt) {
		return false, nil
	}
	switch {
	case e.chunk != nil:
		return false, s.chunk(ctx, e.attempt, e.chunk)
	case e.end != nil && e.end.Failure == nil:
		return s.whole(ctx, e.attempt, e.end)
	case e.end != nil:
		return false, s.failed(ctx, e.attempt, e.end.Failure, e.end.Word, errors.New(e.end.Failure.Detail))
	case e.err != nil:
		return false, s.failed(ctx, e.attempt, nil, nil, e.err)
	default:
		return false, nil
	}
}

func (s *stageRun) chunk(ctx context.Context, a *attempt, c *fleetpb.Chunk) error {
	if err := a.take(c); err != nil {
		return s.failed(ctx, a, nil, nil, err)
	}
	if s.emit == nil {
		return nil
	}
	s.keepOnly(a)
	a.output = nil
	if err := s.emit(c.Seq, c.Data); err != nil {
		return refuse.New(refuse.Cancelled, refuse.RanYes, "the caller left: "+err.Error(), "none")
	}
	s.output = append(s.output, c.Data...)
	s.next = c.Seq + 1
	return nil
}

// whole takes an attempt's end, which must say that nothing is missing.
func (s *stageRun) whole(ctx context.Context, a *attempt, end *fleetpb.CallEnd) (bool, error) {
	if end.Chunks != a.next {
		return false, s.failed(ctx, a, nil, end.Word, fmt.Errorf("%d of %d chunks", a.next, end.Chunks))
	}
	s.x.cfg.Table.End(time.Now(), a.placed, route.Ended{ServiceUs: end.ServiceUs, QueueUs: end.QueueUs, Word: end.Word})
	s.drop(a)
	if s.emit == nil {
		s.output, s.next = a.output, a.next
	}
	s.cost.Upstream = a.upstream.Name
	s.cost.ServiceUs += end.ServiceUs
	s.cost.QueueUs += end.QueueUs
	s.cost.Tokens += end.Tokens
	return true, nil
}

// failed ends an attempt and starts another, if the time and the budget allow
// and no other attempt is running.
func (s *stageRun) failed(ctx context.Context, a *attempt, f *fleetpb.Failure, w *fleetpb.Word, cause error) error {
	refusedOnly := f != nil && f.Ran == failure.RanNo
	s.x.cfg.Table.End(time.Now(), a.placed, route.Ended{Word: w, Failed: !refusedOnly || f.Kind == failure.Leaving || f.Kind == failure.NoUpstream})
	s.drop(a)
	if !refusedOnly {
		s.cost.WastedUs += time.Since(a.began).Microseconds()
	}
	s.x.note("attempt_failed", s.request, fmt.Sprintf("stage %d attempt %d at %s: %v", s.index, a.id.Attempt, a.upstream.Name, cause))
	if len(s.active) > 0 {
		return nil
	}
	if f != nil {
		if refusal := s.final(f); refusal != nil {
			return refusal
		}
		s.x.cfg.Follower.Await(ctx, f.Document)
	}
	if s.count >= maxAttempts || !refusedOnly && !s.x.retries.Spend() {
		return refuse.New(refuse.UpstreamFailed, s.ranSoFar(), fmt.Sprintf("stage %s failed on %d upstreams: %v", s.stage.Kind, s.count, cause), "try again").WithRetryAfter(time.Second)
	}
	return s.launch(ctx)
}

// final returns the refusal where another upstream would refuse as well.
func (s *stageRun) final(f *fleetpb.Failure) error {
	switch f.Kind {
	case failure.Deadline:
		return refuse.New(refuse.Deadline, s.ranSoFar(), f.Detail, f.Remedy)
	case failure.Stopped:
		return refuse.New(refuse.Condition, s.ranSoFar(), f.Detail, f.Remedy)
	default:
		return nil
	}
}

// keepOnly cancels every attempt but a.
func (s *stageRun) keepOnly(a *attempt) {
	for _, other := range slices.Clone(s.active) {
		if other != a {
			s.abandon(other)
		}
	}
}

// abandon cancels an attempt whose result is not used.
func (s *stageRun) abandon(a *attempt) {
	s.cost.WastedUs += time.Since(a.began).Microseconds()
	s.x.cfg.Table.End(time.Now(), a.placed, route.Ended{Outrun: s.next > 0 || len(s.output) > 0})
	s.drop(a)
}

func (s *stageRun) drop(a *attempt) {
	a.cancel()
	if i := slices.Index(s.active, a); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}

func (s *stageRun) stopAll() {
	for _, a := range slices.Clone(s.active) {
		s.abandon(a)
	}
}
