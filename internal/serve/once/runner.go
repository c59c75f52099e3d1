package once

import (
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// settleGrace is how long past the caller's deadline an outcome is still
	// looked for before the caller is told to ask again.
	settleGrace = 1500 * time.Millisecond
	// poll is the time between questions for an outcome.
	poll = 50 * time.Millisecond
	// askTimeout bounds one question to an agent.
	askTimeout = time.Second
	// upstreamWait is how long a call waits for an upstream to appear.
	upstreamWait = 2 * time.Second
	// maxTargets is the greatest number of attempts of a call.
	maxTargets = 6
)

// Ledger commits commands and answers confirmed reads. control.Client is one;
// tests use fakes.
type Ledger interface {
	Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error)
	Read(ctx context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error)
}

// Place is where an agent was last known to be.
type Place struct {
	Link        string
	Incarnation uint64
	// Dead is set where membership has declared the process dead.
	Dead bool
}

// Config builds a Runner.
type Config struct {
	// Owner names the process and its incarnation, as claims record it.
	Owner  string
	Table  *route.Table
	Pool   *link.Pool
	Ledger Ledger
	// Find returns the last known place of an agent.
	Find func(name string) (Place, bool)
	// Await fetches a document index that an agent has and this process does
	// not, and waits a little for it.
	Await func(ctx context.Context, index uint64) bool
	// Alive reports whether the owner of a claim still runs.
	Alive    func(owner string) bool
	Timeline *timeline.Recorder
}

// Runner runs and settles once-only calls. It is safe for concurrent use.
type Runner struct{ cfg Config }

// NewRunner returns a Runner.
func NewRunner(cfg Config) *Runner { return &Runner{cfg: cfg} }

// Call is a call that may not be repeated.
type Call struct {
	Account string
	Key     string
	Digest  []byte
	Group   route.Group
	Input   []byte
	Request string
	Stage   uint32
	Size    float64
	// Deadline is when the caller no longer waits.
	Deadline time.Time
	Routing  document.Routing
	// Zones are the availability zones the insurer allows; none is any.
	Zones []string
}

// Result is the outcome of a call that was done.
type Result struct {
	Output []byte
	// Replayed is set where the call was done for an earlier request.
	Replayed  bool
	Upstream  string
	ServiceUs int64
	QueueUs   int64
	Attempts  int
}

func (r *Runner) note(kind string, c Call, detail string) {
	r.cfg.Timeline.Add(kind, c.Request, detail)
}

// Run claims the call, runs it on one upstream, records its outcome and
// returns it. The error is a *refuse.Error.
func (r *Runner) Run(ctx context.Context, c Call) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(settleGrace))
	defer cancel()
	target, ok := r.waitForUpstream(ctx, c)
	if !ok {
		return r.unplaced(ctx, c)
	}
	answer, err := r.propose(ctx, &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: c.Account,
		Key:     c.Key,
		Digest:  c.Digest,
		Service: c.Group.Kind,
		Request: c.Request,
		Owner:   r.cfg.Owner,
		Target:  targetOf(target),
	}}})
	if err != nil {
		return Result{}, refuse.New(refuse.Unavailable, refuse.RanUnknown, err.Error(), "send the same key again; it runs at most once")
	}
	switch answer.Kind {
	case statepb.ResultKind_RESULT_KIND_OK:
		r.note("claim", c, fmt.Sprintf("key %s for %s attempt %d at %d", c.Key, target.Name, answer.Claim.Target.Attempt, answer.Claim.Index))
		return r.dispatch(ctx, c, answer.Claim, target)
	case statepb.ResultKind_RESULT_KIND_EXISTS:
		return r.existing(ctx, c, answer.Claim)
	default:
		return Result{}, refusalOf(answer)
	}
}

func targetOf(u route.Upstream) *statepb.Target {
	return &statepb.Target{Agent: u.Name, Incarnation: u.Incarnation, Zone: u.Zone}
}

func (r *Runner) pick(c Call, except []string) (route.Upstream, bool) {
	need := route.Need{Group: c.Group, Size: c.Size, Except: except, Zones: c.Zones}
	return r.cfg.Table.Pick(time.Now(), need, c.Routing)
}

