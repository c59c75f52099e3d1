package member

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// tickInterval is the length of a Table's tick.
	tickInterval = 100 * time.Millisecond
	// macBytes is the size of the truncated HMAC-SHA-256 in front of a datagram.
	macBytes = 16
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes = 8 << 10
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Address is the UDP address to listen on, as IP:port; it is ignored if
	// Socket is set.
	Address string
	Socket  net.PacketConn
	// Key is the fleet key, which authenticates the datagrams.
	Key []byte
	// Self is the local process's record. Start sets its UDP address.
	Self *fleetpb.Member
	// Seeds are the UDP addresses of processes to contact first.
	Seeds []string
	// OnChange is called with the changed records of other processes, once per
	// datagram; nil ignores them.
	OnChange func([]*fleetpb.Member)
	// DocumentIndex returns the index of the document that the local process
	// applies; nil leaves it unset.
	DocumentIndex func() uint64
	// ObserveDocument is called with the document index of each received datagram;
	// nil ignores them.
	ObserveDocument func(index uint64)
	// System runs the actor that owns the Table.
	System *actor.ActorSystem
	Log    *zap.Logger
}

// Traffic is the number of datagrams and bytes that a Service has sent.
type Traffic struct{ Datagrams, Bytes uint64 }

// Service runs a Table on a UDP socket.
type Service struct {
	cfg       ServiceConfig
	socket    net.PacketConn
	pid       *actor.PID
	members   atomic.Pointer[[]*fleetpb.Member]
	datagrams atomic.Uint64
	bytes     atomic.Uint64
	synced    atomic.Bool
	done      chan struct{}
	wg        sync.WaitGroup
}

// Start opens the socket and starts probing.
func Start(cfg ServiceConfig) (*Service, error) {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	socket := cfg.Socket
	if socket == nil {
		var err error
		socket, err = net.ListenPacket("udp", cfg.Address)
		if err != nil {
			return nil, fmt.Errorf("listen for gossip: %w; check the setting listen.gossip", err)
		}
	}
	self := proto.Clone(cfg.Self).(*fleetpb.Member)
	self.Udp = socket.LocalAddr().String()
	s := &Service{cfg: cfg, socket: socket, done: make(chan struct{})}
	table := NewTable(DefaultConfig(self, cfg.Seeds))
	s.publish(table)
	owner := &tableActor{service: s, table: table}
	s.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return owner }))
	s.wg.Add(2)
	go s.read()
	go s.tick()
	return s, nil
}

// DefaultConfig returns the Table configuration of a Service, with ticks of 100 ms.
func DefaultConfig(self *fleetpb.Member, seeds []string) Config {
	return Config{
		Self:               self,
		Seeds:              seeds,
		ProbeTicks:         5,
		AckTicks:           2,
		SuspectTicks:       20,
		DeadRetentionTicks: 600,
		ExchangeTicks:      100,
		Random:             rand.IntN,
	}
}

// publish makes the Table's members available to Members.
func (s *Service) publish(t *Table) {
	members := t.Members()
	s.members.Store(&members)
}

// read passes received datagrams to the actor until the socket is closed.
func (s *Service) read() {
	defer s.wg.Done()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.socket.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		g, ok := decode(s.cfg.Key, buf[:n])
		if !ok {
			s.cfg.Log.Debug("gossip datagram dropped: authentication or decoding failed")
			continue
		}
		s.cfg.System.Root.Send(s.pid, &gossipMsg{gossip: g})
	}
}

// tick sends ticks to the actor until the Service is closed.
func (s *Service) tick() {
	defer s.wg.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.cfg.System.Root.Send(s.pid, &tickMsg{})
		}
	}
}

// Members returns the known processes, including the local one.
func (s *Service) Members() []*fleetpb.Member { return *s.members.Load() }

// Synced reports whether an exchange has ever found this process's table equal to
// another's.
func (s *Service) Synced() bool { return s.synced.Load() }

// Traffic returns the number of datagrams and bytes sent so far.
func (s *Service) Traffic() Traffic {
	return Traffic{Datagrams: s.datagrams.Load(), Bytes: s.bytes.Load()}
}

