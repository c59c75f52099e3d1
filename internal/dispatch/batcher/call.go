package batcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
)

const (
	// maxAnswerBytes limits the body of an answer to a call.
	maxAnswerBytes = 1 << 20
	// releaseTimeout limits the duration of a request that releases results.
	releaseTimeout = 2 * time.Second
)

// callError is the failure of a whole call.
type callError struct {
	// unreachable is set if the request was not sent.
	unreachable bool
	// noCapacity is set if the upstream rejected the call for lack of capacity, or wants
	// no calls for a while.
	noCapacity bool
	err        error
}

func (e *callError) Error() string { return e.err.Error() }

// call runs a batch at an upstream and handles its outputs. The timeout follows
// from the size of the batch and the upstream's recent slowness.
func (d *dispatcher) call(u catalog.Upstream, batch []batching.Piece) {
	defer d.owner.wg.Done()
	start := time.Now()
	d.mu.Lock()
	expected := d.queue.Duration(len(batch))
	factor := max(1, d.factor(start, u.ID))
	d.mu.Unlock()
	timeout := time.Duration(callTimeoutFactor*factor*float64(expected)) + callTimeoutMargin
	ctx, cancel := context.WithTimeout(d.owner.ctx, timeout)
	defer cancel()
	outputs, err := d.roundTrip(ctx, u, batch)
	took := time.Since(start)
	d.mu.Lock()
	if ctx.Err() != nil {
		d.observeTimeout(time.Now(), u.ID, len(batch), took, expected)
	}
	if err == nil {
		d.observeCall(time.Now(), u.ID, outputs, took, expected)
	}
	released := d.finishCall(u, batch, outputs, err)
	d.mu.Unlock()
	d.owner.release(d.shard, released)
}

// roundTrip sends a batch and reads the whole answer.
func (d *dispatcher) roundTrip(ctx context.Context, u catalog.Upstream, batch []batching.Piece) ([]Output, *callError) {
	t := d.target(u)
	request, err := d.owner.cfg.Codec.EncodeCall(t, d.items(batch))
	if err != nil {
		return nil, &callError{err: err}
	}
	request.Marked = true
	switch o := d.owner.cfg.Send(ctx, t, request).(type) {
	case transport.NotSent:
		var closed *backoff.ClosedError
		return nil, &callError{unreachable: true, noCapacity: errors.As(o.Err, &closed), err: o.Err}
	case transport.Unknown:
		return nil, &callError{err: o.Err}
	case transport.Rejected:
		return nil, &callError{noCapacity: true, err: fmt.Errorf("upstream %s rejected the call with status %d", u.ID, o.Status)}
	case *transport.Answered:
		return d.readOutputs(u.ID, o, len(batch))
	default:
		panic(fmt.Sprintf("batcher: unhandled outcome %T", o))
	}
}

// readOutputs reads an answer, which must have n outputs and no result of an
// earlier call. Its results are the marks that tell it from other answers: without any, its
// connection is given up.
func (d *dispatcher) readOutputs(id string, o *transport.Answered, n int) ([]Output, *callError) {
	defer o.Close()
	body, err := io.ReadAll(io.LimitReader(o.Body, maxAnswerBytes))
	if err != nil {
		return nil, &callError{err: fmt.Errorf("read answer: %w", err)}
	}
	if o.Status != http.StatusOK {
		return nil, &callError{noCapacity: o.Reply.Signal.RetryAfter > 0, err: fmt.Errorf("the call was answered with status %d", o.Status)}
	}
	outputs, err := d.owner.cfg.Codec.DecodeOutputs(body)
	if err != nil {
		return nil, &callError{err: err}
	}
	if len(outputs) != n {
		return nil, &callError{err: fmt.Errorf("the answer has %d outputs for %d pieces", len(outputs), n)}
	}
	d.mu.Lock()
	isNew := d.upstream(id).handles.addNew(time.Now(), outputs)
	d.mu.Unlock()
	if !isNew || !o.Identify(resultsOf(outputs)) {
		// The answer to this call may still arrive on the connection, which
		// therefore cannot be reused.
		o.Discard()
		return nil, &callError{err: errDuplicateAnswer}
	}
	return outputs, nil
}

