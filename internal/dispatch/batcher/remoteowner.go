package batcher

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// connectTimeout limits the time to open a stream to an owner in another process.
const connectTimeout = 700 * time.Millisecond

// errOwnerLost reports that the stream to an owner ended before a job did.
var errOwnerLost = errors.New("the stream to the owner of the service ended before the job")

// remoteOwner is an owner in another process, with the stream to it if one is open.
type remoteOwner struct {
	mu     sync.Mutex
	stream *link.Stream
	// opening is the attempt to open a stream, nil if there is none.
	opening *opening
	// lost is closed when the stream ends.
	lost    chan struct{}
	nextID  uint64
	pending map[uint64]pendingJob
	// onBacklog is called with each response to commitments.
	onBacklog func(*fleetpb.PieceBacklog)
	// release releases results that nobody waits for.
	release func(s shard, handles []string)
}

// opening is an attempt to open a stream. All jobs for the owner share it and its end.
type opening struct {
	// done is closed at the end. err is set before.
	done chan struct{}
	err  error
}

// pendingJob is a job whose result has not arrived.
type pendingJob struct {
	done         chan Result
	onDispatched func()
	shard        shard
	// abandoned is set once nobody waits for the result any more.
	abandoned bool
}

// connect returns the owner at an address once a stream to it is open, or an error when
// the attempt fails or ctx is done.
func (r *Router) connect(ctx context.Context, address string) (*remoteOwner, error) {
	o := r.remote(address)
	attempt, err := r.joinOpening(o, address)
	switch {
	case err != nil:
		return nil, err
	case attempt == nil:
		r.markFound(address)
		return o, nil
	}
	select {
	case <-attempt.done:
		return o, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// remote returns the record of the owner at an address.
func (r *Router) remote(address string) *remoteOwner {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.remotes[address]
	if o == nil {
		o = &remoteOwner{
			pending:   make(map[uint64]pendingJob),
			onBacklog: func(m *fleetpb.PieceBacklog) { r.applyBacklog(address, m) },
			release:   r.releaseShard,
		}
		r.remotes[address] = o
	}
	return o
}

// joinOpening returns the attempt to open a stream to an owner, which it starts if there is
// none. It returns nil if the stream is open, or with an error if the Router is closed.
func (r *Router) joinOpening(o *remoteOwner, address string) (*opening, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stream != nil {
		return nil, nil
	}
	if o.opening == nil {
		attempt := &opening{done: make(chan struct{})}
		if !r.start(func() { r.serveOwner(o, address, attempt) }) {
			return nil, r.ctx.Err()
		}
		o.opening = attempt
	}
	return o.opening, nil
}

// serveOwner opens a stream to an owner, ends the attempt and delivers results until the
// stream ends.
func (r *Router) serveOwner(o *remoteOwner, address string, attempt *opening) {
	ctx, cancel := context.WithTimeout(r.ctx, connectTimeout)
	defer cancel()
	st, err := r.cfg.Pool.OpenStream(ctx, address)
	if err == nil {
		r.markFound(address)
	}
	lost := o.endOpening(attempt, st, err)
	if err != nil {
		return
	}
	stop := context.AfterFunc(r.ctx, func() { st.Close() })
	defer stop()
	o.receive(st, lost)
}

// endOpening sets the new stream, if there is one, and wakes those who wait for it. It
// returns the channel that is closed when the stream ends.
func (o *remoteOwner) endOpening(attempt *opening, st *link.Stream, err error) chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stream, o.lost, o.opening = st, make(chan struct{}), nil
	attempt.err = err
	close(attempt.done)
	return o.lost
}

// send sends over the open stream.
func (o *remoteOwner) send(e *fleetpb.Envelope) error {
	o.mu.Lock()
	st := o.stream
	o.mu.Unlock()
	if st == nil {
		return errOwnerLost
	}
	return st.Send(e)
}

// run sends a job and waits for its result. It cancels the job if ctx is done
// first.
func (o *remoteOwner) run(ctx context.Context, job Job) (Result, error) {
	done := make(chan Result, 1)
	o.mu.Lock()
	o.nextID++
	id, lost := o.nextID, o.lost
	o.pending[id] = pendingJob{done: done, onDispatched: job.OnDispatched, shard: job.shard()}
	o.mu.Unlock()
	if err := o.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceCall{PieceCall: job.pieceCall(id)}}); err != nil {
		o.takePending(id)
		return nil, err
	}
	select {
	case r := <-done:
		return r, nil
	case <-lost:
		o.takePending(id)
		return nil, errOwnerLost
	case <-ctx.Done():
		if !o.abandon(id, lost) {
			return <-done, nil
		}
		err := o.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceCancel{PieceCancel: &fleetpb.PieceCancel{Id: id}}})
		return nil, errors.Join(ctx.Err(), err)
	}
}

// takePending removes a job and returns it, without a channel if it has been taken before.
func (o *remoteOwner) takePending(id uint64) pendingJob {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.pending[id]
	delete(o.pending, id)
	return w
}

// abandon keeps a job for which nobody waits any more until its result arrives or its
// stream ends, which lost shows: the results may exist already, and must be released. It
// reports false if the result has arrived.
func (o *remoteOwner) abandon(id uint64, lost chan struct{}) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, pending := o.pending[id]
	if !pending {
		return false
	}
	if w.abandoned = true; o.stream != nil && o.lost == lost {
		o.pending[id] = w
	} else {
		delete(o.pending, id)
	}
	return true
}

// receive delivers results until the stream ends.
func (o *remoteOwner) receive(st *link.Stream, lost chan struct{}) {
	defer func() {
		o.mu.Lock()
		o.stream = nil
		maps.DeleteFunc(o.pending, func(_ uint64, w pendingJob) bool { return w.abandoned })
		o.mu.Unlock()
		close(lost)
		st.Close()
	}()
	for {
		e, err := st.Recv()
		if err != nil {
			return
		}
		if backlog := e.GetPieceBacklog(); backlog != nil {
			o.onBacklog(backlog)
			continue
		}
		o.deliver(e.GetPieceResult())
	}
}

// deliver passes on the result of a job, or that its last piece was dispatched.
func (o *remoteOwner) deliver(m *fleetpb.PieceResult) {
	if m.GetDispatched() {
		o.mu.Lock()
		w := o.pending[m.GetId()]
		o.mu.Unlock()
		if w.onDispatched != nil && !w.abandoned {
			w.onDispatched()
		}
		return
	}
	w := o.takePending(m.GetId())
	switch {
	case w.abandoned:
		if completed, ok := resultOf(m).(Completed); ok {
			o.release(w.shard, completed.Handles)
		}
	case w.done != nil:
		w.done <- resultOf(m)
	}
}