// UpdateSelf replaces the local process's record, except its name, incarnation
// and state.
func (s *Service) UpdateSelf(self *fleetpb.Member) {
	next := proto.Clone(self).(*fleetpb.Member)
	next.Udp = s.socket.LocalAddr().String()
	s.cfg.System.Root.Send(s.pid, &updateSelfMsg{self: next})
}

// Leave announces that the local process takes no new work, and returns when the
// first announcements are sent, or after 1 s.
func (s *Service) Leave() {
	_, _ = s.cfg.System.Root.RequestFuture(s.pid, &leaveMsg{}, time.Second).Result()
}

// Close stops probing and waits for the actor to stop.
func (s *Service) Close() error {
	close(s.done)
	err := s.socket.Close()
	s.wg.Wait()
	if e := s.cfg.System.Root.StopFuture(s.pid).Wait(); e != nil {
		return fmt.Errorf("stop membership: %w", e)
	}
	return err
}

// The messages of the actor.
type (
	tickMsg       struct{}
	gossipMsg     struct{ gossip *fleetpb.Gossip }
	updateSelfMsg struct{ self *fleetpb.Member }
	leaveMsg      struct{}
)

// tableActor is the actor that owns the Table.
type tableActor struct {
	service *Service
	table   *Table
}

// Receive handles one message of the mailbox.
func (a *tableActor) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *tickMsg:
		if index := a.service.cfg.DocumentIndex; index != nil {
			a.table.SetDocument(index())
		}
		a.perform(a.table.Step(Tick{}))
	case *gossipMsg:
		a.perform(a.table.Step(Receive{Gossip: msg.gossip}))
		a.service.synced.Store(a.table.Synced())
		if observe := a.service.cfg.ObserveDocument; observe != nil {
			observe(msg.gossip.Document)
		}
	case *updateSelfMsg:
		a.perform(a.table.Step(UpdateSelf{Self: msg.self}))
		a.service.publish(a.table)
	case *leaveMsg:
		a.perform(a.table.Step(Leave{}))
		a.service.publish(a.table)
		ctx.Respond(true)
	}
}

// perform carries out the effects of one step.
func (a *tableActor) perform(effects []Effect) {
	var changed []*fleetpb.Member
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			a.service.send(e)
		case Changed:
			changed = append(changed, e.Member)
		default:
			panic(fmt.Sprintf("member: unhandled effect %T", e))
		}
	}
	if len(changed) == 0 {
		return
	}
	a.service.publish(a.table)
	if a.service.cfg.OnChange != nil {
		a.service.cfg.OnChange(changed)
	}
}

// send writes one datagram. Errors are ignored, as gossip tolerates loss.
func (s *Service) send(e Send) {
	address, err := net.ResolveUDPAddr("udp", e.Address)
	if err != nil {
		return
	}
	b, err := encode(s.cfg.Key, e.Gossip)
	if err != nil {
		s.cfg.Log.Warn("encode gossip datagram failed", zap.Error(err))
		return
	}
	if _, err := s.socket.WriteTo(b, address); err != nil {
		return
	}
	s.datagrams.Add(1)
	s.bytes.Add(uint64(len(b)))
}

// encode returns a datagram: the MAC, then the encoded message.
func encode(key []byte, g *fleetpb.Gossip) ([]byte, error) {
	body, err := proto.Marshal(g)
	if err != nil {
		return nil, err
	}
	return append(mac(key, body), body...), nil
}

// decode authenticates and decodes a datagram. It reports false for one with a
// wrong MAC or an invalid message.
func decode(key, b []byte) (*fleetpb.Gossip, bool) {
	if len(b) < macBytes || !hmac.Equal(b[:macBytes], mac(key, b[macBytes:])) {
		return nil, false
	}
	g := &fleetpb.Gossip{}
	if err := proto.Unmarshal(b[macBytes:], g); err != nil {
		return nil, false
	}
	if g.Kind < fleetpb.GossipKind_GOSSIP_KIND_PING || g.Kind > fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY {
		return nil, false
	}
	return g, true
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macBytes:macBytes]
}
