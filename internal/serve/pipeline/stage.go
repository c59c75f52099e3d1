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
	// maxAttempts bounds the attempts of a stage, including hedges.
	maxAttempts = 6
	// upstreamRetryInterval is the time between checks for an available
	// upstream.
	upstreamRetryInterval = 20 * time.Millisecond
	// minHedgeDelay is the minimum delay before a stage is hedged.
	minHedgeDelay = 2 * time.Millisecond
)

// stageRun is the execution of one stage of a request that may be retried and
// hedged.
type stageRun struct {
	x       *Executor
	request Request
	schema  document.Schema
	stage   document.Stage
	index   uint32
	input   []byte
	// reserve is the time to keep for later stages.
	reserve time.Duration
	// emit passes the chunks of a streamed stage on; nil for other stages.
	emit    func(seq uint32, data []byte) error
	started time.Time

	events chan event
	active []*attempt
	// tried are the names of the upstreams that have had an attempt.
	tried    []string
	attempts int
	hedged   bool
	// nextChunk is the sequence number of the first chunk not yet received.
	nextChunk uint32
	output    []byte
	cost      StageCost
}

func (s *stageRun) pool() route.Pool { return poolOf(s.stage) }

func (s *stageRun) size() float64 { return predictSize(s.stage, s.request, s.input) }

// run runs the stage and returns its complete output. The error is a
// *refuse.Error.
func (s *stageRun) run(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, s.request.Deadline)
	defer cancel()
	defer s.cancelAll()
	s.cost.Kind, s.cost.Model = s.stage.Kind, s.stage.Model
	s.x.retries.Deposit(s.schema.Routing.RetryBudget)
	s.x.hedges.Deposit(s.schema.Routing.HedgeBudget)
	if err := s.startAttempt(ctx); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, s.interrupted(ctx)
		case <-hedge.C:
			s.tryHedge(ctx)
		case e := <-s.events:
			done, err := s.handleEvent(ctx, e)
			if err != nil {
				return nil, err
			}
			if done {
				return s.output, nil
			}
		}
	}
}

// interrupted returns the refusal for a stage whose deadline passed or whose
// caller disconnected.
func (s *stageRun) interrupted(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse.New(refuse.Deadline, refuse.RanYes, "the deadline passed in stage "+s.stage.Kind, "allow more time or send less work")
	}
	return refuse.New(refuse.Cancelled, refuse.RanYes, "the caller left", "none")
}

// hedgeDelay returns the time after which the stage counts as late compared
// with similar calls. Without hedging or an estimate it lies past the deadline.
func (s *stageRun) hedgeDelay() time.Duration {
	r := s.schema.Routing
	us := 0.0
	if len(s.active) > 0 {
		us = s.x.cfg.Table.HedgeAfter(s.active[0].upstream, s.size())
	}
	if r.HedgeQuantile == 0 || r.Policy == "baseline" || us == 0 {
		return time.Until(s.request.Deadline) + time.Second
	}
	return max(minHedgeDelay, time.Duration(us)*time.Microsecond)
}

// tryHedge starts a second attempt if the first one has made no progress,
// another upstream has a free slot, and the budget allows it. If all upstreams
// are full, a hedge would only displace other work.
func (s *stageRun) tryHedge(ctx context.Context) {
	if s.hedged || len(s.active) != 1 || s.active[0].nextChunk > s.active[0].firstChunk {
		return
	}
	u, ok := s.pickUpstream()
	if !ok || !s.x.cfg.Table.HasFreeSlot(u) || !s.x.hedges.TryWithdraw() {
		return
	}
	s.hedged = true
	s.cost.Hedges++
	s.x.addToTimeline("hedge", s.request, fmt.Sprintf("stage %d after %v", s.index, time.Since(s.started).Round(time.Microsecond)))
	s.dispatch(ctx, u, true)
}

// startAttempt dispatches an attempt, waiting until an upstream is available.
func (s *stageRun) startAttempt(ctx context.Context) error {
	for {
		if u, ok := s.pickUpstream(); ok {
			s.dispatch(ctx, u, false)
			return nil
		}
		if s.x.cfg.Table.Evacuated(s.pool()) {
			return s.noUpstream()
		}
		select {
		case <-ctx.Done():
			return s.noUpstream()
		case <-time.After(upstreamRetryInterval):
		}
	}
}