// waitForUpstream chooses an upstream, waiting a little for one to appear.
func (r *Runner) waitForUpstream(ctx context.Context, c Call) (route.Upstream, bool) {
	until := time.Now().Add(min(upstreamWait, time.Until(c.Deadline)))
	for {
		if u, ok := r.pick(c, nil); ok || time.Now().After(until) {
			return u, ok
		}
		select {
		case <-ctx.Done():
			return route.Upstream{}, false
		case <-time.After(poll):
		}
	}
}

func (r *Runner) propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error) {
	return r.cfg.Ledger.Propose(ctx, cmd)
}

// refusalOf turns a ledger's refusal into the caller's.
func refusalOf(a *statepb.Result) error {
	switch a.Kind {
	case statepb.ResultKind_RESULT_KIND_CONFLICT:
		return refuse.New(refuse.KeyConflict, refuse.RanNo, a.Detail, a.Remedy)
	case statepb.ResultKind_RESULT_KIND_EXPIRED:
		return refuse.New(refuse.KeyExpired, refuse.RanUnknown, a.Detail, a.Remedy)
	case statepb.ResultKind_RESULT_KIND_REFUSED:
		return refuse.New(refuse.Condition, refuse.RanNo, a.Detail, a.Remedy)
	default:
		return refuse.New(refuse.BadRequest, refuse.RanNo, a.Detail, a.Remedy)
	}
}

// existing answers a key that has been claimed before.
func (r *Runner) existing(ctx context.Context, c Call, claim *statepb.ClaimState) (Result, error) {
	own := claim.Owner == r.cfg.Owner && claim.Request == c.Request
	if own && claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		if u, ok := r.cfg.Table.Find(claim.Target.Agent); ok && u.Incarnation == claim.Target.Incarnation {
			return r.dispatch(ctx, c, claim, u)
		}
	}
	r.note("wait", c, "key "+c.Key+" was claimed by request "+claim.Request)
	settled, err := r.await(ctx, c, claim)
	if err != nil {
		return Result{}, err
	}
	result, err := resultOf(settled)
	result.Replayed = !own
	return result, err
}

// unplaced answers a call for which there is no upstream, by what the ledger
// holds of its key.
func (r *Runner) unplaced(ctx context.Context, c Call) (Result, error) {
	claim, err := r.look(ctx, c)
	if err != nil {
		return Result{}, refuse.New(refuse.Unavailable, refuse.RanUnknown, err.Error(), "send the same key again; it runs at most once")
	}
	if claim != nil {
		return r.existing(ctx, c, claim)
	}
	made, err := ledger.KeyTime(c.Key)
	if err != nil {
		return Result{}, refuse.New(refuse.BadRequest, refuse.RanNo, err.Error(), "send a key that carries its time")
	}
	ran := refuse.RanNo
	if time.Since(time.UnixMilli(made)) > ledger.Retention/2 {
		ran = refuse.RanUnknown
	}
	return Result{}, refuse.New(refuse.NoUpstream, ran, "no upstream is able to take the call", "try again when an upstream is there")
}

// look reads the claim of the call's key, nil for none.
func (r *Runner) look(ctx context.Context, c Call) (*statepb.ClaimState, error) {
	reply, err := r.cfg.Ledger.Read(ctx, &fleetpb.Read{ClaimAccount: c.Account, ClaimKey: c.Key})
	if err != nil {
		return nil, err
	}
	return reply.GetClaim(), nil
}

// await waits while the claim's owner lives and may finish it, then settles
// it.
func (r *Runner) await(ctx context.Context, c Call, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	for claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		if !r.cfg.Alive(claim.Owner) || time.Now().After(c.Deadline) {
			return r.settleFor(ctx, c, claim)
		}
		select {
		case <-ctx.Done():
		case <-time.After(poll):
		}
		now, err := r.look(ctx, c)
		if err != nil || now == nil {
			return nil, refuse.New(refuse.Pending, refuse.RanUnknown, "the ledger did not answer", "ask again with the same key")
		}
		claim = now
	}
	return claim, nil
}

