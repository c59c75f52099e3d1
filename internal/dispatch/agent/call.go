package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Serve runs one call whose first Envelope has been read from the stream.
func (a *Agent) Serve(st *link.Stream, first *fleetpb.Envelope) {
	call := first.GetCall()
	arrived := time.Now()
	if f := a.check(call, first.Document); f != nil {
		if call.GetOnce() {
			a.Ask(queryOf(call))
		}
		a.end(st, call, &fleetpb.CallEnd{Failure: f})
		return
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	go watch(st, call, cancel)
	id := a.nextID.Add(1)
	decide := make(chan decision, 1)
	a.tell(&submitMsg{call: call, id: id, decide: decide, now: arrived})
	d, ok := a.await(ctx, id, decide)
	if !ok {
		a.end(st, call, &fleetpb.CallEnd{Failure: failure.New(failure.Cancelled, failure.RanNo, "the call was withdrawn", "none")})
		return
	}
	if d.failure != nil {
		a.end(st, call, &fleetpb.CallEnd{Failure: d.failure})
		return
	}
	queued := time.Since(arrived)
	var held []*fleetpb.Envelope
	end := a.run(ctx, st, call, d, id, &held)
	end.QueueUs = queued.Microseconds()
	a.end(st, call, end, held...)
}

// check refuses a call that is malformed or was made under another document.
func (a *Agent) check(call *fleetpb.Call, document uint64) *fleetpb.Failure {
	if call.GetId() == nil || call.Once && call.Key == "" {
		return failure.New(failure.BadRequest, failure.RanNo, "call without identity", "bring the processes to one version")
	}
	held := a.cfg.Follower.Held()
	if document > held.Index {
		a.cfg.Follower.Await(a.ctx, document)
		held = a.cfg.Follower.Held()
	}
	if document != held.Index {
		f := failure.New(failure.StaleDocument, failure.RanNo, fmt.Sprintf("call under document %d, in force is %d", document, held.Index), "fetch the document and send the call again")
		f.Document = held.Index
		return f
	}
	return conditions(held, call)
}

// conditions refuses a call that may not begin now. It is asked when the call
// arrives and again when it leaves the queue, as the wait between may have been
// long, or the process frozen.
func conditions(held *control.Held, call *fleetpb.Call) *fleetpb.Failure {
	switch {
	case !held.Fresh(time.Now()):
		return failure.New(failure.DocumentLapsed, failure.RanNo, "the document is not confirmed", "wait until a quorum of control answers")
	case held.Schema.Insurer.Services[call.Kind].Stopped:
		return failure.New(failure.ServiceStopped, failure.RanNo, "the service is stopped by the insurer's conditions", "wait until it is released")
	default:
		return nil
	}
}

// watch cancels a repeatable call when its entry withdraws it or goes away.
func watch(st *link.Stream, call *fleetpb.Call, cancel context.CancelFunc) {
	_, _ = st.Recv()
	if !call.Once {
		cancel()
	}
}

// await returns the core's decision, or false where the call was withdrawn
// before it began.
func (a *Agent) await(ctx context.Context, id uint64, decide <-chan decision) (decision, bool) {
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

// run runs a call on the upstream. The chunks of a stream are passed on at
// once, those of a whole answer are put into held, to go out with its end.
func (a *Agent) run(ctx context.Context, st *link.Stream, call *fleetpb.Call, d decision, id uint64, held *[]*fleetpb.Envelope) *fleetpb.CallEnd {
	began := time.Now()
	a.cfg.Timeline.Add("run", call.Id.Request, fmt.Sprintf("stage %d attempt %d on %s", call.Id.Stage, call.Id.Attempt, call.Kind))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(a.cfg.Stall+a.allowance(call), func() { cancel(errStall) })
	defer stall.Stop()
	var kept []byte
	r := request(call)
	line, err := d.client.Run(ctx, r, func(l upstream.Line) error {
		stall.Reset(a.cfg.Stall + a.allowance(call))
		if call.Once {
			kept = append(kept, l.Data...)
		}
		if !call.Stream {
			*held = append(*held, chunkOf(call, l))
			return nil
		}
		return st.Send(chunkOf(call, l))
	})
	took := time.Since(began)
	end := &fleetpb.CallEnd{ServiceUs: took.Microseconds(), Chunks: line.Chunks, Tokens: line.Tokens, Outcome: statepb.Outcome_OUTCOME_DONE}
	if err != nil {
		a.failed(ctx, d, r, err, end)
	}
	if len(kept) > ledger.MaxResultBytes {
		kept = kept[:ledger.MaxResultBytes+1]
	}
	a.tell(&finishMsg{id: id, outcome: end.Outcome, result: kept, service: took, size: call.Size})
	return end
}

var errStall = errors.New("no progress from the upstream")

// allowance is the time that the call's first chunk may take by its own size.
func (a *Agent) allowance(call *fleetpb.Call) time.Duration {
	return time.Duration(call.BudgetMs) * time.Millisecond / 2
}

// failed fills the end of a call that the upstream did not finish.
func (a *Agent) failed(ctx context.Context, d decision, r upstream.Request, err error, end *fleetpb.CallEnd) {
	kind, ran, outcome := failure.UpstreamLost, failure.RanUnknown, statepb.Outcome_OUTCOME_UNKNOWN
	var run *upstream.RunError
	if errors.As(err, &run) && !run.Started {
		ran, outcome = failure.RanNo, statepb.Outcome_OUTCOME_NOT_RUN
	}
	if context.Cause(ctx) == errStall {
		kind = failure.UpstreamStalled
	}
	if ctx.Err() != nil {
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if e := d.client.Cancel(c, r.ID); e != nil {
			a.cfg.Log.Debug("cancel not delivered")
		}
	}
	end.Outcome = outcome
	end.Failure = failure.New(kind, ran, err.Error(), "see whether the upstream lives; a repeatable stage goes to another")
}

func chunkOf(call *fleetpb.Call, l upstream.Line) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Id: call.Id, Seq: l.Seq, Data: l.Data}}}
}

// end closes a call with the agent's word on its queue, behind the chunks that
// were held back.
func (a *Agent) end(st *link.Stream, call *fleetpb.Call, e *fleetpb.CallEnd, held ...*fleetpb.Envelope) {
	e.Id = call.GetId()
	e.Digest = call.GetDigest()
	e.Word = a.Word()
	if err := st.Send(append(held, &fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: e}})...); err != nil {
		a.cfg.Timeline.Add("end_lost", call.GetId().GetRequest(), err.Error())
	}
}

// queryOf asks for a call's own attempt, which bars it.
func queryOf(call *fleetpb.Call) *fleetpb.Query {
	return &fleetpb.Query{
		Account:     call.Account,
		Key:         call.Key,
		Attempt:     call.GetId().GetAttempt(),
		Incarnation: call.Incarnation,
		ClaimIndex:  call.ClaimIndex,
	}
}

func request(call *fleetpb.Call) upstream.Request {
	return upstream.Request{
		ID:      fmt.Sprintf("%s/%d/%d", call.Id.Request, call.Id.Stage, call.Id.Attempt),
		Kind:    call.Kind,
		Model:   call.Model,
		Input:   call.Input,
		Tokens:  call.Tokens,
		Account: call.Account,
		Key:     call.Key,
		First:   call.FirstChunk,
		Stream:  call.Stream,
		Prefix:  call.Prefix,
	}
}
