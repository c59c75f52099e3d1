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

// serviceTimeWeight is the weight of a new sample in the moving averages of
// service times.
const serviceTimeWeight = 0.1

// decision answers a submitted call: it starts on client, or fails with failure.
type decision struct {
	client  *upstream.Client
	bootID  string
	failure *fleetpb.Failure
}

type (
	submitMsg struct {
		call    *fleetpb.Call
		id      uint64
		decide  chan<- decision
		arrived time.Time
	}
	// withdrawMsg removes a call that is still queued.
	withdrawMsg struct {
		id   uint64
		done chan<- bool
	}
	finishMsg struct {
		id          uint64
		outcome     statepb.Outcome
		result      []byte
		serviceTime time.Duration
		size        uint32
	}
	queryMsg struct {
		query *fleetpb.Query
		done  chan<- *fleetpb.QueryReply
	}
	announceMsg struct {
		announcement upstream.Announcement
		done         chan<- struct{}
	}
	loadMsg       struct{ load upstream.Load }
	drainMsg      struct{ done chan<- struct{} }
	orderFloorMsg struct{ number uint64 }
	orderMsg      struct {
		order *fleetpb.OrderRequest
		done  chan<- *fleetpb.OrderReply
	}
	longShareMsg  struct{ share float64 }
	countCallsMsg struct{ done chan<- int }
)

// activeCall is a queued or running call.
type activeCall struct {
	call    *fleetpb.Call
	decide  chan<- decision
	lane    queue.Lane
	running bool
}

// agentActor is the actor that owns the agent's state.
type agentActor struct {
	agent        *Agent
	start        time.Time
	queue        *queue.Queue
	queueCfg     queue.Config
	attempts     *dedup.Tracker
	fence        fence.Checker
	calls        map[uint64]*activeCall
	announcement upstream.Announcement
	client       *upstream.Client
	draining     bool
	// perUnitUs is the average service time per unit of call size.
	perUnitUs     float64
	meanServiceUs float64
}

// Receive handles one message, then starts the queued calls that can now run and
// publishes the queue report.
func (s *agentActor) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *submitMsg:
		s.submit(msg)
	case *withdrawMsg:
		msg.done <- s.withdraw(msg.id)
	case *finishMsg:
		s.finish(msg)
	case *queryMsg:
		msg.done <- s.query(msg.query)
	case *announceMsg:
		s.announce(msg.announcement)
		close(msg.done)
	case *loadMsg:
		s.agent.load.Store(&msg.load)
	case *drainMsg:
		s.drain()
		close(msg.done)
	case *orderFloorMsg:
		s.fence = s.fence.WithFloor(msg.number)
	case *orderMsg:
		s.order(msg)
	case *longShareMsg:
		s.queueCfg.LongShare = msg.share
		s.queue.Configure(s.queueCfg)
	case *countCallsMsg:
		msg.done <- len(s.calls)
		return
	case *actor.Stopping:
		if s.client != nil {
			s.client.Close()
		}
		return
	default:
		return
	}
	s.dispatch()
	s.publish()
}

// nowUs returns the time since the start in microseconds, the clock of the
// queue.
func (s *agentActor) nowUs() int64 { return time.Since(s.start).Microseconds() }

func attemptID(call *fleetpb.Call) dedup.ID {
	return dedup.ID{Account: call.Account, Key: call.Key, Attempt: call.Id.GetAttempt()}
}

func (s *agentActor) submit(msg *submitMsg) {
	if f := s.checkSubmitted(msg.call); f != nil {
		msg.decide <- decision{failure: f}
		return
	}
	lane := queue.Short
	if msg.call.Lane == "long" {
		lane = queue.Long
	}
	arrivedUs := msg.arrived.Sub(s.start).Microseconds()
	s.calls[msg.id] = &activeCall{call: msg.call, decide: msg.decide, lane: lane}
	s.queueCfg.FIFO = msg.call.Policy == "fifo"
	s.queue.Configure(s.queueCfg)
	s.queue.Push(queue.Item{
		ID:         msg.id,
		Lane:       lane,
		ArrivedUs:  arrivedUs,
		DeadlineUs: arrivedUs + msg.call.BudgetMs*1000,
		ServiceUs:  s.estimateServiceUs(msg.call.Size),
	})
}

// checkSubmitted returns why a call must not be queued. A rejected at-most-once
// call is barred, so that it stays "not run" even if it arrives again.
func (s *agentActor) checkSubmitted(call *fleetpb.Call) *fleetpb.Failure {
	if call.Once {
		if f := s.admit(call); f != nil {
			return f
		}
	}
	f := s.checkAvailable()
	if f != nil && call.Once {
		s.attempts.Bar(attemptID(call))
	}
	return f
}

func (s *agentActor) checkAvailable() *fleetpb.Failure {
	if s.draining {
		return failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")
	}
	if s.client == nil {
		return failure.New(failure.NoUpstream, failure.RanNo, "no upstream has announced itself", "use another upstream")
	}
	return nil
}

// admit registers the attempt of an at-most-once call, or returns why it must
// not run.
func (s *agentActor) admit(call *fleetpb.Call) *fleetpb.Failure {
	err := s.attempts.Admit(dedup.Claim{ID: attemptID(call), Incarnation: call.Incarnation, Index: call.ClaimIndex})
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
		panic(fmt.Sprintf("agent: unexpected admission error %T", err))
	}
}

// estimateServiceUs returns the expected service time of a call of the given
// size. If the size is 0, or no call with a size has finished yet, it returns the
// average over all calls.
func (s *agentActor) estimateServiceUs(size uint32) int64 {
	if s.perUnitUs == 0 || size == 0 {
		return int64(s.meanServiceUs)
	}
	return int64(s.perUnitUs * float64(size))
}

