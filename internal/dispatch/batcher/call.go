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
	"hawthornhub.example/hawthornhub/internal/serve/batching"
)

const (
	// maxAnswerBytes bounds the answer to a call.
	maxAnswerBytes = 1 << 20
	// freeTimeout bounds a request that gives results back.
	freeTimeout = 2 * time.Second
)

// callError says how a call failed as a whole.
type callError struct {
	// unreachable is set where the request did not leave.
	unreachable bool
	// full is set where the upstream had no room for the call.
	full bool
	err  error
}

// Error tells what happened.
func (e *callError) Error() string { return e.err.Error() }

func (p *pool) call(u catalog.Upstream, batch []batching.Piece) {
	defer p.owner.wg.Done()
	began := time.Now()
	p.mu.Lock()
	expected := p.queue.Duration(len(batch))
	usual := max(1, p.state(u.ID).pace.factor(began))
	p.mu.Unlock()
	bound := time.Duration(patience*usual*float64(expected)) + patienceLeast
	ctx, cancel := context.WithTimeout(p.owner.ctx, bound)
	defer cancel()
	outputs, err := p.exchange(ctx, u, batch)
	took := time.Since(began)
	p.mu.Lock()
	if ctx.Err() != nil {
		p.state(u.ID).pace.exceeded(time.Now(), float64(took)/float64(expected))
	}
	released := p.finish(u, batch, outputs, err, float64(took)/float64(expected))
	p.mu.Unlock()
	p.owner.release(p.service, released)
}

// exchange sends a call and reads its answer whole.
func (p *pool) exchange(ctx context.Context, u catalog.Upstream, batch []batching.Piece) ([]Output, *callError) {
	t := p.target(u)
	request, err := p.owner.cfg.Wire.Run(t, p.items(batch))
	if err != nil {
		return nil, &callError{err: err}
	}
	switch o := p.owner.cfg.Send(ctx, t, request).(type) {
	case transport.NotSent:
		return nil, &callError{unreachable: true, err: o.Err}
	case transport.Unknown:
		return nil, &callError{err: o.Err}
	case transport.Rejected:
		return nil, &callError{full: true, err: fmt.Errorf("upstream %s rejected the call with status %d", u.ID, o.Status)}
	case *transport.Answered:
		return p.read(u.ID, o, len(batch))
	default:
		panic(fmt.Sprintf("batcher: unhandled outcome %T", o))
	}
}

func (p *pool) read(id string, o *transport.Answered, n int) ([]Output, *callError) {
	defer o.Close()
	body, err := io.ReadAll(io.LimitReader(o.Body, maxAnswerBytes))
	if err != nil {
		return nil, &callError{err: fmt.Errorf("read answer: %w", err)}
	}
	if o.Status != http.StatusOK {
		return nil, &callError{err: fmt.Errorf("the call was answered with status %d", o.Status)}
	}
	outputs, err := p.owner.cfg.Wire.Outputs(body)
	if err != nil {
		return nil, &callError{err: err}
	}
	if len(outputs) != n {
		o.Drop()
		return nil, &callError{err: fmt.Errorf("the answer has %d outputs for %d pieces", len(outputs), n)}
	}
	p.mu.Lock()
	fresh := p.state(id).seen.fresh(time.Now(), outputs)
	p.mu.Unlock()
	if !fresh {
		// The answer to this call is still to come on the connection.
		o.Drop()
		return nil, &callError{err: errSecondAnswer}
	}
	return outputs, nil
}

func (p *pool) target(u catalog.Upstream) transport.Target {
	return transport.Target{ID: u.ID, Address: u.Address}
}

func (p *pool) items(batch []batching.Piece) []Item {
	now := time.Now()
	out := make([]Item, len(batch))
	for i, piece := range batch {
		g := piece.Job
		out[i] = Item{Request: g.Request, Stage: g.Stage, Piece: piece.Index, Left: g.Deadline.Sub(now), Key: g.Key, Inputs: g.Inputs}
	}
	return out
}

// finish takes over the end of a call and returns the results that nobody
// waits for any more. The caller holds mu.
func (p *pool) finish(u catalog.Upstream, batch []batching.Piece, outputs []Output, failed *callError, pace float64) []string {
	now := time.Now()
	s := p.state(u.ID)
	s.busy--
	for i, piece := range batch {
		s.room.reserved -= piece.Job.ResultBytes
		if i < len(outputs) && outputs[i].Reason == None {
			s.room.hold(outputs[i].Handle, result{bytes: piece.Job.ResultBytes, until: now.Add(p.hold)})
		}
	}
	var unused []string
	if failed != nil {
		p.failed(now, u, s, batch, failed)
	} else {
		s.pace.took(now, pace)
		unused = p.outputs(now, s, batch, outputs)
	}
	p.pump(now)
	return unused
}

