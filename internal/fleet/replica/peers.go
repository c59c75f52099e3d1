package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// sendQueueSize is the maximum number of queued messages per peer. Further
// messages are dropped, as Raft resends what is missing.
const sendQueueSize = 1024

// senders holds one queue and one goroutine per peer.
type senders struct {
	pool           *link.Pool
	acceptUnlisted bool
	queues         map[string]chan *statepb.Message
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

func newSenders(cfg Config) *senders {
	s := &senders{pool: cfg.Pool, acceptUnlisted: cfg.AcceptUnlisted, queues: make(map[string]chan *statepb.Message)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, p := range cfg.Peers {
		if p.Name == cfg.Name {
			continue
		}
		s.start(p.Name, p.Link)
	}
	return s
}

func (s *senders) start(name, address string) chan *statepb.Message {
	q := make(chan *statepb.Message, sendQueueSize)
	s.queues[name] = q
	s.wg.Add(1)
	go s.run(address, q)
	return q
}

// send queues a message for the named peer, or drops it if the queue is full
// or the peer is unknown. Only the actor calls it.
func (s *senders) send(name string, m *statepb.Message) {
	q := s.queues[name]
	if q == nil && s.acceptUnlisted && name != "" && s.ctx.Err() == nil {
		q = s.start(name, name)
	}
	if q == nil {
		return
	}
	select {
	case q <- m:
	default:
	}
}

// run sends the messages of one queue over a stream, which it reopens after an
// error.
func (s *senders) run(address string, q <-chan *statepb.Message) {
	defer s.wg.Done()
	var st *link.Stream
	defer func() {
		if st != nil {
			st.Close()
		}
	}()
	for {
		select {
		case <-s.ctx.Done():
			return
		case m := <-q:
			if st == nil {
				opened, err := s.pool.OpenStream(s.ctx, address)
				if err != nil {
					s.backOff(q)
					continue
				}
				st = opened
				s.wg.Add(1)
				go s.closeAfterPeer(opened)
			}
			if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Replica{Replica: m}}); err != nil {
				st.Close()
				st = nil
			}
		}
	}
}

// closeAfterPeer closes a stream once the peer has closed it. Peers send
// nothing on it, so Recv returns only then. Without the close, sends would keep
// succeeding and the messages would be lost.
func (s *senders) closeAfterPeer(st *link.Stream) {
	defer s.wg.Done()
	stop := context.AfterFunc(s.ctx, func() { st.Close() })
	defer stop()
	_, _ = st.Recv()
	st.Close()
}

// backOff waits after a failed dial and drops the messages queued until then,
// as they are stale.
func (s *senders) backOff(q <-chan *statepb.Message) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(dialBackoff):
	}
	for len(q) > 0 {
		<-q
	}
}

// dialBackoff is the wait after a failed dial.
const dialBackoff = 50 * time.Millisecond

func (s *senders) close() {
	s.cancel()
	s.wg.Wait()
}

// joinLoop contacts the peers until this instance has a log and is a member of
// the fleet, and again whenever it no longer is one or knows no leader.
func (r *Replica) joinLoop() {
	defer r.wg.Done()
	for {
		if s := r.Status(); s.WantsToJoin() && !r.leaving.Load() {
			r.joinOrForm(s)
		}
		select {
		case <-r.done:
			return
		case <-time.After(helloInterval):
		}
	}
}

// joinOrForm asks every peer for its state. Without a log, this instance then forms one if
// it is its turn. Otherwise it also sends a hello to the discovered instances; whichever
// is the leader adds this instance as a learner.
func (r *Replica) joinOrForm(s Status) {
	peers := r.askPeers(s)
	if s.LastIndex == 0 {
		if names := r.firstVoters(s, peers); names != nil {
			r.send(&formMsg{names: names})
			return
		}
	}
	for _, address := range r.discovered() {
		r.sendHello(address, s)
	}
}

// askPeers sends a hello to all peers at once and returns what is known of them, in the
// order of Config.Peers.
func (r *Replica) askPeers(s Status) []peerState {
	out := make([]peerState, len(r.cfg.Peers))
	var wg sync.WaitGroup
	for i, p := range r.cfg.Peers {
		if p.Name == r.cfg.Name {
			out[i] = peerState{name: p.Name, kind: emptyPeer, identity: s.ID}
			continue
		}
		wg.Go(func() { out[i] = peerStateOf(p.Name, r.sendHello(p.Link, s)) })
	}
	wg.Wait()
	return out
}

// discovered returns the addresses of Config.Discovered that are neither in
// Config.Peers nor this instance's own.
func (r *Replica) discovered() []string {
	if r.cfg.Discovered == nil {
		return nil
	}
	known := make(map[string]bool)
	for _, p := range r.cfg.Peers {
		known[p.Link] = true
	}
	return slices.DeleteFunc(r.cfg.Discovered(), func(address string) bool {
		return known[address] || address == r.cfg.Name
	})
}

// sendHello returns the reply to a hello message, or nil if there is none.
func (r *Replica) sendHello(address string, s Status) *fleetpb.HelloReply {
	return r.roundTripHello(&fleetpb.Hello{Name: r.cfg.Name, Identity: s.ID, Empty: true}, address, time.Second)
}

func (r *Replica) roundTripHello(h *fleetpb.Hello, address string, timeout time.Duration) *fleetpb.HelloReply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e, err := r.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Hello{Hello: h}})
	if err != nil {
		return nil
	}
	return e.GetHelloReply()
}
