package batcher

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// maxTries is the number of calls in which a piece may fail.
	maxTries = 3
	// restAfterFailure is how long an upstream that failed is not called.
	restAfterFailure = time.Second
	// restAfterFull is how long an upstream that had no room is not called.
	restAfterFull = 60 * time.Millisecond
	// patience is the multiple of its expected time after which a call is given
	// up, and patienceLeast is added to it.
	patience      = 3
	patienceLeast = 600 * time.Millisecond
)

// Config builds an Owner.
type Config struct {
	// Send sends a request to an upstream.
	Send func(ctx context.Context, t transport.Target, r transport.Request) transport.Outcome
	Wire Wire
	// Upstreams returns those of a service that may be called.
	Upstreams func(service string) []catalog.Upstream
	// Service returns the description of a service.
	Service func(name string) (*site.Service, bool)
	Log     *zap.Logger
}

// Owner runs the pieces of the services that this process owns. It is safe for
// concurrent use.
type Owner struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	pools  map[string]*pool
	wg     sync.WaitGroup
}

// pool is the queue and the upstreams of one service.
type pool struct {
	owner   *Owner
	service string
	mu      sync.Mutex
	queue   *batching.Queue
	waiters map[*batching.Job]*waiter
	states  map[string]*upstreamState
	timer   *time.Timer
	// roomBytes is the memory for results of each upstream.
	roomBytes int64
	// hold is how long a result is kept that is not given back.
	hold time.Duration
}

type waiter struct {
	done  chan Result
	tries int
	began time.Time
	last  time.Time
	// dispatched is told once, when the last piece is handed out; nil for
	// nobody.
	dispatched func()
}

type upstreamState struct {
	busy    int
	room    room
	restTil time.Time
	pace    pace
	// seen are the results of late calls.
	seen recent
}

// NewOwner returns an Owner without work.
func NewOwner(cfg Config) *Owner {
	o := &Owner{cfg: cfg, pools: make(map[string]*pool)}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

func (o *Owner) pool(service string) (*pool, bool) {
	described, ok := o.cfg.Service(service)
	if !ok || described.Pieces == nil {
		return nil, false
	}
	cfg := batching.ConfigOf(described.Pieces)
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[service]
	if p == nil {
		p = &pool{
			owner:   o,
			service: service,
			queue:   batching.NewQueue(cfg),
			waiters: make(map[*batching.Job]*waiter),
			states:  make(map[string]*upstreamState),
		}
		o.pools[service] = p
	}
	p.mu.Lock()
	p.queue.Configure(cfg)
	p.roomBytes = described.Pieces.RoomBytes
	p.hold = described.Pieces.Hold
	p.mu.Unlock()
	return p, true
}

// Do makes the pieces of an order. It returns at the latest when ctx ends.
func (o *Owner) Do(ctx context.Context, order Order) Result {
	p, ok := o.pool(order.Service)
	if !ok {
		return Failed{Err: &UnknownServiceError{Service: order.Service}}
	}
	now := time.Now()
	g := batching.NewJob(batching.Job{
		Request:   order.Request,
		Service:   order.Service,
		Stage:     order.Stage,
		Key:       order.Key,
		Inputs:    order.Inputs,
		Arrived:   now,
		Deadline:  now.Add(order.Left),
		Objective: now.Add(order.Objective),
		Remaining: order.Rest,
		Rank:      order.Rank,
		Zone:      order.Zone,

		ResultBytes: order.ResultBytes,
		InputBytes:  order.InputBytes,
	}, order.Pieces)
	w, refused := p.push(now, g, order.Dispatched)
	if refused != nil {
		return *refused
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
		o.release(order.Service, p.withdraw(g))
		return Failed{Err: ctx.Err()}
	}
}

// UnknownServiceError reports an order for a service that does not work on
// pieces.
type UnknownServiceError struct{ Service string }

// Error names the remedy.
func (e *UnknownServiceError) Error() string {
	return "service " + e.Service + " does not work on pieces here; wait for the configuration that says so"
}

func (p *pool) push(now time.Time, g *batching.Job, dispatched func()) (*waiter, *Refused) {
	p.mu.Lock()
	defer p.mu.Unlock()
	capacity := p.capacity(now)
	if retry, ok := p.queue.Admit(now, g, capacity); !ok {
		p.owner.cfg.Log.Info("pieces refused",
			zap.String("request", g.Request), zap.String("service", p.service), zap.Int("stage", g.Stage),
			zap.Int("waiting", p.queue.Waiting()), zap.Float64("upstreams", math.Round(10*capacity)/10), zap.Duration("retry", retry))
		return nil, &Refused{Retry: retry, Backlog: p.queue.Backlog(now, capacity)}
	}
	w := &waiter{done: make(chan Result, 1), began: now, last: now, dispatched: dispatched}
	p.waiters[g] = w
	p.queue.Push(g)
	p.pump(now)
	return w, nil
}

// withdraw drops a group and returns the results that exist.
func (p *pool) withdraw(g *batching.Job) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Remove(g)
	delete(p.waiters, g)
	return g.Completed()
}

