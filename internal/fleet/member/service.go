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
	// tick is the length of a Table's tick.
	tick = 100 * time.Millisecond
	// macBytes is the size of a datagram's authenticator.
	macBytes = 16
	// maxPacketBytes is the largest datagram that is read.
	maxPacketBytes = 8 << 10
)

// ServiceConfig starts a Service.
type ServiceConfig struct {
	// Address is the UDP address as IP:port; Socket goes before it.
	Address string
	Socket  net.PacketConn
	// Key authenticates the datagrams.
	Key []byte
	// Self describes this process; its UDP address is filled in.
	Self *fleetpb.Member
	// Seeds are the UDP addresses of processes that are usually there.
	Seeds []string
	// Changed is told of changes, those of one datagram together; nil drops
	// them.
	Changed func([]*fleetpb.Member)
	// Document returns the index of the document in force here.
	Document func() uint64
	// Heard is told of document indexes carried by gossip.
	Heard func(index uint64)
	// System hosts the actor.
	System *actor.ActorSystem
	Log    *zap.Logger
}

// Traffic counts what a Service has sent.
type Traffic struct{ Datagrams, Bytes uint64 }

// Service hosts a Table on a UDP socket.
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

// Start opens the socket and begins to probe.
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
	table := NewTable(TableConfig(self, cfg.Seeds))
	s.publish(table)
	host := &host{service: s, table: table}
	s.pid = cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return host }))
	s.wg.Add(2)
	go s.read()
	go s.tick()
	return s, nil
}

// TableConfig returns the timing that a Service uses, in ticks of 100 ms.
func TableConfig(self *fleetpb.Member, seeds []string) Config {
	return Config{
		Self:          self,
		Seeds:         seeds,
		ProbeTicks:    5,
		AckTicks:      2,
		SuspectTicks:  20,
		ForgetTicks:   600,
		ExchangeTicks: 100,
		Random:        rand.IntN,
	}
}

func (s *Service) publish(t *Table) {
	members := t.Members()
	s.members.Store(&members)
}

func (s *Service) read() {
	defer s.wg.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, _, err := s.socket.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		g, ok := open(s.cfg.Key, buf[:n])
		if !ok {
			s.cfg.Log.Debug("datagram without the fleet's key dropped")
			continue
		}
		s.cfg.System.Root.Send(s.pid, &received{gossip: g})
	}
}

func (s *Service) tick() {
	defer s.wg.Done()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-t.C:
			s.cfg.System.Root.Send(s.pid, &ticked{})
		}
	}
}

// Members returns the known processes, this one included.
func (s *Service) Members() []*fleetpb.Member { return *s.members.Load() }

// Synced reports whether this process has ever known all that another knew.
func (s *Service) Synced() bool { return s.synced.Load() }

// Traffic returns what was sent so far.
func (s *Service) Traffic() Traffic {
	return Traffic{Datagrams: s.datagrams.Load(), Bytes: s.bytes.Load()}
}

// Describe replaces what this process says of itself.
func (s *Service) Describe(self *fleetpb.Member) {
	next := proto.Clone(self).(*fleetpb.Member)
	next.Udp = s.socket.LocalAddr().String()
	s.cfg.System.Root.Send(s.pid, &described{self: next})
}

// Leave announces that this process takes no new work, and returns when the
// first datagrams have left.
func (s *Service) Leave() {
	_, _ = s.cfg.System.Root.RequestFuture(s.pid, &left{}, time.Second).Result()
}

// Close stops probing and waits for the actor.
func (s *Service) Close() error {
	close(s.done)
	err := s.socket.Close()
	s.wg.Wait()
	if e := s.cfg.System.Root.StopFuture(s.pid).Wait(); e != nil {
		return fmt.Errorf("stop membership: %w", e)
	}
	return err
}

type (
	ticked    struct{}
	received  struct{ gossip *fleetpb.Gossip }
	described struct{ self *fleetpb.Member }
	left      struct{}
)

// host is the actor that owns the Table.
type host struct {
	service *Service
	table   *Table
}

// Receive takes one message of the mailbox.
func (h *host) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *ticked:
		if d := h.service.cfg.Document; d != nil {
			h.table.SetDocument(d())
		}
		h.carry(h.table.Step(Tick{}))
	case *received:
		h.carry(h.table.Step(Receive{Gossip: msg.gossip}))
		h.service.synced.Store(h.table.Synced())
		if heard := h.service.cfg.Heard; heard != nil {
			heard(msg.gossip.Document)
		}
	case *described:
		h.carry(h.table.Step(Describe{Self: msg.self}))
		h.service.publish(h.table)
	case *left:
		h.carry(h.table.Step(Leave{}))
		h.service.publish(h.table)
		ctx.Respond(true)
	}
}

func (h *host) carry(effects []Effect) {
	var changed []*fleetpb.Member
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			h.service.send(e)
		case Changed:
			changed = append(changed, e.Member)
		default:
			panic(fmt.Sprintf("member: unhandled effect %T", e))
		}
	}
	if len(changed) == 0 {
		return
	}
	h.service.publish(h.table)
	if h.service.cfg.Changed != nil {
		h.service.cfg.Changed(changed)
	}
}

func (s *Service) send(e Send) {
	address, err := net.ResolveUDPAddr("udp", e.Address)
	if err != nil {
		return
	}
	b, err := seal(s.cfg.Key, e.Gossip)
	if err != nil {
		s.cfg.Log.Warn("encode gossip", zap.Error(err))
		return
	}
	if _, err := s.socket.WriteTo(b, address); err != nil {
		return
	}
	s.datagrams.Add(1)
	s.bytes.Add(uint64(len(b)))
}

// seal encodes a datagram behind its authenticator.
func seal(key []byte, g *fleetpb.Gossip) ([]byte, error) {
	body, err := proto.Marshal(g)
	if err != nil {
		return nil, err
	}
	return append(mac(key, body), body...), nil
}

// open checks and decodes a datagram.
func open(key, b []byte) (*fleetpb.Gossip, bool) {
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
