package agent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/dedup"
	"hawthornhub.example/hawthornhub/internal/dispatch/queue"
	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// orderFloorRetryInterval is the time between attempts to read the highest
	// issued order number.
	orderFloorRetryInterval = 500 * time.Millisecond
	// orderTimeout bounds an order to the upstream and a read of the highest
	// issued order number.
	orderTimeout = 5 * time.Second
)

// Config configures an Agent.
type Config struct {
	// Name is the agent's instance name, which orders and claims refer to.
	Name string
	// Zone is the agent's availability zone.
	Zone string
	// Incarnation is different for every start of the process.
	Incarnation uint64
	// StallTimeout is the longest time without progress from the upstream; half
	// of a call's time budget is added to it.
	StallTimeout time.Duration
	System       *actor.ActorSystem
	Timeline     *timeline.Recorder
	Follower     *control.Follower
	Client       *control.Client
	Log          *zap.Logger
	// OnAnnounce is called with each changed announcement of the upstream.
	OnAnnounce func(upstream.Announcement)
}

// Agent is a running agent. It is safe for concurrent use.
type Agent struct {
	cfg         Config
	incarnation uint64
	pid         *actor.PID
	queueReport atomic.Pointer[fleetpb.Word]
	load        atomic.Pointer[upstream.Load]
	nextID      atomic.Uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// Start starts the actor and begins to read the highest issued order number,
// without which no order is accepted.
func Start(cfg Config) *Agent {
	a := &Agent{cfg: cfg, incarnation: cfg.Incarnation}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.queueReport.Store(&fleetpb.Word{})
	a.load.Store(&upstream.Load{})
	s := &agentActor{
		agent:    a,
		start:    time.Now(),
		queue:    queue.New(queue.Config{}),
		queueCfg: queue.Config{LongShare: 0.5},
		attempts: dedup.New(dedup.Config{Incarnation: cfg.Incarnation}),
		calls:    make(map[uint64]*activeCall),
	}
	a.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return s }))
	a.wg.Add(1)
	go a.readOrderFloor()
	return a
}

func (a *Agent) tell(msg any) { a.cfg.System.Root.Send(a.pid, msg) }

// QueueReport returns the current state of the agent's queue.
func (a *Agent) QueueReport() *fleetpb.Word { return a.queueReport.Load() }

// Announce registers the upstream or replaces its registration.
func (a *Agent) Announce(ann upstream.Announcement) {
	done := make(chan struct{})
	a.tell(&announceMsg{announcement: ann, done: done})
	<-done
}

// ReportLoad records a load report of the upstream.
func (a *Agent) ReportLoad(l upstream.Load) { a.tell(&loadMsg{load: l}) }

// SetLongShare sets the maximum share of the slots that long calls may hold, as
// configured in the document.
func (a *Agent) SetLongShare(share float64) { a.tell(&longShareMsg{share: share}) }

func (a *Agent) onAnnounce(ann upstream.Announcement) {
	a.cfg.Timeline.Add("announce", "", fmt.Sprintf("%s %s at %s, %d slots", ann.Kind, ann.Model, ann.Address, ann.Slots))
	if a.cfg.OnAnnounce != nil {
		a.cfg.OnAnnounce(ann)
	}
}

// Drain rejects queued and later calls. Running calls are not affected; see
// WaitIdle.
func (a *Agent) Drain() {
	done := make(chan struct{})
	a.tell(&drainMsg{done: done})
	<-done
	a.cfg.Timeline.Add("drain", "", "leaving")
}

// WaitIdle waits until no call is queued or running, or until ctx ends, and
// returns the number of calls that are left.
func (a *Agent) WaitIdle(ctx context.Context) int {
	for {
		done := make(chan int, 1)
		a.tell(&countCallsMsg{done: done})
		n := <-done
		if n == 0 || ctx.Err() != nil {
			return n
		}
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// QueryAttempt returns the outcome of an at-most-once attempt. An attempt that
// has not started is barred first, so that it can never start.
func (a *Agent) QueryAttempt(q *fleetpb.Query) *fleetpb.QueryReply {
	done := make(chan *fleetpb.QueryReply, 1)
	a.tell(&queryMsg{query: q, done: done})
	return <-done
}

// readOrderFloor reads the highest issued order number from a quorum of control
// instances, and retries until it is known.
func (a *Agent) readOrderFloor() {
	defer a.wg.Done()
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		reply, err := a.cfg.Client.Read(ctx, &fleetpb.Read{Orders: true})
		cancel()
		if err == nil {
			a.tell(&orderFloorMsg{number: highestOrderNumber(reply, a.cfg.Name)})
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(orderFloorRetryInterval):
		}
	}
}

// highestOrderNumber returns the highest order number issued for an upstream, or
// 0.
func highestOrderNumber(r *fleetpb.ReadReply, name string) uint64 {
	n := uint64(0)
	for _, o := range r.GetOrders() {
		if o.Order.GetUpstream() == name {
			n = max(n, o.Number)
		}
	}
	return n
}

// Order checks the number of an order and forwards the order to the upstream.
func (a *Agent) Order(o *fleetpb.OrderRequest) *fleetpb.OrderReply {
	done := make(chan *fleetpb.OrderReply, 1)
	a.tell(&orderMsg{order: o, done: done})
	return <-done
}

// forwardOrder sends an order whose number was accepted to the upstream.
func (a *Agent) forwardOrder(client *upstream.Client, o *fleetpb.OrderRequest, done chan<- *fleetpb.OrderReply) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		reply := &fleetpb.OrderReply{Number: o.Number}
		defer func() { done <- reply }()
		if client == nil {
			reply.Detail = "no upstream has announced itself"
			return
		}
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		defer cancel()
		if err := client.Order(ctx, upstream.Order{Number: o.Number, Action: o.Action, Model: o.Model}); err != nil {
			reply.Detail = err.Error()
			return
		}
		reply.Obeyed = true
		a.cfg.Timeline.Add("order", "", fmt.Sprintf("%d %s %s", o.Number, o.Action, o.Model))
	}()
}

// Close cancels the running calls, waits for background work and stops the
// actor.
func (a *Agent) Close() error {
	a.cancel()
	a.wg.Wait()
	if err := a.cfg.System.Root.StopFuture(a.pid).Wait(); err != nil {
		return fmt.Errorf("stop agent: %w", err)
	}
	return nil
}
