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
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// maxFailures is the number of failed calls and failed pieces after which a
	// job fails.
	maxFailures = 3
	// failureBackoff is how long an upstream is not called after a failed call.
	failureBackoff = time.Second
	// capacityBackoff is how long an upstream is not called after it lacked
	// capacity for a call or memory for a result.
	capacityBackoff = 60 * time.Millisecond
	// InputFetchTime is the time in which an idle upstream of the usual pace fetches the
	// inputs of a call.
	InputFetchTime = 70 * time.Millisecond
	// A call times out after callTimeoutFactor times the duration expected at the
	// upstream, plus callTimeoutMargin.
	callTimeoutFactor = 3
	callTimeoutMargin = 600 * time.Millisecond
)

// Config configures an Owner.
type Config struct {
	// Send sends a request to an upstream.
	Send  func(ctx context.Context, t transport.Target, r transport.Request) transport.Outcome
	Codec Codec
	// Upstreams returns the upstreams of a service that may be called.
	Upstreams func(service string) []catalog.Upstream
	// Rules tell which of them may be called at the moment.
	Rules eligible.Rules
	// Holder returns the upstream at an address that is not among Upstreams and still takes
	// releases of the results that it holds; nil knows none.
	Holder func(address string) (catalog.Upstream, bool)
	// Service returns the configuration of a service.
	Service func(name string) (*site.Service, bool)
	// Model holds the learned duration of calls; nil expects the configured duration, and
	// averages the slowness of each upstream.
	Model *capacity.Model
	// Fair reports whether scarce capacity is shared between accounts; nil means that it
	// is not.
	Fair func() bool
	Log  *zap.Logger
}

// Owner runs the jobs of the services that this process owns. It is safe for
// concurrent use.
type Owner struct {
	cfg         Config
	started     time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	mu          sync.Mutex
	dispatchers map[shard]*dispatcher
	wg          sync.WaitGroup
}

// dispatcher holds the queue and the upstreams of one shard, and dispatches
// queued pieces in batches.
type dispatcher struct {
	owner *Owner
	shard shard
	mu    sync.Mutex
	queue *batching.Queue
	// cfg is the configuration of queue.
	cfg       batching.Config
	waiters   map[*batching.Job]*waiter
	upstreams map[string]*upstreamState
	timer     *time.Timer
	// resultMemoryBytes is the memory for results at each upstream.
	resultMemoryBytes int64
	// sharesLogged is when the shares of accounts were last logged, zero while capacity is
	// not scarce.
	sharesLogged time.Time
	// resultTTL is how long an upstream keeps a result that is not released.
	resultTTL time.Duration
}

// waiter is a caller of Do that waits for the result of a job.
type waiter struct {
	done         chan Result
	failures     int
	enqueued     time.Time
	lastDispatch time.Time
	// firstResult is when the first result arrived, zero before.
	firstResult time.Time
	// onDispatched, if not nil, is called once, when the last piece is dispatched and
	// unfetched is 0.
	onDispatched func()
	// unfetched is the number of pieces in calls that may not have fetched their inputs
	// yet, see upstreamState.busy.
	unfetched int
}

// upstreamState is what a dispatcher knows of one upstream.
type upstreamState struct {
	// inFlight is the number of calls in progress, calledAt when the last one began.
	inFlight     int
	calledAt     time.Time
	memory       resultMemory
	backoffUntil time.Time
	// idle is set if the last call has ended with an answer.
	idle bool
	// busy is set if the upstream may have had other calls when the one in progress was
	// sent.
	busy bool
	// slowness is used if the owner has no model.
	slowness slowness
	// learned is the factor of the model as of learnedAt.
	learned   float64
	learnedAt time.Time
	// handles detects duplicate answers.
	handles handleHistory
	// lostConnections bounds the rate of calls that each cost a connection.
	lostConnections spacing
	// pauseLogged is when pause last logged.
	pauseLogged time.Time
}

