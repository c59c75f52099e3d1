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
	// floorRetry is the time between questions for the present order number.
	floorRetry = 500 * time.Millisecond
	// orderTimeout bounds an order to the upstream.
	orderTimeout = 5 * time.Second
)

// Config starts an Agent.
type Config struct {
	// Name is the agent's instance name, which orders and claims use.
	Name string
	// Incarnation is fresh for every start.
	Incarnation uint64
	// Stall is the longest time without progress from the upstream.
	Stall    time.Duration
	System   *actor.ActorSystem
	Timeline *timeline.Recorder
	Follower *control.Follower
	Client   *control.Client
	Log      *zap.Logger
	// Announced is told of each new announcement.
	Announced func(upstream.Announcement)
}

// Agent is a running agent. It is safe for concurrent use.
type Agent struct {
	cfg         Config
	incarnation uint64
	pid         *actor.PID
	word        atomic.Pointer[fleetpb.Word]
	load        atomic.Pointer[upstream.Load]
	nextID      atomic.Uint64
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// Start starts the actor and begins to ask for the present order number.
func Start(cfg Config) *Agent {
	a := &Agent{cfg: cfg, incarnation: cfg.Incarnation}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.word.Store(&fleetpb.Word{})
	a.load.Store(&upstream.Load{})
	c := &core{
		agent: a,
		start: time.Now(),
		queue: queue.New(queue.Config{}),
		qcfg:  queue.Config{LongShare: 0.5},
		gate:  dedup.New(dedup.Config{Incarnation: cfg.Incarnation}),
		calls: make(map[uint64]*waiting),
	}
	a.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return c }))
	a.wg.Add(1)
	go a.learnFloor()
	return a
}

func (a *Agent) tell(msg any) { a.cfg.System.Root.Send(a.pid, msg) }

// Word returns the agent's present word on its queue.
func (a *Agent) Word() *fleetpb.Word { return a.word.Load() }

// Announce takes what the upstream says of itself.
func (a *Agent) Announce(said upstream.Announcement) {
	done := make(chan struct{})
	a.tell(&announceMsg{said: said, done: done})
	<-done
}

// Report takes a load report of the upstream.
func (a *Agent) Report(l upstream.Load) { a.tell(&loadMsg{load: l}) }

// SetLongShare takes the share of slots for long calls from the document.
func (a *Agent) SetLongShare(share float64) { a.tell(&longShareMsg{share: share}) }

func (a *Agent) announced(said upstream.Announcement) {
	a.cfg.Timeline.Add("announce", "", fmt.Sprintf("%s %s at %s, %d slots", said.Kind, said.Model, said.Address, said.Slots))
	if a.cfg.Announced != nil {
		a.cfg.Announced(said)
	}
}

// Leave refuses all calls that have not begun, at once.
func (a *Agent) Leave() {
	done := make(chan struct{})
	a.tell(&leaveMsg{done: done})
	<-done
	a.cfg.Timeline.Add("drain", "", "leaving")
}

// Idle waits until no call runs, or until ctx ends, and returns the number
// that still run.
func (a *Agent) Idle(ctx context.Context) int {
	for {
		done := make(chan int, 1)
		a.tell(&idleMsg{done: done})
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

// Ask returns the outcome of a once-only attempt, after barring one that has
// not started.
func (a *Agent) Ask(q *fleetpb.Query) *fleetpb.QueryReply {
	done := make(chan *fleetpb.QueryReply, 1)
	a.tell(&askMsg{query: q, done: done})
	return <-done
}

// learnFloor asks a quorum for the present order number until it is known.
func (a *Agent) learnFloor() {
	defer a.wg.Done()
	for a.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(a.ctx, orderTimeout)
		reply, err := a.cfg.Client.Read(ctx, &fleetpb.Read{Orders: true})
		cancel()
		if err == nil {
			a.tell(&floorMsg{number: newest(reply, a.cfg.Name)})
			return
		}
		select {
		case <-a.ctx.Done():
		case <-time.After(floorRetry):
		}
	}
}

func newest(r *fleetpb.ReadReply, name string) uint64 {
	n := uint64(0)
	for _, o := range r.GetOrders() {
		if o.Order.GetUpstream() == name {
			n = max(n, o.Number)
		}
	}
	return n
}

// Order passes an order through the order gate to the upstream.
func (a *Agent) Order(o *fleetpb.OrderRequest) *fleetpb.OrderReply {
	done := make(chan *fleetpb.OrderReply, 1)
	a.tell(&orderMsg{order: o, done: done})
	return <-done
}

// obey hands an order that has passed the gate to the upstream.
func (a *Agent) obey(client *upstream.Client, o *fleetpb.OrderRequest, done chan<- *fleetpb.OrderReply) {
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

// Close ends what still runs and waits.
func (a *Agent) Close() error {
	a.cancel()
	a.wg.Wait()
	if err := a.cfg.System.Root.StopFuture(a.pid).Wait(); err != nil {
		return fmt.Errorf("stop agent: %w", err)
	}
	return nil
}
