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
	// resolveGrace is how long after the caller's deadline the outcome is still
	// sought before the caller is told to ask again.
	resolveGrace = 1500 * time.Millisecond
	// pollInterval is the time between checks for an outcome or an upstream.
	pollInterval = 50 * time.Millisecond
	// queryTimeout bounds one query to an agent.
	queryTimeout = time.Second
	// upstreamWait is how long a call waits for an upstream to appear.
	upstreamWait = 2 * time.Second
	// maxAttempts bounds the attempts of a call.
	maxAttempts = 6
)

// Ledger commits commands and serves quorum-confirmed reads. control.Client
// implements it; tests use fakes.
type Ledger interface {
	Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error)
	Read(ctx context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error)
}

// AgentStatus is the last known address and state of an agent.
type AgentStatus struct {
	// Link is the address of the agent's link listener.
	Link        string
	Incarnation uint64
	// Dead reports that membership has declared the process dead.
	Dead bool
}

// Config configures a Runner.
type Config struct {
	// Owner identifies this process and its incarnation in claims.
	Owner string
	Table *route.Table
	// Pool holds the connections to the agents.
	Pool   *link.Pool
	Ledger Ledger
	// FindAgent returns the last known status of an agent.
	FindAgent func(name string) (AgentStatus, bool)
	// AwaitDocument fetches the version of the configuration document that an
	// agent has and this process lacks, and waits briefly for it. It reports
	// whether it arrived.
	AwaitDocument func(ctx context.Context, index uint64) bool
	// OwnerAlive reports whether the process that owns a claim is still running.
	OwnerAlive func(owner string) bool
	Timeline   *timeline.Recorder
}

// Runner runs at-most-once calls and resolves their claims. It is safe for
// concurrent use.
type Runner struct{ cfg Config }

// NewRunner returns a Runner.
func NewRunner(cfg Config) *Runner { return &Runner{cfg: cfg} }

// Call is a call that must execute at most once.
type Call struct {
	Account string
	// Key is the idempotency key.
	Key string
	// Digest is a hash of the request's pipeline and input; a key that is sent
	// again with another digest is a conflict.
	Digest []byte
	// Pool identifies the upstreams that can run the call.
	Pool      route.Pool
	Input     []byte
	RequestID string
	// Stage is the index of the stage in its pipeline.
	Stage uint32
	// Size is the predicted size of the work.
	Size float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Routing  document.Routing
	// Zones are the availability zones that the insurer allows; empty allows
	// any.
	Zones []string
}

// Result is the output of a completed call and the cost of its attempts.
type Result struct {
	Output []byte
	// Replayed reports that an earlier request with the same key claimed the
	// call.
	Replayed  bool
	Upstream  string
	ServiceUs int64
	QueueUs   int64
	Attempts  int
}

func (r *Runner) addToTimeline(kind string, c Call, detail string) {
	r.cfg.Timeline.Add(kind, c.RequestID, detail)
}

// Run claims the call in the ledger, runs it on one upstream, records its
// outcome and returns it. The error is a *refuse.Error.
func (r *Runner) Run(ctx context.Context, c Call) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(resolveGrace))
	defer cancel()
	target, ok := r.waitForUpstream(ctx, c)
	if !ok {
		return r.noUpstream(ctx, c)
	}
	answer, err := r.proposeBinding(ctx, c, &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: c.Account,
		Key:     c.Key,
		Digest:  c.Digest,
		Service: c.Pool.Kind,
		Request: c.RequestID,
		Owner:   r.cfg.Owner,
		Target:  targetFor(target),
	}}})
	if err != nil {
		return Result{}, refuse.New(refuse.LedgerUnavailable, refuse.RanUnknown, err.Error(), "send the same key again; it runs at most once")
	}
	switch answer.Kind {
	case statepb.ResultKind_RESULT_KIND_OK:
		r.addToTimeline("claim", c, fmt.Sprintf("key %s for %s attempt %d at %d", c.Key, target.Name, answer.Claim.Target.Attempt, answer.Claim.Index))
		return r.dispatch(ctx, c, answer.Claim, target)
	case statepb.ResultKind_RESULT_KIND_EXISTS:
		return r.answerExistingClaim(ctx, c, answer.Claim)
	default:
		return Result{}, refusalFromLedger(answer)
	}
}

func targetFor(u route.Upstream) *statepb.Target {
	return &statepb.Target{Agent: u.Name, Incarnation: u.Incarnation, Zone: u.Zone}
}

// pick returns the best upstream for the call, leaving out those in exclude.
func (r *Runner) pick(c Call, exclude []string) (route.Upstream, bool) {
	info := route.PickInfo{Pool: c.Pool, Size: c.Size, Exclude: exclude, Zones: c.Zones}
	return r.cfg.Table.Pick(time.Now(), info, c.Routing)
}