// NewOwner returns an Owner without jobs.
func NewOwner(cfg Config) *Owner {
	o := &Owner{cfg: cfg, started: time.Now(), dispatchers: make(map[shard]*dispatcher)}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// dispatcher returns the dispatcher of a shard with its service's current
// configuration, or false if the service has no batching configuration.
func (o *Owner) dispatcher(s shard) (*dispatcher, bool) {
	config, ok := o.cfg.Service(s.service)
	if !ok || config.Batching == nil {
		return nil, false
	}
	cfg := o.scaled(time.Now(), s.service, batching.ConfigOf(config.Batching))
	cfg.Fair = o.cfg.Fair != nil && o.cfg.Fair()
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.dispatchers[s]
	if d == nil {
		d = &dispatcher{
			owner:     o,
			shard:     s,
			queue:     batching.NewQueue(cfg),
			waiters:   make(map[*batching.Job]*waiter),
			upstreams: make(map[string]*upstreamState),
		}
		o.dispatchers[s] = d
	}
	d.mu.Lock()
	d.queue.Configure(time.Now(), cfg)
	d.cfg = cfg
	d.resultMemoryBytes = config.Batching.ResultMemoryBytes
	d.resultTTL = config.Batching.ResultTTL
	d.mu.Unlock()
	return d, true
}

// Do runs a job. It returns at the latest when ctx is done.
func (o *Owner) Do(ctx context.Context, job Job) Result {
	if err := job.Validate(); err != nil {
		return Failed{Err: err}
	}
	d, ok := o.dispatcher(job.shard())
	if !ok {
		return Failed{Err: &UnknownServiceError{Service: job.Service}}
	}
	now := time.Now()
	var inputsExpire time.Time
	if job.InputsTTL > 0 {
		inputsExpire = now.Add(job.InputsTTL)
	}
	queued := batching.NewJob(batching.Job{
		RequestID: job.RequestID,
		Service:   job.Service,
		Stage:     job.Stage,
		Key:       job.Key,
		Inputs:    job.Inputs,
		Arrived:   now,
		Deadline:  now.Add(job.Timeout),
		Objective: now.Add(job.Objective),
		Remaining: job.Remaining,
		Rank:      job.Rank,
		Account:   job.Account,
		Zone:      job.Zone,

		ResultBytes:  job.ResultBytes,
		InputBytes:   job.InputBytes,
		InputsExpire: inputsExpire,
	}, job.Pieces)
	w, refused := d.enqueue(now, queued, job)
	if refused != nil {
		return *refused
	}
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
		o.release(job.shard(), d.cancel(queued))
		return Failed{Err: ctx.Err()}
	}
}

// UnknownServiceError reports a job for a service without a batching
// configuration.
type UnknownServiceError struct{ Service string }

// Error returns the reason together with a remedy.
func (e *UnknownServiceError) Error() string {
	return "service " + e.Service + " does not work on pieces here; wait for the configuration that says so"
}

// enqueue queues a job and dispatches, or refuses the job if its deadline
// cannot be met.
func (d *dispatcher) enqueue(now time.Time, j *batching.Job, request Job) (*waiter, *Refused) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordAsked(now, request)
	capacity := d.expectedCapacity(now)
	retry, ok := d.queue.Admit(now, j, capacity)
	if wait := d.blocked(now); ok && !d.fitsAfter(now, wait, j) {
		retry, ok = wait, false
	}
	d.logShares(now)
	if !ok {
		d.owner.cfg.Log.Info("pieces refused",
			zap.String("request", j.RequestID), zap.String("service", d.shard.key()), zap.Int("stage", j.Stage), zap.String("account", j.Account),
			zap.Int("waiting", d.queue.Waiting()), zap.Float64("upstreams", math.Round(10*capacity)/10), zap.Duration("retry", retry))
		return nil, &Refused{RetryAfter: retry, Backlog: d.queue.Backlog(now, capacity)}
	}
	w := &waiter{done: make(chan Result, 1), enqueued: now, lastDispatch: now, onDispatched: request.OnDispatched}
	d.waiters[j] = w
	d.queue.Push(j)
	d.dispatch(now)
	return w, nil
}

// cancel removes a job and returns the results that it has so far.
func (d *dispatcher) cancel(j *batching.Job) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queue.Remove(j)
	delete(d.waiters, j)
	return j.Completed()
}

// upstream returns the state of an upstream, creating it if needed.
func (d *dispatcher) upstream(id string) *upstreamState {
	s := d.upstreams[id]
	if s == nil {
		s = &upstreamState{}
		d.upstreams[id] = s
	}
	return s
}

// dispatch sends queued pieces to idle upstreams, the fastest first. The caller
// holds mu.
func (d *dispatcher) dispatch(now time.Time) {
	if d.queue.Waiting() == 0 || d.owner.ctx.Err() != nil {
		return
	}
	var idle []catalog.Upstream
	usable := d.usable(now)
	lowest := d.minSlowness(now, usable)
	for _, u := range usable {
		if s := d.upstream(u.ID); s.inFlight == 0 && !now.Before(s.backoffUntil) {
			idle = append(idle, u)
		}
	}
	// Upstreams of the same step are called in random order.
	rand.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	steps := make(map[string]int, len(idle))
	for _, u := range idle {
		steps[u.ID] = d.speedStep(now, u.ID)
	}
	slices.SortStableFunc(idle, func(a, b catalog.Upstream) int { return steps[a.ID] - steps[b.ID] })
	for i, u := range idle {
		s := d.upstream(u.ID)
		batch := d.queue.NextBatch(now, batching.Upstream{
			IdleCount: len(idle) - i,
			FreeBytes: s.memory.available(now, d.resultMemoryBytes),
			Zone:      u.Zone,
			Slowness:  d.factor(now, u.ID) / lowest,
		})
		if len(batch) == 0 {
			continue
		}
		d.startCall(now, u, batch)
	}
	if d.queue.Waiting() > 0 {
		d.scheduleDispatch()
	}
}