// dispatch starts queued calls while slots are free.
func (s *agentActor) dispatch() {
	for s.client != nil {
		now := s.nowUs()
		item, ok := s.queue.Next(now)
		if !ok {
			return
		}
		s.startCall(item, now)
	}
}

func (s *agentActor) startCall(item queue.Item, now int64) {
	c := s.calls[item.ID]
	if c == nil {
		s.queue.Done(item.Lane)
		return
	}
	if now >= item.DeadlineUs {
		s.reject(item.ID, c, failure.New(failure.Deadline, failure.RanNo, "the deadline passed in the queue", "send a later deadline or less work"))
		return
	}
	if f := s.agent.checkDocument(s.agent.cfg.Follower.Document(), c.call); f != nil {
		s.reject(item.ID, c, f)
		return
	}
	if c.call.Once && !s.attempts.Start(attemptID(c.call)) {
		s.reject(item.ID, c, failure.New(failure.Barred, failure.RanNo, "the attempt was barred while it waited", "read the claim from the ledger"))
		return
	}
	c.running = true
	c.decide <- decision{client: s.client, bootID: s.announcement.BootID}
}

// reject fails a call that was taken from the queue but not started, and frees
// its slot.
func (s *agentActor) reject(id uint64, c *activeCall, f *fleetpb.Failure) {
	s.queue.Done(c.lane)
	delete(s.calls, id)
	if c.call.Once {
		s.attempts.Bar(attemptID(c.call))
	}
	c.decide <- decision{failure: f}
}

// withdraw removes a queued call. It returns false if the call has started or
// is not known.
func (s *agentActor) withdraw(id uint64) bool {
	c := s.calls[id]
	if c == nil || c.running {
		return false
	}
	s.queue.Remove(id)
	delete(s.calls, id)
	if c.call.Once {
		s.attempts.Bar(attemptID(c.call))
	}
	return true
}

func (s *agentActor) finish(msg *finishMsg) {
	c := s.calls[msg.id]
	if c == nil {
		return
	}
	delete(s.calls, msg.id)
	s.queue.Done(c.lane)
	if c.call.Once {
		s.attempts.Finish(attemptID(c.call), msg.outcome, msg.result)
	}
	if msg.outcome != statepb.Outcome_OUTCOME_DONE {
		return
	}
	us := float64(msg.serviceTime.Microseconds())
	s.meanServiceUs = movingAverage(s.meanServiceUs, us)
	if msg.size > 0 {
		s.perUnitUs = movingAverage(s.perUnitUs, us/float64(msg.size))
	}
}

// movingAverage adds a sample to an exponentially weighted moving average. An
// average of 0 has no samples yet.
func movingAverage(avg, sample float64) float64 {
	if avg == 0 {
		return sample
	}
	return avg + serviceTimeWeight*(sample-avg)
}

func (s *agentActor) query(q *fleetpb.Query) *fleetpb.QueryReply {
	reply := &fleetpb.QueryReply{Incarnation: s.agent.incarnation}
	if q.Incarnation != s.agent.incarnation {
		reply.Outcome = statepb.Outcome_OUTCOME_UNKNOWN
		return reply
	}
	a := s.attempts.Query(dedup.Claim{
		ID:          dedup.ID{Account: q.Account, Key: q.Key, Attempt: q.Attempt},
		Incarnation: q.Incarnation,
		Index:       q.ClaimIndex,
	})
	reply.Barred = a.State == dedup.Barred
	reply.Running = a.State == dedup.Running
	reply.Outcome = a.Outcome
	reply.Result = a.Result
	s.agent.cfg.Timeline.Add("ask", "", fmt.Sprintf("key %s attempt %d: barred %t running %t outcome %s", q.Key, q.Attempt, reply.Barred, reply.Running, reply.Outcome))
	return reply
}

func (s *agentActor) announce(ann upstream.Announcement) {
	if ann == s.announcement {
		return
	}
	s.announcement = ann
	if s.client != nil {
		s.client.Close()
	}
	s.client = upstream.NewClient(ann.Address)
	s.queueCfg.Slots = ann.Slots
	s.queue.Configure(s.queueCfg)
	s.agent.onAnnounce(ann)
}

// drain rejects all queued calls and makes later ones fail.
func (s *agentActor) drain() {
	s.draining = true
	for id, c := range s.calls {
		if c.running {
			continue
		}
		s.queue.Remove(id)
		delete(s.calls, id)
		if c.call.Once {
			s.attempts.Bar(attemptID(c.call))
		}
		c.decide <- decision{failure: failure.New(failure.Leaving, failure.RanNo, "the upstream is leaving", "use another upstream")}
	}
}

func (s *agentActor) order(msg *orderMsg) {
	reply := &fleetpb.OrderReply{Number: msg.order.Number}
	next, err := s.fence.Accept(msg.order.Number)
	if err != nil {
		reply.Detail = err.Error()
		msg.done <- reply
		return
	}
	s.fence = next
	s.agent.forwardOrder(s.client, msg.order, msg.done)
}

// publish makes the state of the queue visible to other goroutines.
func (s *agentActor) publish() {
	s.agent.queueReport.Store(&fleetpb.Word{
		Running:   uint32(s.queue.Running()),
		Waiting:   uint32(s.queue.Waiting()),
		BacklogUs: s.queue.BacklogUs(),
		Leaving:   s.draining,
		Slots:     uint32(s.queueCfg.Slots),
		ServiceUs: int64(s.meanServiceUs),
	})
}
