package batcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/rendezvous"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// openTimeout bounds the opening of a stream to another owner.
const openTimeout = 700 * time.Millisecond

// RouterConfig builds a Router.
type RouterConfig struct {
	// Owner runs what this process owns.
	Owner *Owner
	Pool  *link.Pool
	// Self is this process's link address.
	Self string
	// Owners returns the link addresses of the entries that may own services,
	// this one too.
	Owners func() []string
	Log    *zap.Logger
}

// Router takes orders to the owners of their services. It is safe for
// concurrent use.
type Router struct {
	cfg    RouterConfig
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	remote map[string]*remote
	// avoid holds until when an owner that was lost is not asked.
	avoid map[string]time.Time
	// backlogs is what the owners last said of their queues.
	backlogs map[string]backlog
	wg       sync.WaitGroup
}

// backlog is an owner's word of its queue.
type backlog struct {
	waits batching.Backlog
	at    time.Time
}

// backlogLife is how long an owner's word counts, falling linearly.
const backlogLife = 2 * time.Second

// NewRouter returns a Router without streams.
func NewRouter(cfg RouterConfig) *Router {
	r := &Router{cfg: cfg, remote: make(map[string]*remote), avoid: make(map[string]time.Time), backlogs: make(map[string]backlog)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// ownerOf returns the address of a service's owner among addresses.
func ownerOf(service string, addresses []string, except map[string]bool) (string, bool) {
	var able []string
	for _, a := range addresses {
		if !except[a] {
			able = append(able, a)
		}
	}
	return rendezvous.Best(service, able, func(a string) string { return a })
}

// errOwnerLost says that an owner went away with an order.
var errOwnerLost = errors.New("the owner of the service was lost with the order")

// Do makes the pieces of an order at the owner of its service, or at the next
// one where that one is lost.
func (r *Router) Do(ctx context.Context, order Order) Result {
	result := r.do(ctx, order)
	switch result := result.(type) {
	case Made:
		r.heard(order.Service, result.Backlog)
	case Refused:
		r.heard(order.Service, result.Backlog)
	}
	return result
}

func (r *Router) heard(service string, waits batching.Backlog) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backlogs[service] = backlog{waits: waits, at: time.Now()}
}

// Wait returns how long a new order for a service is expected to wait: one of a
// rank that is on time, and one that goes behind all others.
func (r *Router) Wait(service string, rank site.Rank) (onTime, last time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.backlogs[service]
	left := max(0, 1-time.Since(b.at).Seconds()/backlogLife.Seconds())
	faded := func(wait time.Duration) time.Duration { return time.Duration(float64(wait) * left) }
	return faded(b.waits.For(rank)), faded(b.waits.Total)
}

func (r *Router) do(ctx context.Context, order Order) Result {
	began := time.Now()
	for {
		address, ok := r.owner(order.Service)
		if !ok || address == r.cfg.Self {
			return r.cfg.Owner.Do(ctx, order.WithPassed(time.Since(began)))
		}
		result, err := r.ask(ctx, address, order.WithPassed(time.Since(began)))
		if err == nil {
			return result
		}
		if ctx.Err() != nil {
			return Failed{Err: ctx.Err()}
		}
		r.cfg.Log.Warn("owner of pieces lost, asking the next",
			zap.String("request", order.Request), zap.String("service", order.Service), zap.String("owner", address), zap.Error(err))
		r.lose(address)
	}
}

// owner returns the owner of a service among those that were not lost lately.
func (r *Router) owner(service string) (string, bool) {
	now := time.Now()
	except := make(map[string]bool)
	r.mu.Lock()
	for address, until := range r.avoid {
		if now.After(until) {
			delete(r.avoid, address)
			continue
		}
		except[address] = true
	}
	r.mu.Unlock()
	return ownerOf(service, r.cfg.Owners(), except)
}

// lose remembers that an owner was lost.
func (r *Router) lose(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[address] = time.Now().Add(avoidFor)
}

// avoidFor is how long an owner that was lost is not asked.
const avoidFor = 3 * time.Second

// WithPassed returns the order after some of its time has passed.
func (o Order) WithPassed(d time.Duration) Order {
	o.Left -= d
	o.Objective -= d
	return o
}

func (r *Router) ask(ctx context.Context, address string, order Order) (Result, error) {
	m, err := r.to(address)
	if err != nil {
		return nil, err
	}
	return m.do(ctx, order)
}

// to returns the stream to an owner, opening it where there is none.
func (r *Router) to(address string) (*remote, error) {
	r.mu.Lock()
	m := r.remote[address]
	if m == nil {
		m = &remote{pending: make(map[uint64]waiting)}
		r.remote[address] = m
	}
	r.mu.Unlock()
	m.opening.Lock()
	defer m.opening.Unlock()
	if m.open() {
		return m, nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, openTimeout)
	defer cancel()
	st, err := r.cfg.Pool.OpenStream(ctx, address)
	if err != nil {
		return nil, err
	}
	lost := m.begin(st)
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		stop := context.AfterFunc(r.ctx, func() { st.Close() })
		defer stop()
		m.receive(st, lost)
	}()
	return m, nil
}