// scheduleDispatch refuses infeasible jobs and dispatches again when the shortest
// backoff has passed.
func (d *dispatcher) scheduleDispatch() {
	if d.timer != nil {
		return
	}
	d.timer = time.AfterFunc(capacityBackoff, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.timer = nil
		now := time.Now()
		d.failExpired(now)
		d.refuseQueued(now)
		d.dispatch(now)
	})
}

// refuseQueued refuses queued jobs that can no longer meet their deadline
// because others went ahead, without waiting for the deadline to pass.
func (d *dispatcher) refuseQueued(now time.Time) {
	capacity := d.capacity(now)
	infeasible := d.queue.RemoveInfeasible(now, capacity)
	backlog := d.queue.Backlog(now, capacity)
	for _, j := range infeasible {
		d.owner.cfg.Log.Info("queued job refused: deadline can no longer be met",
			zap.String("request", j.RequestID), zap.String("service", d.shard.key()), zap.Int("stage", j.Stage), zap.Int("rank", int(j.Rank)), zap.String("account", j.Account),
			zap.Duration("waited", now.Sub(j.Arrived)), zap.Duration("left", j.Deadline.Sub(now)), zap.Duration("backlog", backlog.For(j.Rank)), zap.Duration("backlog_last", backlog.Total))
		completed := j.Completed()
		d.complete(j, Refused{RetryAfter: backlog.Total, Backlog: backlog})
		d.owner.release(d.shard, completed)
	}
}

// failExpired fails the queued jobs whose inputs expire before an upstream could fetch
// them. The caller holds mu.
func (d *dispatcher) failExpired(now time.Time) {
	for _, j := range d.queue.RemoveExpired(now, InputFetchTime) {
		d.owner.cfg.Log.Info("queued job failed: its inputs expire",
			zap.String("request", j.RequestID), zap.String("service", d.shard.key()), zap.Int("stage", j.Stage), zap.Int("rank", int(j.Rank)),
			zap.Duration("waited", now.Sub(j.Arrived)))
		completed := j.Completed()
		d.complete(j, Failed{InputsGone: true, Err: errInputsGone})
		d.owner.release(d.shard, completed)
	}
}

// speedStep returns the place of an upstream in the order of calls, the fastest first, in
// steps of 1/8 of the expected duration. One that has not been called for a while and is not
// known as slow goes first: at low load, it would never be called otherwise if the others
// are faster than expected.
func (d *dispatcher) speedStep(now time.Time, id string) int {
	factor := d.factor(now, id)
	if factor < slowFactor && now.Sub(d.upstream(id).calledAt) > slownessHalfLife {
		return 0
	}
	return int(8 * factor)
}

// slowFactor is the multiple of the expected duration from which an upstream counts as slow.
const slowFactor = 1.5

// startCall calls an upstream with a batch. The caller holds mu.
func (d *dispatcher) startCall(now time.Time, u catalog.Upstream, batch []batching.Piece) {
	s := d.upstream(u.ID)
	s.inFlight++
	s.calledAt = now
	s.busy = !s.idle || s.memory.short(now, d.resultMemoryBytes)
	for _, piece := range batch {
		s.memory.reserved += piece.Job.ResultBytes
		w := d.waiters[piece.Job]
		if w == nil {
			continue
		}
		w.lastDispatch = now
		if s.busy {
			w.unfetched++
		}
		w.announceDispatch(piece.Job)
	}
	d.owner.wg.Add(1)
	go d.call(u, batch)
}

// complete removes a job and passes the result to its waiter. The caller holds
// mu.
func (d *dispatcher) complete(j *batching.Job, r Result) {
	w := d.waiters[j]
	if w == nil {
		return
	}
	delete(d.waiters, j)
	d.queue.Remove(j)
	w.done <- r
}

// Close cancels all calls and waits until they have ended.
func (o *Owner) Close() error {
	o.cancel()
	o.wg.Wait()
	return nil
}
