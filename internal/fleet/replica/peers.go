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

// sendQueue is the number of messages that wait for one peer; more are
// dropped, as the log sends again what is missing.
const sendQueue = 1024

// senders holds one queue and goroutine for each peer.
type senders struct {
	pool   *link.Pool
	open   bool
	queues map[string]chan *statepb.Message
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newSenders(cfg Config) *senders {
	s := &senders{pool: cfg.Pool, open: cfg.Open, queues: make(map[string]chan *statepb.Message)}
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
	q := make(chan *statepb.Message, sendQueue)
	s.queues[name] = q
	s.wg.Add(1)
	go s.run(address, q)
	return q
}

// to queues a message. Only the host calls it.
func (s *senders) to(name string, m *statepb.Message) {
	q := s.queues[name]
	if q == nil && s.open && name != "" && s.ctx.Err() == nil {
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

// run sends the messages of one queue over one stream, opened anew after an
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
				go s.watch(opened)
			}
			if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Replica{Replica: m}}); err != nil {
				st.Close()
				st = nil
			}
		}
	}
}

// watch closes a stream that the peer has closed. Nothing is ever received on
// it, and writing to it would go on without an error and without effect.
func (s *senders) watch(st *link.Stream) {
	defer s.wg.Done()
	stop := context.AfterFunc(s.ctx, func() { st.Close() })
	defer stop()
	_, _ = st.Recv()
	st.Close()
}

// backOff waits after a failed dial and drops what has gathered, which would
// be stale by then.
func (s *senders) backOff(q <-chan *statepb.Message) {
	select {
	case <-s.ctx.Done():
		return
	case <-time.After(dialPause):
	}
	for len(q) > 0 {
		<-q
	}
}

// dialPause is the wait after a peer could not be dialled.
const dialPause = 50 * time.Millisecond

func (s *senders) close() {
	s.cancel()
	s.wg.Wait()
}

// introduce tells the peers of this instance while it has no log, and forms
// the fleet where all of them have none.
func (r *Replica) introduce() {
	defer r.wg.Done()
	for {
		if v := r.View(); v.LastIndex == 0 || !isMember(v) {
			r.askPeers(v)
		}
		select {
		case <-r.done:
			return
		case <-time.After(hello):
		}
	}
}

func isMember(v View) bool {
	_, ok := v.Voters.GetNames()[v.ID]
	return ok
}

// askPeers introduces this instance to the others, and forms the fleet where it
// has the lowest name of the peers with a disk and none of them has a log.
func (r *Replica) askPeers(v View) {
	names := map[uint64]string{v.ID: r.cfg.Name}
	lowest := r.cfg.Name
	empty := v.LastIndex == 0
	disks := len(r.cfg.Peers)
	for _, p := range r.cfg.Peers {
		if p.Name == r.cfg.Name {
			continue
		}
		reply := r.askPeer(p.Link, v)
		if reply != nil && reply.Identity == 0 && reply.Name == p.Name {
			disks--
			continue
		}
		lowest = min(lowest, p.Name)
		if reply == nil || !reply.Empty || reply.Name != p.Name {
			empty = false
			continue
		}
		names[reply.Identity] = p.Name
	}
	if empty && !r.cfg.Joins && lowest == r.cfg.Name && len(names) == disks {
		r.tell(&formMsg{names: names})
		return
	}
	for _, address := range r.found() {
		r.askPeer(address, v)
	}
}

// found returns the control instances that were found besides the peers.
func (r *Replica) found() []string {
	if r.cfg.Found == nil {
		return nil
	}
	known := make(map[string]bool)
	for _, p := range r.cfg.Peers {
		known[p.Link] = true
	}
	return slices.DeleteFunc(r.cfg.Found(), func(address string) bool {
		return known[address] || address == r.cfg.Name
	})
}

func (r *Replica) askPeer(address string, v View) *fleetpb.HelloReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e, err := r.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Hello{Hello: &fleetpb.Hello{
		Name:     r.cfg.Name,
		Identity: v.ID,
		Empty:    true,
	}}})
	if err != nil {
		return nil
	}
	return e.GetHelloReply()
}
