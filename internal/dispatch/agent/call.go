package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Serve handles one call. first is the envelope with the call, already read from
// the stream.
func (a *Agent) Serve(st *link.Stream, first *fleetpb.Envelope) {
	call := first.GetCall()
	arrived := time.Now()
	if f := a.check(call, first.Document); f != nil {
		if call.GetOnce() {
			a.QueryAttempt(queryFor(call))
		}
		a.sendEnd(st, call, &fleetpb.CallEnd{Failure: f})
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	go cancelOnDisconnect(st, call, cancel)
	id := a.nextID.Add(1)
	decide := make(chan decision, 1)
	a.tell(&submitMsg{call: call, id: id, decide: decide, arrived: arrived})
	d, ok := a.awaitDecision(ctx, id, decide)
	if !ok {
		a.sendEnd(st, call, &fleetpb.CallEnd{Failure: failure.New(failure.Cancelled, failure.RanNo, "the call was withdrawn", "none")})
		return
	}
	if d.failure != nil {
		a.sendEnd(st, call, &fleetpb.CallEnd{Failure: d.failure})
		return
	}
	queued := time.Since(arrived)
	var buffered []*fleetpb.Envelope
	end := a.run(ctx, st, call, d, id, &buffered)
	end.QueueUs = queued.Microseconds()
	a.sendEnd(st, call, end, buffered...)
}

// check rejects a call that is malformed, was made under another version of the
// document, or must not start under the current one. index is the log index of
// the document under which the call was made.
func (a *Agent) check(call *fleetpb.Call, index uint64) *fleetpb.Failure {
	if call.GetId() == nil || call.Once && call.Key == "" {
		return failure.New(failure.BadRequest, failure.RanNo, "call without identity", "bring the processes to one version")
	}
	doc := a.cfg.Follower.Document()
	if index > doc.Index {
		a.cfg.Follower.AwaitDocument(a.ctx, index)
		doc = a.cfg.Follower.Document()
	}
	if index != doc.Index {
		f := failure.New(failure.StaleDocument, failure.RanNo, fmt.Sprintf("call under document %d, in force is %d", index, doc.Index), "fetch the document and send the call again")
		f.Document = doc.Index
		return f
	}
	f := a.checkDocument(doc, call)
	if f != nil && f.Kind == failure.Leaving {
		// An entry may have learnt before this process that the zone was restored.
		a.cfg.Follower.Refresh()
	}
	return f
}

// checkDocument rejects a call while the document is not confirmed or stops the
// call's service, or the agent's zone is evacuated. It runs when the call arrives and again when it leaves the
// queue, because in between the call may have waited for a long time or the
// process may have been frozen.
func (a *Agent) checkDocument(doc *control.LeasedDocument, call *fleetpb.Call) *fleetpb.Failure {
	switch {
	case !doc.Fresh(time.Now()):
		return failure.New(failure.DocumentLapsed, failure.RanNo, "the document is not confirmed", "wait until a quorum of control answers")
	case doc.Schema.Insurer.Services[call.Kind].Stopped:
		return failure.New(failure.ServiceStopped, failure.RanNo, "the service is stopped by the insurer's conditions", "wait until it is released")
	case slices.Contains(evacuation.Zones(doc.Evacuations), a.cfg.Zone):
		return failure.New(failure.Leaving, failure.RanNo, "the zone of the upstream is evacuated", "use an upstream in another zone")
	default:
		return nil
	}
}

// cancelOnDisconnect cancels a repeatable call when its entry sends anything
// more or closes the stream.
func cancelOnDisconnect(st *link.Stream, call *fleetpb.Call, cancel context.CancelFunc) {
	_, _ = st.Recv()
	if !call.Once {
		cancel()
	}
}

// awaitDecision returns the actor's decision, or false if the call was withdrawn
// before it started.
func (a *Agent) awaitDecision(ctx context.Context, id uint64, decide <-chan decision) (decision, bool) {
	select {
	case d := <-decide:
		return d, true
	case <-ctx.Done():
	}
	done := make(chan bool, 1)
	a.tell(&withdrawMsg{id: id, done: done})
	if <-done {
		return decision{}, false
	}
	return <-decide, true
}

// run runs a call on the upstream. The chunks of a streaming call are sent at
// once, those of other calls are added to buffered, to be sent with the end.
func (a *Agent) run(ctx context.Context, st *link.Stream, call *fleetpb.Call, d decision, id uint64, buffered *[]*fleetpb.Envelope) *fleetpb.CallEnd {
	started := time.Now()
	a.cfg.Timeline.Add("run", call.Id.Request, fmt.Sprintf("stage %d attempt %d on %s", call.Id.Stage, call.Id.Attempt, call.Kind))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(a.cfg.StallTimeout+a.stallAllowance(call), func() { cancel(errStalled) })
	defer stall.Stop()
	var result []byte
	r := upstreamRequest(call)
	line, err := d.client.Run(ctx, r, func(l upstream.Line) error {
		stall.Reset(a.cfg.StallTimeout + a.stallAllowance(call))
		if call.Once {
			result = append(result, l.Data...)
		}
		if !call.Stream {
			*buffered = append(*buffered, chunkEnvelope(call, l))
			return nil
		}
		return st.Send(chunkEnvelope(call, l))
	})
	serviceTime := time.Since(started)
	end := &fleetpb.CallEnd{ServiceUs: serviceTime.Microseconds(), Chunks: line.Chunks, Tokens: line.Tokens, Outcome: statepb.Outcome_OUTCOME_DONE}
	if err != nil {
		a.handleRunError(ctx, d, r, err, end)
	}
	// One byte over the limit shows that the result was too large to keep.
	if len(result) > ledger.MaxResultBytes {
		result = result[:ledger.MaxResultBytes+1]
	}
	a.tell(&finishMsg{id: id, outcome: end.Outcome, result: result, serviceTime: serviceTime, size: call.Size})
	return end
}

var errStalled = errors.New("no progress from the upstream")

// stallAllowance is the extra time before a call counts as stalled: half of its
// time budget, because the first chunk of a large call can take long.
func (a *Agent) stallAllowance(call *fleetpb.Call) time.Duration {
	return time.Duration(call.BudgetMs) * time.Millisecond / 2
}

// handleRunError sets the outcome and the failure of a call that the upstream
// did not finish. A call that ended by cancellation or a stall is canceled on
// the upstream as well.
func (a *Agent) handleRunError(ctx context.Context, d decision, r upstream.Request, err error, end *fleetpb.CallEnd) {
	kind, ran, outcome := failure.UpstreamLost, failure.RanUnknown, statepb.Outcome_OUTCOME_UNKNOWN
	var run *upstream.RunError
	if errors.As(err, &run) && !run.Started {
		ran, outcome = failure.RanNo, statepb.Outcome_OUTCOME_NOT_RUN
	}
	if context.Cause(ctx) == errStalled {
		kind = failure.UpstreamStalled
	}
	if ctx.Err() != nil {
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if e := d.client.Cancel(c, r.ID); e != nil {
			a.cfg.Log.Debug("cancel request to the upstream failed")
		}
	}
	end.Outcome = outcome
	end.Failure = failure.New(kind, ran, err.Error(), "see whether the upstream lives; a repeatable stage goes to another")
}

func chunkEnvelope(call *fleetpb.Call, l upstream.Line) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Id: call.Id, Seq: l.Seq, Data: l.Data}}}
}