func (s *stageRun) noUpstream() error {
	return refuse.New(refuse.NoUpstream, s.ranSoFar(), "no upstream is able to take stage "+s.stage.Kind, "try again when an upstream is there").WithRetryAfter(time.Second)
}

// ranSoFar reports whether any work has been dispatched for the request.
func (s *stageRun) ranSoFar() refuse.Ran {
	if s.index > 0 || s.attempts > 0 {
		return refuse.RanYes
	}
	return refuse.RanNo
}

// pickUpstream picks an untried upstream, or any without a running attempt if
// all have been tried.
func (s *stageRun) pickUpstream() (route.Upstream, bool) {
	info := route.PickInfo{
		Pool:    s.pool(),
		Size:    s.size(),
		Prefix:  s.request.Prefix,
		Exclude: s.tried,
		Zones:   s.schema.Insurer.Services[s.stage.Kind].Zones,
	}
	if u, ok := s.x.cfg.Table.Pick(time.Now(), info, s.schema.Routing); ok {
		return u, true
	}
	info.Exclude = s.activeUpstreams()
	return s.x.cfg.Table.Pick(time.Now(), info, s.schema.Routing)
}

func (s *stageRun) activeUpstreams() []string {
	var out []string
	for _, a := range s.active {
		out = append(out, a.upstream.Name)
	}
	return out
}

func (s *stageRun) dispatch(ctx context.Context, u route.Upstream, hedge bool) {
	s.attempts++
	s.cost.Attempts = s.attempts
	s.tried = append(s.tried, u.Name)
	digest := sha256.Sum256(s.input)
	now := time.Now()
	a := &attempt{
		id:       &fleetpb.CallId{Request: s.request.ID, Stage: s.index, Attempt: uint32(s.attempts)},
		digest:   digest[:],
		upstream: u,
		inflight: s.x.cfg.Table.Begin(now, u, route.PickInfo{Pool: s.pool(), Size: s.size()}),
		started:  now,
		hedge:    hedge,
	}
	if s.emit != nil {
		a.firstChunk, a.nextChunk = s.nextChunk, s.nextChunk
	}
	s.active = append(s.active, a)
	s.x.addToTimeline("dispatch", s.request, fmt.Sprintf("stage %d attempt %d to %s", s.index, s.attempts, u.Name))
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
		Tokens:     s.requestedTokens(),
		Stream:     s.emit != nil,
		FirstChunk: a.firstChunk,
		Lane:       lane,
		Digest:     a.digest,
		Prefix:     s.request.Prefix,
		Size:       uint32(s.size()),
		Policy:     s.schema.Routing.Queue,
	}
}

func (s *stageRun) requestedTokens() uint32 {
	if s.stage.Kind == "generate" {
		return s.request.Tokens
	}
	return 0
}

// handleEvent processes one event and reports whether the stage is done.
func (s *stageRun) handleEvent(ctx context.Context, e event) (bool, error) {
	if !slices.Contains(s.active, e.attempt) {
		return false, nil
	}
	switch {
	case e.chunk != nil:
		return false, s.handleChunk(ctx, e.attempt, e.chunk)
	case e.end != nil && e.end.Failure == nil:
		return s.handleEnd(ctx, e.attempt, e.end)
	case e.end != nil:
		return false, s.handleFailure(ctx, e.attempt, e.end.Failure, e.end.Word, errors.New(e.end.Failure.Detail))
	case e.err != nil:
		return false, s.handleFailure(ctx, e.attempt, nil, nil, e.err)
	default:
		return false, nil
	}
}

func (s *stageRun) handleChunk(ctx context.Context, a *attempt, c *fleetpb.Chunk) error {
	if err := a.appendChunk(c); err != nil {
		return s.handleFailure(ctx, a, nil, nil, err)
	}
	if s.emit == nil {
		return nil
	}
	s.cancelOthers(a)
	a.output = nil
	if err := s.emit(c.Seq, c.Data); err != nil {
		return refuse.New(refuse.Cancelled, refuse.RanYes, "the caller left: "+err.Error(), "none")
	}
	s.output = append(s.output, c.Data...)
	s.nextChunk = c.Seq + 1
	return nil
}