// usable returns the upstreams to call, those that were heard of lately where
// there are any.
func (p *pool) usable(now time.Time) []catalog.Upstream {
	all := p.owner.cfg.Upstreams(p.service)
	var out []catalog.Upstream
	for _, u := range all {
		if !u.Silent(now) && !now.Before(p.state(u.ID).restTil) {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// fastest returns the pace of the fastest upstream. Where all are slow, none is
// to be spared.
func (p *pool) fastest(now time.Time, upstreams []catalog.Upstream) float64 {
	fastest := math.Inf(1)
	for _, u := range upstreams {
		fastest = min(fastest, p.state(u.ID).pace.factor(now))
	}
	return fastest
}

// capacity returns the work of the usable upstreams in upstreams of the usual
// pace.
func (p *pool) capacity(now time.Time) float64 {
	sum := 0.0
	for _, u := range p.usable(now) {
		sum += 1 / p.state(u.ID).pace.factor(now)
	}
	return sum
}

func (p *pool) state(id string) *upstreamState {
	s := p.states[id]
	if s == nil {
		s = &upstreamState{}
		p.states[id] = s
	}
	return s
}

// pump hands out pieces to the upstreams that are idle, the fastest first. The
// caller holds mu.
func (p *pool) pump(now time.Time) {
	if p.queue.Waiting() == 0 || p.owner.ctx.Err() != nil {
		return
	}
	var idle []catalog.Upstream
	usable := p.usable(now)
	usual := p.fastest(now, usable)
	for _, u := range usable {
		if s := p.state(u.ID); s.busy == 0 && !now.Before(s.restTil) {
			idle = append(idle, u)
		}
	}
	rand.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	slices.SortStableFunc(idle, func(a, b catalog.Upstream) int {
		return int(8*p.state(a.ID).pace.factor(now)) - int(8*p.state(b.ID).pace.factor(now))
	})
	for i, u := range idle {
		s := p.state(u.ID)
		batch := p.queue.NextBatch(now, batching.Upstream{
			Idle:      len(idle) - i,
			FreeBytes: s.room.left(now, p.roomBytes),
			Zone:      u.Zone,
			Slowness:  s.pace.factor(now) / usual,
		})
		if len(batch) == 0 {
			continue
		}
		p.start(now, u, batch)
	}
	if p.queue.Waiting() > 0 {
		p.later()
	}
}

// later pumps again once an upstream may have rested.
func (p *pool) later() {
	if p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(restAfterFull, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.timer = nil
		now := time.Now()
		p.refuseHopeless(now)
		p.pump(now)
	})
}

// refuseHopeless refuses what others have overtaken for too long, at once and
// not when its time is over.
func (p *pool) refuseHopeless(now time.Time) {
	capacity := p.capacity(now)
	hopeless := p.queue.RemoveInfeasible(now, capacity)
	backlog := p.queue.Backlog(now, capacity)
	for _, g := range hopeless {
		p.owner.cfg.Log.Info("pieces given up in the queue",
			zap.String("request", g.Request), zap.String("service", p.service), zap.Int("stage", g.Stage), zap.Int("rank", int(g.Rank)),
			zap.Duration("waited", now.Sub(g.Arrived)), zap.Duration("left", g.Deadline.Sub(now)), zap.Duration("backlog", backlog.For(g.Rank)), zap.Duration("backlog_last", backlog.Total))
		made := g.Completed()
		p.end(g, Refused{Retry: backlog.Total, Backlog: backlog})
		p.owner.release(p.service, made)
	}
}

func (p *pool) start(now time.Time, u catalog.Upstream, batch []batching.Piece) {
	s := p.state(u.ID)
	s.busy++
	for _, piece := range batch {
		s.room.reserved += piece.Job.ResultBytes
		w := p.waiters[piece.Job]
		if w == nil {
			continue
		}
		w.last = now
		if w.dispatched != nil && piece.Job.Dispatched() {
			w.dispatched()
			w.dispatched = nil
		}
	}
	p.owner.wg.Add(1)
	go p.call(u, batch)
}

// end answers the waiter of a group. The caller holds mu.
func (p *pool) end(g *batching.Job, r Result) {
	w := p.waiters[g]
	if w == nil {
		return
	}
	delete(p.waiters, g)
	p.queue.Remove(g)
	w.done <- r
}

// Close abandons all work and waits for the calls.
func (o *Owner) Close() error {
	o.cancel()
	o.wg.Wait()
	return nil
}