func (d *dispatcher) target(u catalog.Upstream) transport.Target {
	return transport.Target{ID: u.ID, Address: u.Address, StartTimeMs: u.StartTimeMs}
}

func (d *dispatcher) items(batch []batching.Piece) []Item {
	now := time.Now()
	out := make([]Item, len(batch))
	for i, piece := range batch {
		j := piece.Job
		out[i] = Item{RequestID: j.RequestID, Stage: j.Stage, PieceIndex: piece.Index, Timeout: j.Deadline.Sub(now), Key: j.Key, Inputs: j.Inputs}
	}
	return out
}

// finishCall records the end of a call, dispatches the next ones and returns the
// results that no job waits for any more. The caller holds mu.
func (d *dispatcher) finishCall(u catalog.Upstream, batch []batching.Piece, outputs []Output, failed *callError) []string {
	now := time.Now()
	s := d.upstream(u.ID)
	s.inFlight--
	defer d.announceFetched(s, batch)()
	s.idle = failed == nil
	for i, piece := range batch {
		s.memory.reserved -= piece.Job.ResultBytes
		if i < len(outputs) && outputs[i].Reason == ReasonNone {
			s.memory.add(outputs[i].Handle, heldResult{bytes: piece.Job.ResultBytes, expires: now.Add(d.resultTTL)})
		}
	}
	var unneeded []string
	if failed != nil {
		d.recordFailure(now, u, s, batch, failed)
	} else {
		unneeded = d.recordOutputs(now, s, batch, outputs)
	}
	d.pause(now, u.ID, s, outputs)
	d.dispatch(now)
	return unneeded
}

// recordFailure backs off from the upstream of a failed call and retries the pieces.
// Only calls that may have run count as failures of their jobs.
func (d *dispatcher) recordFailure(now time.Time, u catalog.Upstream, s *upstreamState, batch []batching.Piece, failed *callError) {
	switch {
	case deferred(failed.err):
		d.owner.cfg.Log.Debug("call with pieces deferred", zap.String("service", d.shard.key()), zap.String("upstream", u.ID), zap.Error(failed.err))
	default:
		d.owner.cfg.Log.Warn("call with pieces failed",
			zap.String("service", d.shard.key()), zap.String("upstream", u.ID), zap.Int("pieces", len(batch)),
			zap.String("request", batch[0].Job.RequestID), zap.Error(failed.err))
		s.backoffUntil = now.Add(failureBackoff)
	}
	if failed.noCapacity {
		s.backoffUntil = now.Add(capacityBackoff)
	}
	counted := make(map[*batching.Job]bool)
	for _, piece := range batch {
		w := d.waiters[piece.Job]
		if w == nil {
			continue
		}
		if !failed.noCapacity && !failed.unreachable && !counted[piece.Job] {
			counted[piece.Job] = true
			w.failures++
		}
		d.retry(piece, w, failed.err)
	}
}

// retry returns a piece to the queue, or fails its job after maxFailures.
func (d *dispatcher) retry(piece batching.Piece, w *waiter, err error) {
	if w.failures >= maxFailures {
		d.complete(piece.Job, Failed{Err: err})
		return
	}
	d.queue.Requeue(time.Now(), piece)
}