// handleEnd completes the stage with a successful attempt, provided that all
// chunks counted in its end message have arrived.
func (s *stageRun) handleEnd(ctx context.Context, a *attempt, end *fleetpb.CallEnd) (bool, error) {
	if end.Chunks != a.nextChunk {
		return false, s.handleFailure(ctx, a, nil, end.Word, fmt.Errorf("%d of %d chunks", a.nextChunk, end.Chunks))
	}
	s.x.cfg.Table.Done(time.Now(), a.inflight, route.DoneInfo{ServiceUs: end.ServiceUs, QueueUs: end.QueueUs, Report: end.Word})
	s.remove(a)
	if s.emit == nil {
		s.output, s.nextChunk = a.output, a.nextChunk
	}
	s.cost.Upstream = a.upstream.Name
	s.cost.ServiceUs += end.ServiceUs
	s.cost.QueueUs += end.QueueUs
	s.cost.Tokens += end.Tokens
	return true, nil
}

// handleFailure ends an attempt and starts another one, unless another attempt
// is still running or the attempt limit or the retry budget is exhausted. An
// attempt that did not run costs no retry budget.
func (s *stageRun) handleFailure(ctx context.Context, a *attempt, f *fleetpb.Failure, report *fleetpb.Word, cause error) error {
	notRun := f != nil && f.Ran == failure.RanNo
	s.x.cfg.Table.Done(time.Now(), a.inflight, route.DoneInfo{Report: report, Failed: !notRun || f.Kind == failure.Leaving || f.Kind == failure.NoUpstream})
	s.remove(a)
	if !notRun {
		s.cost.WastedUs += time.Since(a.started).Microseconds()
	}
	s.x.addToTimeline("attempt_failed", s.request, fmt.Sprintf("stage %d attempt %d at %s: %v", s.index, a.id.Attempt, a.upstream.Name, cause))
	if len(s.active) > 0 {
		return nil
	}
	if f != nil {
		if refusal := s.finalRefusal(f); refusal != nil {
			return refusal
		}
		s.x.cfg.Follower.AwaitDocument(ctx, f.Document)
	}
	if s.attempts >= maxAttempts || !notRun && !s.x.retries.TryWithdraw() {
		return refuse.New(refuse.UpstreamFailed, s.ranSoFar(), fmt.Sprintf("stage %s failed on %d upstreams: %v", s.stage.Kind, s.attempts, cause), "try again").WithRetryAfter(time.Second)
	}
	return s.startAttempt(ctx)
}

// finalRefusal returns the refusal if every other upstream would refuse the
// stage too, and nil otherwise.
func (s *stageRun) finalRefusal(f *fleetpb.Failure) error {
	switch f.Kind {
	case failure.Deadline:
		return refuse.New(refuse.Deadline, s.ranSoFar(), f.Detail, f.Remedy)
	case failure.ServiceStopped:
		return refuse.New(refuse.InsurerCondition, s.ranSoFar(), f.Detail, f.Remedy)
	default:
		return nil
	}
}

// cancelOthers cancels every attempt except a.
func (s *stageRun) cancelOthers(a *attempt) {
	for _, other := range slices.Clone(s.active) {
		if other != a {
			s.cancelAttempt(other)
		}
	}
}

// cancelAttempt cancels an attempt whose result is not needed and counts its
// time as wasted.
func (s *stageRun) cancelAttempt(a *attempt) {
	s.cost.WastedUs += time.Since(a.started).Microseconds()
	s.x.cfg.Table.Done(time.Now(), a.inflight, route.DoneInfo{Superseded: s.nextChunk > 0 || len(s.output) > 0})
	s.remove(a)
}

// remove cancels the stream of an attempt and removes it from the active ones.
func (s *stageRun) remove(a *attempt) {
	a.cancel()
	if i := slices.Index(s.active, a); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}

func (s *stageRun) cancelAll() {
	for _, a := range slices.Clone(s.active) {
		s.cancelAttempt(a)
	}
}