// waitForUpstream picks an upstream, waiting up to upstreamWait for one to
// become available.
func (r *Runner) waitForUpstream(ctx context.Context, c Call) (route.Upstream, bool) {
	until := time.Now().Add(min(upstreamWait, time.Until(c.Deadline)))
	for {
		if u, ok := r.pick(c, nil); ok || time.Now().After(until) {
			return u, ok
		}
		select {
		case <-ctx.Done():
			return route.Upstream{}, false
		case <-time.After(pollInterval):
		}
	}
}

func (r *Runner) propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error) {
	return r.cfg.Ledger.Propose(ctx, cmd)
}

// proposeBinding proposes a command that binds a call to an upstream. It returns once
// this process has the document that the ledger checked the call against, or the
// caller stops waiting: agents refuse calls under an older document.
func (r *Runner) proposeBinding(ctx context.Context, c Call, cmd *statepb.Command) (*statepb.Result, error) {
	answer, err := r.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	for !r.cfg.AwaitDocument(ctx, answer.Document) {
		if ctx.Err() != nil || time.Now().After(c.Deadline) {
			r.addToTimeline("document", c, fmt.Sprintf("document %d of the claim did not arrive in time", answer.Document))
			break
		}
	}
	return answer, nil
}

// refusalFromLedger converts a refusal by the ledger into the caller's error.
func refusalFromLedger(a *statepb.Result) error {
	switch a.Kind {
	case statepb.ResultKind_RESULT_KIND_CONFLICT:
		return refuse.New(refuse.KeyConflict, refuse.RanNo, a.Detail, a.Remedy)
	case statepb.ResultKind_RESULT_KIND_EXPIRED:
		return refuse.New(refuse.KeyExpired, refuse.RanUnknown, a.Detail, a.Remedy)
	case statepb.ResultKind_RESULT_KIND_REFUSED:
		return refuse.New(refuse.InsurerCondition, refuse.RanNo, a.Detail, a.Remedy)
	default:
		return refuse.New(refuse.BadRequest, refuse.RanNo, a.Detail, a.Remedy)
	}
}

// answerExistingClaim answers a call whose key has already been claimed, by
// this request if its proposal was repeated, or by another one.
func (r *Runner) answerExistingClaim(ctx context.Context, c Call, claim *statepb.ClaimState) (Result, error) {
	own := claim.Owner == r.cfg.Owner && claim.Request == c.RequestID
	if own && claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		if u, ok := r.cfg.Table.Find(claim.Target.Agent); ok && u.Incarnation == claim.Target.Incarnation {
			return r.dispatch(ctx, c, claim, u)
		}
	}
	r.addToTimeline("wait", c, "key "+c.Key+" was claimed by request "+claim.Request)
	resolved, err := r.awaitOutcome(ctx, c, claim)
	if err != nil {
		return Result{}, err
	}
	result, err := resultFromClaim(resolved)
	result.Replayed = !own
	return result, err
}

// noUpstream answers a call that no upstream can take. An earlier request may
// have claimed the key, so the ledger is checked first.
func (r *Runner) noUpstream(ctx context.Context, c Call) (Result, error) {
	claim, err := r.readClaim(ctx, c)
	if err != nil {
		return Result{}, refuse.New(refuse.LedgerUnavailable, refuse.RanUnknown, err.Error(), "send the same key again; it runs at most once")
	}
	if claim != nil {
		return r.answerExistingClaim(ctx, c, claim)
	}
	keyMs, err := ledger.KeyTime(c.Key)
	if err != nil {
		return Result{}, refuse.New(refuse.BadRequest, refuse.RanNo, err.Error(), "send a key that carries its time")
	}
	// The ledger removes claims whose keys are past retention, so for an old key
	// a missing claim doesn't prove that the call never ran. Half the retention is
	// on the safe side.
	ran := refuse.RanNo
	if time.Since(time.UnixMilli(keyMs)) > ledger.Retention/2 {
		ran = refuse.RanUnknown
	}
	return Result{}, refuse.New(refuse.NoUpstream, ran, "no upstream is able to take the call", "try again when an upstream is there")
}

// readClaim returns the claim of the call's key, or nil if there is none.
func (r *Runner) readClaim(ctx context.Context, c Call) (*statepb.ClaimState, error) {
	reply, err := r.cfg.Ledger.Read(ctx, &fleetpb.Read{ClaimAccount: c.Account, ClaimKey: c.Key})
	if err != nil {
		return nil, err
	}
	return reply.GetClaim(), nil
}