func (p *pool) failed(now time.Time, u catalog.Upstream, s *upstreamState, batch []batching.Piece, failed *callError) {
	p.owner.cfg.Log.Warn("call with pieces failed",
		zap.String("service", p.service), zap.String("upstream", u.ID), zap.Int("pieces", len(batch)),
		zap.String("request", batch[0].Job.Request), zap.Error(failed.err))
	s.restTil = now.Add(restAfterFailure)
	if failed.full {
		s.restTil = now.Add(restAfterFull)
	}
	counted := make(map[*batching.Job]bool)
	for _, piece := range batch {
		w := p.waiters[piece.Job]
		if w == nil {
			continue
		}
		if !failed.full && !failed.unreachable && !counted[piece.Job] {
			counted[piece.Job] = true
			w.tries++
		}
		p.again(piece, w, failed.err)
	}
}

// again puts a piece back, or fails its group after too many tries.
func (p *pool) again(piece batching.Piece, w *waiter, err error) {
	if w.tries >= maxTries {
		p.end(piece.Job, Failed{Err: err})
		return
	}
	p.queue.Requeue(piece)
}

func (p *pool) outputs(now time.Time, s *upstreamState, batch []batching.Piece, outputs []Output) []string {
	var unused []string
	for i, out := range outputs {
		piece := batch[i]
		w := p.waiters[piece.Job]
		switch {
		case w == nil && out.Reason == None:
			unused = append(unused, out.Handle)
		case w == nil:
		case out.Reason == None:
			if p.queue.Complete(piece, out.Handle) {
				p.end(piece.Job, Made{Handles: piece.Job.Handles(), Queued: w.last.Sub(w.began), Calls: piece.Job.Calls(), Backlog: p.queue.Backlog(now, p.capacity(now))})
			}
		default:
			unused = append(unused, p.unmade(now, s, piece, w, out.Reason)...)
		}
	}
	return unused
}

var (
	errLate   = errors.New("the pieces had no time left at their turn")
	errGone   = errors.New("an input of the pieces no longer exists")
	errNoRoom = errors.New("no upstream has memory for the results")
	errBroken = errors.New("the upstream failed the piece")
	// errSecondAnswer says that an answer had results of an earlier call.
	errSecondAnswer = errors.New("the answer is a second one to an earlier call")
)

// unmade decides what becomes of a piece that an upstream did not make.
func (p *pool) unmade(now time.Time, s *upstreamState, piece batching.Piece, w *waiter, reason Reason) []string {
	switch reason {
	case Late:
		p.end(piece.Job, Failed{Err: errLate})
		return piece.Job.Completed()
	case Gone:
		p.end(piece.Job, Failed{InputsGone: true, Err: errGone})
		return piece.Job.Completed()
	case NoRoom:
		s.restTil = now.Add(restAfterFull)
		s.room.short(now)
		p.again(piece, w, errNoRoom)
	default:
		w.tries++
		p.again(piece, w, errBroken)
	}
	return nil
}

// release gives results back to the upstreams that hold them.
func (o *Owner) release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	byAddress := make(map[string][]string)
	for _, h := range handles {
		at := o.cfg.Wire.Holder(h)
		byAddress[at] = append(byAddress[at], h)
	}
	for _, u := range o.cfg.Upstreams(service) {
		if held := byAddress[u.Address]; len(held) > 0 && o.ctx.Err() == nil {
			o.wg.Add(1)
			go func() {
				defer o.wg.Done()
				o.free(transport.Target{ID: u.ID, Address: u.Address}, held)
				o.freed(service, u.ID, held)
			}()
		}
	}
}

// freed notes that an upstream has memory again.
func (o *Owner) freed(service, id string, handles []string) {
	p, ok := o.pool(service)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(id).room.free(handles)
	p.pump(time.Now())
}

func (o *Owner) free(t transport.Target, handles []string) {
	ctx, cancel := context.WithTimeout(o.ctx, freeTimeout)
	defer cancel()
	request, err := o.cfg.Wire.Free(t, handles)
	if err != nil {
		o.cfg.Log.Error("encode give-back", zap.Error(err))
		return
	}
	answered, ok := o.cfg.Send(ctx, t, request).(*transport.Answered)
	if !ok {
		o.cfg.Log.Debug("results not given back, they expire", zap.String("upstream", t.ID), zap.Int("results", len(handles)))
		return
	}
	if _, err := io.Copy(io.Discard, answered.Body); err != nil {
		o.cfg.Log.Debug("answer to give-back cut", zap.Error(err))
	}
	answered.Close()
}