// sendEnd sends the buffered chunks and then the end of a call with the current
// queue report.
func (a *Agent) sendEnd(st *link.Stream, call *fleetpb.Call, e *fleetpb.CallEnd, buffered ...*fleetpb.Envelope) {
	e.Id = call.GetId()
	e.Digest = call.GetDigest()
	e.Word = a.QueueReport()
	if err := st.Send(append(buffered, &fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: e}})...); err != nil {
		a.cfg.Timeline.Add("end_lost", call.GetId().GetRequest(), err.Error())
	}
}

// queryFor returns the query for a call's own attempt, which bars the attempt.
func queryFor(call *fleetpb.Call) *fleetpb.Query {
	return &fleetpb.Query{
		Account:     call.Account,
		Key:         call.Key,
		Attempt:     call.GetId().GetAttempt(),
		Incarnation: call.Incarnation,
		ClaimIndex:  call.ClaimIndex,
	}
}

func upstreamRequest(call *fleetpb.Call) upstream.Request {
	return upstream.Request{
		ID:         fmt.Sprintf("%s/%d/%d", call.Id.Request, call.Id.Stage, call.Id.Attempt),
		Kind:       call.Kind,
		Model:      call.Model,
		Input:      call.Input,
		Tokens:     call.Tokens,
		Account:    call.Account,
		Key:        call.Key,
		FirstChunk: call.FirstChunk,
		Stream:     call.Stream,
		Prefix:     call.Prefix,
	}
}
