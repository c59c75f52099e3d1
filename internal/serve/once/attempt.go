package once

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

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

// runAttempt runs one attempt. It returns a nil CallEnd if the reply was lost, or is not whole.
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
	for chunks := uint32(0); ; {
		e, err := st.Recv()
		if err != nil {
			return nil, nil
		}
		if chunk := e.GetChunk(); chunk != nil && sameCall(chunk.Id, id) {
			if chunk.Seq != chunks {
				return nil, nil
			}
			chunks++
			output = append(output, chunk.Data...)
		}
		if end := e.GetCallEnd(); end != nil && sameCall(end.Id, id) {
			if end.Failure == nil && (end.Chunks != chunks || !bytes.Equal(end.Digest, c.Digest)) {
				return nil, nil
			}
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
