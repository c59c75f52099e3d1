package once

import (
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

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