// Release gives results back through the owner of their service.
func (r *Router) Release(service string, handles []string) {
	if len(handles) == 0 {
		return
	}
	address, ok := r.owner(service)
	if !ok || address == r.cfg.Self {
		r.cfg.Owner.release(service, handles)
		return
	}
	m, err := r.to(address)
	if err == nil {
		err = m.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceRelease{PieceRelease: &fleetpb.PieceRelease{Service: service, Handles: handles}}})
	}
	if err != nil {
		r.cfg.Log.Debug("results given back from here, the owner is lost", zap.String("owner", address), zap.Error(err))
		r.cfg.Owner.release(service, handles)
	}
}

// Close ends all streams and waits.
func (r *Router) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// remote is one owner, with the stream to it where there is one.
type remote struct {
	// opening is held while the stream is opened.
	opening sync.Mutex
	mu      sync.Mutex
	stream  *link.Stream
	// lost is closed when the stream ends.
	lost    chan struct{}
	nextID  uint64
	pending map[uint64]waiting
}

// waiting is an order without a result yet.
type waiting struct {
	done       chan Result
	dispatched func()
}

func (m *remote) open() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stream != nil
}

// begin takes a new stream and returns what is closed when it ends.
func (m *remote) begin(st *link.Stream) chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stream, m.lost = st, make(chan struct{})
	return m.lost
}

// send sends over the present stream.
func (m *remote) send(e *fleetpb.Envelope) error {
	m.mu.Lock()
	st := m.stream
	m.mu.Unlock()
	if st == nil {
		return errOwnerLost
	}
	return st.Send(e)
}

func (m *remote) do(ctx context.Context, order Order) (Result, error) {
	done := make(chan Result, 1)
	m.mu.Lock()
	m.nextID++
	id, lost := m.nextID, m.lost
	m.pending[id] = waiting{done: done, dispatched: order.Dispatched}
	m.mu.Unlock()
	defer m.forget(id)
	if err := m.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceCall{PieceCall: order.message(id)}}); err != nil {
		return nil, err
	}
	select {
	case r := <-done:
		return r, nil
	case <-lost:
		return nil, errOwnerLost
	case <-ctx.Done():
		err := m.send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceCancel{PieceCancel: &fleetpb.PieceCancel{Id: id}}})
		return nil, errors.Join(ctx.Err(), err)
	}
}

func (m *remote) forget(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, id)
}

// receive takes results until the stream ends.
func (m *remote) receive(st *link.Stream, lost chan struct{}) {
	defer func() {
		m.mu.Lock()
		m.stream = nil
		m.mu.Unlock()
		close(lost)
		st.Close()
	}()
	for {
		e, err := st.Recv()
		if err != nil {
			return
		}
		result := e.GetPieceResult()
		m.mu.Lock()
		w := m.pending[result.GetId()]
		m.mu.Unlock()
		switch {
		case result.GetDispatched():
			if w.dispatched != nil {
				w.dispatched()
			}
		case w.done != nil:
			w.done <- resultOf(result)
		}
	}
}
