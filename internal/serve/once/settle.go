package once

import (
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// UnsettledError reports a claim whose outcome could not be found in time.
type UnsettledError struct{ Cause error }

// Error names the remedy.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("the outcome could not be settled in time (%v); ask again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// Settle finds and records the outcome of an unfinished claim by asking the
// agent that it names. An attempt that has not started is barred and recorded
// as not run; where the agent's incarnation is gone, the outcome is unknown.
// The error is an *UnsettledError.
func (r *Runner) Settle(ctx context.Context, claim *statepb.ClaimState) (*statepb.ClaimState, error) {
	var last error
	for {
		outcome, result, err := r.ask(ctx, claim)
		if err == nil && outcome != statepb.Outcome_OUTCOME_CLAIMED {
			return r.resolve(ctx, claim, outcome, result)
		}
		last = err
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			return nil, &UnsettledError{Cause: last}
		case <-time.After(poll):
		}
	}
}

// ask returns the outcome that the claim's agent knows of, CLAIMED where the
// attempt still runs.
func (r *Runner) ask(ctx context.Context, claim *statepb.ClaimState) (statepb.Outcome, []byte, error) {
	t := claim.Target
	place, known := r.cfg.Find(t.Agent)
	if known && (place.Incarnation > t.Incarnation || place.Dead) {
		return statepb.Outcome_OUTCOME_UNKNOWN, nil, nil
	}
	if !known {
		return 0, nil, fmt.Errorf("agent %s is not known here", t.Agent)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	e, err := r.cfg.Pool.Ask(ctx, place.Link, &fleetpb.Envelope{Body: &fleetpb.Envelope_Query{Query: &fleetpb.Query{
		Account:     claim.Account,
		Key:         claim.Key,
		Attempt:     t.Attempt,
		Incarnation: t.Incarnation,
		ClaimIndex:  claim.Index,
	}}})
	if err != nil {
		return 0, nil, err
	}
	return judge(e.GetQueryReply(), t.Incarnation)
}

func judge(q *fleetpb.QueryReply, incarnation uint64) (statepb.Outcome, []byte, error) {
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

// resolve records an outcome and returns what stands in the ledger.
func (r *Runner) resolve(ctx context.Context, claim *statepb.ClaimState, o statepb.Outcome, result []byte) (*statepb.ClaimState, error) {
	answer, err := r.propose(ctx, &statepb.Command{Body: &statepb.Command_Resolve{Resolve: &statepb.Resolve{
		Account: claim.Account,
		Key:     claim.Key,
		Attempt: claim.Target.Attempt,
		Outcome: o,
		Result:  result,
	}}})
	if err != nil {
		return nil, &UnsettledError{Cause: err}
	}
	if answer.Claim == nil {
		return nil, &UnsettledError{Cause: fmt.Errorf("ledger answered %s: %s", answer.Kind, answer.Detail)}
	}
	if answer.Claim.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
		return r.Settle(ctx, answer.Claim)
	}
	return answer.Claim, nil
}
