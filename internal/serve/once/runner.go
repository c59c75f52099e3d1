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
// become available. It does not wait if all are in evacuated zones.
func (r *Runner) waitForUpstream(ctx context.Context, c Call) (route.Upstream, bool) {
	until := time.Now().Add(min(upstreamWait, time.Until(c.Deadline)))
	for {
		if u, ok := r.pick(c, nil); ok || time.Now().After(until) || r.cfg.Table.Evacuated(c.Pool) {
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
