package agent

import (
	"fmt"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"hawthornhub.example/hawthornhub/internal/dispatch/dedup"
	"hawthornhub.example/hawthornhub/internal/dispatch/queue"
	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
	"hawthornhub.example/hawthornhub/internal/state/fence"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// meanShare is the weight of a new observation in a mean service time.
const meanShare = 0.1

// decision tells a waiting call to start or why it may not.
type decision struct {
	client  *upstream.Client
	boot    string
	failure *fleetpb.Failure
}

type (
	submitMsg struct {
		call   *fleetpb.Call
		id     uint64
		decide chan<- decision
		now    time.Time
	}
	withdrawMsg struct {
		id   uint64
		done chan<- bool
	}
	finishMsg struct {
		id      uint64
		outcome statepb.Outcome
		result  []byte
		service time.Duration
		size    uint32
	}
	askMsg struct {
		query *fleetpb.Query
		done  chan<- *fleetpb.QueryReply
	}
	announceMsg struct {
		said upstream.Announcement
		done chan<- struct{}
	}
	loadMsg  struct{ load upstream.Load }
	leaveMsg struct{ done chan<- struct{} }
	floorMsg struct{ number uint64 }
	orderMsg struct {
		order *fleetpb.OrderRequest
		done  chan<- *fleetpb.OrderReply
	}
	longShareMsg struct{ share float64 }
	idleMsg      struct{ done chan<- int }
)

// waiting is a call in the queue or running.
type waiting struct {
	call   *fleetpb.Call
	decide chan<- decision
	lane   queue.Lane
	runs   bool
}

// core is the actor that owns the agent's state.
type core struct {
	agent   *Agent
	start   time.Time
	queue   *queue.Queue
	qcfg    queue.Config
	gate    *dedup.Gate
	fence   fence.Checker
	calls   map[uint64]*waiting
	said    upstream.Announcement
	client  *upstream.Client
	leaving bool
	// perUnitUs is the mean service time of a unit of size.
	perUnitUs float64
	meanUs    float64
}

// Receive takes one message of the mailbox.
func (c *core) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *submitMsg:
		c.submit(msg)
	case *withdrawMsg:
		msg.done <- c.withdraw(msg.id)
	case *finishMsg:
		c.finish(msg)
	case *askMsg:
		msg.done <- c.ask(msg.query)
	case *announceMsg:
		c.announce(msg.said)
		close(msg.done)
	case *loadMsg:
		c.agent.load.Store(&msg.load)
	case *leaveMsg:
		c.leave()
		close(msg.done)
	case *floorMsg:
		c.fence = c.fence.WithFloor(msg.number)
	case *orderMsg:
		c.order(msg)
	case *longShareMsg:
		c.qcfg.LongShare = msg.share
		c.queue.Configure(c.qcfg)
	case *idleMsg:
		msg.done <- len(c.calls)
		return
	default:
		return
	}
	c.dispatch()
	c.publish()
}

func (c *core) now() int64 { return time.Since(c.start).Microseconds() }

func idOf(call *fleetpb.Call) dedup.ID {
	return dedup.ID{Account: call.Account, Key: call.Key, Attempt: call.Id.GetAttempt()}
}

func (c *core) submit(msg *submitMsg) {
	if f := c.refuse(msg.call); f != nil {
		msg.decide <- decision{failure: f}
		return
	}
	lane := queue.Short
	if msg.call.Lane == "long" {
		lane = queue.Long
	}
	arrived := msg.now.Sub(c.start).Microseconds()
	c.calls[msg.id] = &waiting{call: msg.call, decide: msg.decide, lane: lane}
	c.qcfg.FIFO = msg.call.Policy == "fifo"
	c.queue.Configure(c.qcfg)
	c.queue.Push(queue.Item{
		ID:         msg.id,
		Lane:       lane,
		ArrivedUs:  arrived,
		DeadlineUs: arrived + msg.call.BudgetMs*1000,
		ServiceUs:  c.expectUs(msg.call.Size),
	})
}

// refuse returns why a call may not wait. A once-only call that is refused is
// barred, so that "not run" stays true.
func (c *core) refuse(call *fleetpb.Call) *fleetpb.Failure {
	if call.Once {
		if f := c.admit(call); f != nil {
			return f
		}
	}
	f := c.unable()
	if f != nil && call.Once {
		c.gate.Bar(idOf(call))
	}
	return f
}

func (c *core) unable() *fleetpb.Failure {
	if c.leaving {
		return failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")
	}
	if c.client == nil {
		return failure.New(failure.NoUpstream, failure.RanNo, "no upstream has announced itself", "use another upstream")
	}
	return nil
}

func (c *core) admit(call *fleetpb.Call) *fleetpb.Failure {
	err := c.gate.Admit(dedup.Claim{ID: idOf(call), Incarnation: call.Incarnation, Index: call.ClaimIndex})
	switch err := err.(type) {
	case nil:
		return nil
	case *dedup.IncarnationError:
		return failure.New(failure.OtherIncarnation, failure.RanNo, err.Error(), "bind the claim to a present agent")
	case *dedup.RepeatError:
		if err.Attempt.State == dedup.Barred {
			return failure.New(failure.Barred, failure.RanNo, "the attempt was barred", "read the claim from the ledger")
		}
		return failure.New(failure.RepeatedAttempt, failure.RanUnknown, err.Error(), "ask for the outcome")
	default:
		panic(fmt.Sprintf("agent: unhandled gate error %T", err))
	}
}