func resultOf(claim *statepb.ClaimState) (Result, error) {
	switch claim.Outcome {
	case statepb.Outcome_OUTCOME_DONE:
		if claim.Oversized {
			return Result{}, refuse.New(refuse.TooLarge, refuse.RanYes, fmt.Sprintf("the call was done; its result is over %d bytes and was not kept", ledger.MaxResultBytes),
				"look the result up with the service itself")
		}
		return Result{Output: claim.Result, Upstream: claim.Target.GetAgent(), Attempts: int(claim.Target.GetAttempt())}, nil
	case statepb.Outcome_OUTCOME_NOT_RUN:
		return Result{}, refuse.New(refuse.UpstreamFailed, refuse.RanNo, "no upstream took the call", "send the call again")
	case statepb.Outcome_OUTCOME_UNKNOWN:
		return Result{}, refuse.New(refuse.Unknown, refuse.RanUnknown, "the upstream was lost while it had the call; whether it ran is not known and it is not run again",
			"look it up with the service itself; a new key is a new call")
	default:
		return Result{}, refuse.New(refuse.Pending, refuse.RanUnknown, "the outcome is not known yet", "ask again with the same key")
	}
}

// dispatch runs a claimed call and records how it ended.
func (r *Runner) dispatch(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (Result, error) {
	var tried []string
	var cost Result
	for {
		tried = append(tried, u.Name)
		end, output := r.send(ctx, c, claim, u)
		if end == nil {
			return r.lost(ctx, c, claim, cost)
		}
		cost.ServiceUs += end.ServiceUs
		cost.QueueUs += end.QueueUs
		cost.Attempts++
		cost.Upstream = u.Name
		outcome := outcomeOf(end)
		if behind := end.GetFailure().GetDocument(); behind > 0 && r.cfg.Await(ctx, behind) {
			tried = tried[:len(tried)-1]
		}
		if outcome == statepb.Outcome_OUTCOME_NOT_RUN {
			next, ok := r.pick(c, tried)
			if ok && int(claim.Target.Attempt) < maxTargets && time.Now().Before(c.Deadline) {
				bound, err := r.rebind(ctx, c, claim, next)
				if err != nil {
					return cost, err
				}
				claim, u = bound, next
				continue
			}
		}
		settled, err := r.record(ctx, c, claim, outcome, output)
		if err != nil {
			return cost, err
		}
		if settled.Oversized && outcome == statepb.Outcome_OUTCOME_DONE {
			cost.Output = output
			return cost, nil
		}
		result, err := resultOf(settled)
		result.ServiceUs, result.QueueUs, result.Attempts = cost.ServiceUs, cost.QueueUs, cost.Attempts
		return result, err
	}
}

func outcomeOf(end *fleetpb.CallEnd) statepb.Outcome {
	switch {
	case end.Failure == nil && end.Outcome == statepb.Outcome_OUTCOME_DONE:
		return statepb.Outcome_OUTCOME_DONE
	case end.Failure != nil && end.Failure.Ran == failure.RanNo:
		return statepb.Outcome_OUTCOME_NOT_RUN
	default:
		return statepb.Outcome_OUTCOME_UNKNOWN
	}
}

// send runs one attempt. A nil end means that the answer was lost.
func (r *Runner) send(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (*fleetpb.CallEnd, []byte) {
	need := route.Need{Group: c.Group, Size: c.Size}
	placed := r.cfg.Table.Begin(time.Now(), u, need)
	ended := route.Ended{Failed: true}
	defer func() { r.cfg.Table.End(time.Now(), placed, ended) }()
	st, err := r.cfg.Pool.Open(ctx, u.Link)
	if err != nil {
		return neverSent(err), nil
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	id := &fleetpb.CallId{Request: c.Request, Stage: c.Stage, Attempt: claim.Target.Attempt}
	r.note("dispatch", c, fmt.Sprintf("stage %d attempt %d to %s, once", c.Stage, id.Attempt, u.Name))
	if err := st.Send(callOf(c, claim, id)); err != nil {
		return nil, nil
	}
	var output []byte
	for {
		e, err := st.Recv()
		if err != nil {
			return nil, nil
		}
		if chunk := e.GetChunk(); chunk != nil && matches(chunk.Id, id) {
			output = append(output, chunk.Data...)
		}
		if end := e.GetCallEnd(); end != nil && matches(end.Id, id) {
			ended = route.Ended{ServiceUs: doneUs(end), QueueUs: end.QueueUs, Word: end.Word, Failed: end.Failure != nil}
			return end, output
		}
	}
}

// neverSent is the end of an attempt for which no stream could be opened. As
// only the owner of a claim sends its attempts, it can never start.
func neverSent(err error) *fleetpb.CallEnd {
	return &fleetpb.CallEnd{
		Outcome: statepb.Outcome_OUTCOME_NOT_RUN,
		Failure: failure.New(failure.Unreachable, failure.RanNo, err.Error(), "use another upstream"),
	}
}

func callOf(c Call, claim *statepb.ClaimState, id *fleetpb.CallId) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Call{Call: &fleetpb.Call{
		Id:          id,
		Kind:        c.Group.Kind,
		Model:       c.Group.Model,
		Input:       c.Input,
		BudgetMs:    time.Until(c.Deadline).Milliseconds(),
		Account:     c.Account,
		Once:        true,
		Key:         c.Key,
		Incarnation: claim.Target.Incarnation,
		ClaimIndex:  claim.Index,
		Digest:      c.Digest,
		Lane:        "short",
		Size:        uint32(c.Size),
		Policy:      c.Routing.Queue,
	}}}
}

func matches(a, b *fleetpb.CallId) bool {
	return a.GetRequest() == b.Request && a.GetStage() == b.Stage && a.GetAttempt() == b.Attempt
}

// doneUs returns the service time of a call that was done.
func doneUs(end *fleetpb.CallEnd) int64 {
	if end.Failure != nil {
		return 0
	}
	return end.ServiceUs
}

func (r *Runner) rebind(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (*statepb.ClaimState, error) {
	answer, err := r.propose(ctx, &statepb.Command{Body: &statepb.Command_Rebind{Rebind: &statepb.Rebind{
		Account:     c.Account,
		Key:         c.Key,
		FromAttempt: claim.Target.Attempt,
		Target:      targetOf(u),
	}}})
	if err != nil {
		return nil, refuse.New(refuse.Pending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	if answer.Kind != statepb.ResultKind_RESULT_KIND_OK && !boundHere(answer.Claim, claim, u) {
		if answer.Kind == statepb.ResultKind_RESULT_KIND_EXISTS {
			_, err := resultOf(answer.Claim)
			return nil, err
		}
		return nil, refusalOf(answer)
	}
	r.note("rebind", c, fmt.Sprintf("key %s to %s attempt %d", c.Key, u.Name, answer.Claim.Target.Attempt))
	return answer.Claim, nil
}

// boundHere reports whether a repeated rebind had already taken effect.
func boundHere(have, was *statepb.ClaimState, u route.Upstream) bool {
	return have.GetOutcome() == statepb.Outcome_OUTCOME_CLAIMED &&
		have.GetTarget().GetAttempt() == was.Target.Attempt+1 &&
		have.GetTarget().GetAgent() == u.Name &&
		have.GetTarget().GetIncarnation() == u.Incarnation
}

// lost settles a call whose answer was lost.
func (r *Runner) lost(ctx context.Context, c Call, claim *statepb.ClaimState, cost Result) (Result, error) {
	r.note("lost", c, fmt.Sprintf("attempt %d at %s", claim.Target.Attempt, claim.Target.Agent))
	settled, err := r.settleFor(ctx, c, claim)
	if err != nil {
		return cost, err
	}
	result, err := resultOf(settled)
	result.ServiceUs, result.QueueUs = cost.ServiceUs, cost.QueueUs
	return result, err
}

// settleFor settles a claim on behalf of a caller.
func (r *Runner) settleFor(ctx context.Context, c Call, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	settled, err := r.Settle(ctx, claim)
	if err != nil {
		return nil, refuse.New(refuse.Pending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	r.note("resolve", c, fmt.Sprintf("key %s: %s", c.Key, settled.Outcome))
	return settled, nil
}

func (r *Runner) record(ctx context.Context, c Call, claim *statepb.ClaimState, o statepb.Outcome, output []byte) (*statepb.ClaimState, error) {
	settled, err := r.resolve(ctx, claim, o, output)
	if err != nil {
		return nil, refuse.New(refuse.Pending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	r.note("record", c, fmt.Sprintf("key %s: %s", c.Key, settled.Outcome))
	return settled, nil
}