// recordOutputs records the outputs of a call and returns the results that no job
// waits for any more.
func (d *dispatcher) recordOutputs(now time.Time, s *upstreamState, batch []batching.Piece, outputs []Output) []string {
	var unneeded []string
	for i, out := range outputs {
		piece := batch[i]
		w := d.waiters[piece.Job]
		switch {
		case w == nil && out.Reason == ReasonNone:
			unneeded = append(unneeded, out.Handle)
		case w == nil:
		case out.Reason == ReasonNone:
			if w.firstResult.IsZero() {
				w.firstResult = now
			}
			if d.queue.Complete(piece, out.Handle) {
				d.complete(piece.Job, Completed{
					Handles: piece.Job.Handles(),
					Queued:  w.lastDispatch.Sub(w.enqueued),
					Calls:   piece.Job.Calls(),
					Oldest:  now.Sub(w.firstResult),
					Backlog: d.queue.Backlog(now, d.capacity(now)),
				})
			}
		default:
			unneeded = append(unneeded, d.handleReason(now, s, piece, w, out.Reason)...)
		}
	}
	return unneeded
}

var (
	errDeadlineExceeded = errors.New("the pieces had no time left at their turn")
	errInputsGone       = errors.New("an input of the pieces no longer exists")
	errNoMemory         = errors.New("no upstream has memory for the results")
	errPieceFailed      = errors.New("the upstream failed the piece")
	// errDuplicateAnswer reports an answer with results of an earlier call, or one twice.
	errDuplicateAnswer = errors.New("the answer holds a result of an earlier call, or one twice")
)

// handleReason retries a piece that the upstream did not run, or fails its job.
// It returns the job's results if they are no longer needed.
func (d *dispatcher) handleReason(now time.Time, s *upstreamState, piece batching.Piece, w *waiter, reason Reason) []string {
	switch reason {
	case ReasonDeadlineExceeded:
		d.complete(piece.Job, Failed{Err: errDeadlineExceeded})
		return piece.Job.Completed()
	case ReasonInputsGone:
		d.complete(piece.Job, Failed{InputsGone: true, Err: errInputsGone})
		return piece.Job.Completed()
	case ReasonNoMemory:
		s.backoffUntil = now.Add(capacityBackoff)
		s.memory.recordShortage(now, d.resultMemoryBytes, d.resultTTL)
		d.retry(piece, w, errNoMemory)
	default:
		w.failures++
		d.retry(piece, w, errPieceFailed)
	}
	return nil
}

// byHolder sorts results by the upstream that holds them. It leaves out those of upstreams
// that take no releases.
func (o *Owner) byHolder(s shard, handles []string) map[catalog.Upstream][]string {
	upstreams := make(map[string]catalog.Upstream)
	for _, u := range o.cfg.Upstreams(s.service) {
		upstreams[u.Address] = u
	}
	out := make(map[catalog.Upstream][]string)
	for _, h := range handles {
		address := o.cfg.Codec.HolderAddress(h)
		u, ok := upstreams[address]
		if !ok && o.cfg.Holder != nil {
			u, ok = o.cfg.Holder(address)
		}
		if ok {
			out[u] = append(out[u], h)
		}
	}
	return out
}

// recordRelease accounts for the memory that an upstream has regained, and dispatches
// pieces that waited for it.
func (o *Owner) recordRelease(s shard, id string, handles []string) {
	d, ok := o.dispatcher(s)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstream(id).memory.remove(handles)
	d.dispatch(time.Now())
}

// sendRelease asks an upstream to release results. It makes one attempt: results that
// are not released expire.
func (o *Owner) sendRelease(u catalog.Upstream, handles []string) {
	t := transport.Target{ID: u.ID, Address: u.Address, StartTimeMs: u.StartTimeMs}
	ctx, cancel := context.WithTimeout(o.ctx, releaseTimeout)
	defer cancel()
	request, err := o.cfg.Codec.EncodeRelease(t, handles)
	if err != nil {
		o.cfg.Log.Error("cannot encode release of results", zap.Error(err))
		return
	}
	request.Cleanup = true
	answered, ok := o.cfg.Send(ctx, t, request).(*transport.Answered)
	if !ok {
		o.cfg.Log.Debug("results not released; they will expire", zap.String("upstream", t.ID), zap.Int("results", len(handles)))
		return
	}
	if _, err := io.Copy(io.Discard, answered.Body); err != nil {
		o.cfg.Log.Debug("answer to release of results incomplete", zap.Error(err))
	}
	answered.Close()
}