// expectUs is the expected service time of a call of a size.
func (c *core) expectUs(size uint32) int64 {
	if c.perUnitUs == 0 || size == 0 {
		return int64(c.meanUs)
	}
	return int64(c.perUnitUs * float64(size))
}

func (c *core) dispatch() {
	for c.client != nil {
		now := c.now()
		item, ok := c.queue.Next(now)
		if !ok {
			return
		}
		c.begin(item, now)
	}
}

func (c *core) begin(item queue.Item, now int64) {
	w := c.calls[item.ID]
	if w == nil {
		c.queue.Done(item.Lane)
		return
	}
	if now >= item.DeadlineUs {
		c.reject(item.ID, w, failure.New(failure.Deadline, failure.RanNo, "the deadline passed in the queue", "send a later deadline or less work"))
		return
	}
	if f := conditions(c.agent.cfg.Follower.Held(), w.call); f != nil {
		c.reject(item.ID, w, f)
		return
	}
	if w.call.Once && !c.gate.Start(idOf(w.call)) {
		c.reject(item.ID, w, failure.New(failure.Barred, failure.RanNo, "the attempt was barred while it waited", "read the claim from the ledger"))
		return
	}
	w.runs = true
	w.decide <- decision{client: c.client, boot: c.said.Boot}
}

// reject frees the slot of a call that was taken from the queue but not run.
func (c *core) reject(id uint64, w *waiting, f *fleetpb.Failure) {
	c.queue.Done(w.lane)
	delete(c.calls, id)
	if w.call.Once {
		c.gate.Bar(idOf(w.call))
	}
	w.decide <- decision{failure: f}
}

// withdraw takes a call out of the queue and reports whether it had not begun.
func (c *core) withdraw(id uint64) bool {
	w := c.calls[id]
	if w == nil || w.runs {
		return false
	}
	c.queue.Remove(id)
	delete(c.calls, id)
	if w.call.Once {
		c.gate.Bar(idOf(w.call))
	}
	return true
}

func (c *core) finish(msg *finishMsg) {
	w := c.calls[msg.id]
	if w == nil {
		return
	}
	delete(c.calls, msg.id)
	c.queue.Done(w.lane)
	if w.call.Once {
		c.gate.Finish(idOf(w.call), msg.outcome, msg.result)
	}
	if msg.outcome != statepb.Outcome_OUTCOME_DONE {
		return
	}
	us := float64(msg.service.Microseconds())
	c.meanUs = mean(c.meanUs, us)
	if msg.size > 0 {
		c.perUnitUs = mean(c.perUnitUs, us/float64(msg.size))
	}
}

func mean(old, seen float64) float64 {
	if old == 0 {
		return seen
	}
	return old + meanShare*(seen-old)
}

func (c *core) ask(q *fleetpb.Query) *fleetpb.QueryReply {
	reply := &fleetpb.QueryReply{Incarnation: c.agent.incarnation}
	if q.Incarnation != c.agent.incarnation {
		reply.Outcome = statepb.Outcome_OUTCOME_UNKNOWN
		return reply
	}
	a := c.gate.Ask(dedup.Claim{
		ID:          dedup.ID{Account: q.Account, Key: q.Key, Attempt: q.Attempt},
		Incarnation: q.Incarnation,
		Index:       q.ClaimIndex,
	})
	reply.Barred = a.State == dedup.Barred
	reply.Running = a.State == dedup.Running
	reply.Outcome = a.Outcome
	reply.Result = a.Result
	c.agent.cfg.Timeline.Add("ask", "", fmt.Sprintf("key %s attempt %d: barred %t running %t outcome %s", q.Key, q.Attempt, reply.Barred, reply.Running, reply.Outcome))
	return reply
}

func (c *core) announce(said upstream.Announcement) {
	if said == c.said {
		return
	}
	c.said = said
	if c.client != nil {
		c.client.Close()
	}
	c.client = upstream.NewClient(said.Address)
	c.qcfg.Slots = said.Slots
	c.queue.Configure(c.qcfg)
	c.agent.announced(said)
}

// leave refuses everything that has not begun.
func (c *core) leave() {
	c.leaving = true
	for id, w := range c.calls {
		if w.runs {
			continue
		}
		c.queue.Remove(id)
		delete(c.calls, id)
		if w.call.Once {
			c.gate.Bar(idOf(w.call))
		}
		w.decide <- decision{failure: failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")}
	}
}

func (c *core) order(msg *orderMsg) {
	reply := &fleetpb.OrderReply{Number: msg.order.Number}
	next, err := c.fence.Accept(msg.order.Number)
	if err != nil {
		reply.Detail = err.Error()
		msg.done <- reply
		return
	}
	c.fence = next
	c.agent.obey(c.client, msg.order, msg.done)
}

// publish makes the queue word visible to other goroutines.
func (c *core) publish() {
	c.agent.word.Store(&fleetpb.Word{
		Running:   uint32(c.queue.Running()),
		Waiting:   uint32(c.queue.Waiting()),
		BacklogUs: c.queue.BacklogUs(),
		Leaving:   c.leaving,
		Slots:     uint32(c.qcfg.Slots),
		ServiceUs: int64(c.meanUs),
	})
}
