package once

import (
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// UnresolvedError reports a claim whose outcome could not be determined in time.
type UnresolvedError struct{ Cause error }

// Error returns the cause and advises to ask again.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("the outcome could not be settled in time (%v); ask again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// Resolve determines the outcome of an unresolved claim by querying the agent
// that it names, and records it in the ledger. The query blocks an attempt that
// has not started, which is then recorded as not run. If the agent has restarted
// or died since the claim, the outcome is unknown. The error is an
// *UnresolvedError.
func (r *Runner) Resolve(ctx context.Context, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	var last error
	for {
		outcome, result, err := r.queryAgent(ctx, claim)
		if err == nil && outcome != statepb.Outcome_OUTCOME_CLAIMED {
			return r.proposeOutcome(ctx, claim, outcome, result)
		}
		last = err
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return nil, &UnresolvedError{Cause: last}
		case <-time.After(pollInterval):
		}
	}
}

// queryAgent asks the claim's agent for the outcome of the attempt. It returns
// OUTCOME_CLAIMED while the attempt is still running.
func (r *Runner) queryAgent(ctx context.Context, claim *statepb.ClaimState) (statepb.Outcome, []byte, error) {
	t := claim.Target
	agent, known := r.cfg.FindAgent(t.Agent)
	if known && (agent.Incarnation > t.Incarnation || agent.Dead) {
		return statepb.Outcome_OUTCOME_UNKNOWN, nil, nil
	}
	if !known {
		return 0, nil, fmt.Errorf("agent %s is not known here", t.Agent)
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	e, err := r.cfg.Pool.RoundTrip(ctx, agent.Link, &fleetpb.Envelope{Body: &fleetpb.Envelope_Query{Query: &fleetpb.Query{
		Account:     claim.Account,
		Key:         claim.Key,
		Attempt:     t.Attempt,
		Incarnation: t.Incarnation,
		ClaimIndex:  claim.Index,
	}}})
	if err != nil {
		return 0, nil, err
	}
	return outcomeFromReply(e.GetQueryReply(), t.Incarnation)
}

// outcomeFromReply interprets an agent's reply about an attempt that was claimed
// for the given incarnation.
func outcomeFromReply(q *fleetpb.QueryReply, incarnation uint64) (statepb.Outcome, []byte, error) {
	switch {
	case q == nil:
		return 0, nil, fmt.Errorf("no answer about the attempt")
	case q.Incarnation != incarnation:
		return statepb.Outcome_OUTCOME_UNKNOWN, nil, nil
	case q.Barred:
		return statepb.Outcome_OUTCOME_NOT_RUN, nil, nil
	case q.Running:
		return statepb.Outcome_OUTCOME_CLAIMED, nil, nil
	default:
		return q.Outcome, q.Result, nil
	}
}

// proposeOutcome proposes an outcome to the ledger and returns the claim as the
// ledger has recorded it. The first recorded outcome of an attempt stands.
func (r *Runner) proposeOutcome(ctx context.Context, claim *statepb.ClaimState, o statepb.Outcome, result []byte) (*statepb.ClaimState, error) {
	answer, err := r.propose(ctx, &statepb.Command{Body: &statepb.Command_Resolve{Resolve: &statepb.Resolve{
		Account: claim.Account,
		Key:     claim.Key,
		Attempt: claim.Target.Attempt,
		Outcome: o,
		Result:  result,
	}}})
	if err != nil {
		return nil, &UnresolvedError{Cause: err}
	}
	if answer.Claim == nil {
		return nil, &UnresolvedError{Cause: fmt.Errorf("ledger answered %s: %s", answer.Kind, answer.Detail)}
	}
	if answer.Claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		return r.Resolve(ctx, answer.Claim)
	}
	return answer.Claim, nil
}