// awaitOutcome waits for the owner of the claim to finish it. It resolves the
// claim itself once the owner is no longer alive or the deadline has passed.
func (r *Runner) awaitOutcome(ctx context.Context, c Call, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	for claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		if !r.cfg.OwnerAlive(claim.Owner) || time.Now().After(c.Deadline) {
			return r.resolveForCaller(ctx, c, claim)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
		current, err := r.readClaim(ctx, c)
		if err != nil || current == nil {
			return nil, refuse.New(refuse.OutcomePending, refuse.RanUnknown, "the ledger did not answer", "ask again with the same key")
		}
		claim = current
	}
	return claim, nil
}

// resultFromClaim converts the recorded outcome of a claim into the caller's
// result or error.
func resultFromClaim(claim *statepb.ClaimState) (Result, error) {
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
		return Result{}, refuse.New(refuse.OutcomeUnknown, refuse.RanUnknown, "the upstream was lost while it had the call; whether it ran is not known and it is not run again",
			"look it up with the service itself; a new key is a new call")
	default:
		return Result{}, refuse.New(refuse.OutcomePending, refuse.RanUnknown, "the outcome is not known yet", "ask again with the same key")
	}
}

// dispatch runs a claimed call and records its outcome. If an attempt did not
// run, dispatch rebinds the claim to another upstream and sends the call there.
func (r *Runner) dispatch(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (Result, error) {
	var tried []string
	var total Result
	for {
		tried = append(tried, u.Name)
		end, output := r.runAttempt(ctx, c, claim, u)
		if end == nil {
			return r.resolveLostReply(ctx, c, claim, total)
		}
		total.ServiceUs += end.ServiceUs
		total.QueueUs += end.QueueUs
		total.Attempts++
		total.Upstream = u.Name
		outcome := outcomeOf(end)
		// The agent refused under a newer document than this process had: the
		// same upstream may be picked again once that document has arrived.
		if docIndex := end.GetFailure().GetDocument(); docIndex > 0 && r.cfg.AwaitDocument(ctx, docIndex) {
			tried = tried[:len(tried)-1]
		}
		if outcome == statepb.Outcome_OUTCOME_NOT_RUN {
			next, ok := r.pick(c, tried)
			if ok && int(claim.Target.Attempt) < maxAttempts && time.Now().Before(c.Deadline) {
				bound, err := r.rebind(ctx, c, claim, next)
				if err != nil {
					return total, err
				}
				if bound.Outcome != statepb.Outcome_OUTCOME_CLAIMED {
					return resultFromClaim(bound)
				}
				claim, u = bound, next
				continue
			}
		}
		resolved, err := r.recordOutcome(ctx, c, claim, outcome, output)
		if err != nil {
			return total, err
		}
		if resolved.Oversized && outcome == statepb.Outcome_OUTCOME_DONE {
			total.Output = output
			return total, nil
		}
		result, err := resultFromClaim(resolved)
		result.ServiceUs, result.QueueUs, result.Attempts = total.ServiceUs, total.QueueUs, total.Attempts
		return result, err
	}
}

// outcomeOf returns the outcome to record for the end of an attempt.
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

// runAttempt runs one attempt. It returns a nil CallEnd if the reply was lost.
func (r *Runner) runAttempt(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (*fleetpb.CallEnd, []byte) {
	info := route.PickInfo{Pool: c.Pool, Size: c.Size}
	inflight := r.cfg.Table.Begin(time.Now(), u, info)
	done := route.DoneInfo{Failed: true}
	defer func() { r.cfg.Table.Done(time.Now(), inflight, done) }()
	st, err := r.cfg.Pool.OpenStream(ctx, u.Link)
	if err != nil {
		return unreachableEnd(err), nil
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	id := &fleetpb.CallId{Request: c.RequestID, Stage: c.Stage, Attempt: claim.Target.Attempt}
	r.addToTimeline("dispatch", c, fmt.Sprintf("stage %d attempt %d to %s, once", c.Stage, id.Attempt, u.Name))
	if err := st.Send(callEnvelope(c, claim, id)); err != nil {
		return nil, nil
	}
	var output []byte
	for {
		e, err := st.Recv()
		if err != nil {
			return nil, nil
		}
		if chunk := e.GetChunk(); chunk != nil && sameCall(chunk.Id, id) {
			output = append(output, chunk.Data...)
		}
		if end := e.GetCallEnd(); end != nil && sameCall(end.Id, id) {
			done = route.DoneInfo{ServiceUs: successServiceUs(end), QueueUs: end.QueueUs, Report: end.Word, Failed: end.Failure != nil}
			return end, output
		}
	}
}

// unreachableEnd is the end of an attempt for which no stream could be opened.
// Only the owner of a claim sends its attempts, so the attempt can never start
// and counts as not run.
func unreachableEnd(err error) *fleetpb.CallEnd {
	return &fleetpb.CallEnd{
		Outcome: statepb.Outcome_OUTCOME_NOT_RUN,
		Failure: failure.New(failure.Unreachable, failure.RanNo, err.Error(), "use another upstream"),
	}
}

func callEnvelope(c Call, claim *statepb.ClaimState, id *fleetpb.CallId) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Call{Call: &fleetpb.Call{
		Id:          id,
		Kind:        c.Pool.Kind,
		Model:       c.Pool.Model,
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

func sameCall(a, b *fleetpb.CallId) bool {
	return a.GetRequest() == b.Request && a.GetStage() == b.Stage && a.GetAttempt() == b.Attempt
}

// successServiceUs returns the service time of a call in microseconds, 0 if the
// call failed.
func successServiceUs(end *fleetpb.CallEnd) int64 {
	if end.Failure != nil {
		return 0
	}
	return end.ServiceUs
}

// rebind moves the claim to upstream u after the claimed attempt did not run. If the
// call has been done meanwhile, it returns the claim with that outcome.
func (r *Runner) rebind(ctx context.Context, c Call, claim *statepb.ClaimState, u route.Upstream) (*statepb.ClaimState, error) {
	answer, err := r.proposeBinding(ctx, c, &statepb.Command{Body: &statepb.Command_Rebind{Rebind: &statepb.Rebind{
		Account:     c.Account,
		Key:         c.Key,
		FromAttempt: claim.Target.Attempt,
		Target:      targetFor(u),
	}}})
	if err != nil {
		return nil, refuse.New(refuse.OutcomePending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	if answer.Kind != statepb.ResultKind_RESULT_KIND_OK && !rebindApplied(answer.Claim, claim, u) {
		return resolvedClaim(answer)
	}
	r.addToTimeline("rebind", c, fmt.Sprintf("key %s to %s attempt %d", c.Key, u.Name, answer.Claim.Target.Attempt))
	return answer.Claim, nil
}

// resolvedClaim returns the claim of a rebind that found it resolved already, or the
// caller's error if it is not.
func resolvedClaim(answer *statepb.Result) (*statepb.ClaimState, error) {
	if answer.Kind != statepb.ResultKind_RESULT_KIND_EXISTS {
		return nil, refusalFromLedger(answer)
	}
	if _, err := resultFromClaim(answer.Claim); err != nil {
		return nil, err
	}
	return answer.Claim, nil
}

// rebindApplied reports whether an earlier proposal of the same rebind has
// already taken effect.
func rebindApplied(current, previous *statepb.ClaimState, u route.Upstream) bool {
	return current.GetOutcome() == statepb.Outcome_OUTCOME_CLAIMED &&
		current.GetTarget().GetAttempt() == previous.Target.Attempt+1 &&
		current.GetTarget().GetAgent() == u.Name &&
		current.GetTarget().GetIncarnation() == u.Incarnation
}

// resolveLostReply finds the outcome of a call whose reply was lost.
func (r *Runner) resolveLostReply(ctx context.Context, c Call, claim *statepb.ClaimState, total Result) (Result, error) {
	r.addToTimeline("lost", c, fmt.Sprintf("attempt %d at %s", claim.Target.Attempt, claim.Target.Agent))
	resolved, err := r.resolveForCaller(ctx, c, claim)
	if err != nil {
		return total, err
	}
	result, err := resultFromClaim(resolved)
	result.ServiceUs, result.QueueUs = total.ServiceUs, total.QueueUs
	return result, err
}

// resolveForCaller resolves a claim; its error is the caller's *refuse.Error.
func (r *Runner) resolveForCaller(ctx context.Context, c Call, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	resolved, err := r.Resolve(ctx, claim)
	if err != nil {
		return nil, refuse.New(refuse.OutcomePending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	r.addToTimeline("resolve", c, fmt.Sprintf("key %s: %s", c.Key, resolved.Outcome))
	return resolved, nil
}

// recordOutcome records the outcome of an attempt that this runner ran; its
// error is the caller's *refuse.Error.
func (r *Runner) recordOutcome(ctx context.Context, c Call, claim *statepb.ClaimState, o statepb.Outcome, output []byte) (*statepb.ClaimState, error) {
	resolved, err := r.proposeOutcome(ctx, claim, o, output)
	if err != nil {
		return nil, refuse.New(refuse.OutcomePending, refuse.RanUnknown, err.Error(), "ask again with the same key")
	}
	r.addToTimeline("record", c, fmt.Sprintf("key %s: %s", c.Key, resolved.Outcome))
	return resolved, nil
}
