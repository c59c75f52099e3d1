package watch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Roles in a Peer record.
const (
	// RoleEntry is a gateway.
	RoleEntry = "entry"
	// RoleControl is a registry, which holds a replica of the Raft log.
	RoleControl = "control"
	// RoleRelay is an instance at a control address that holds no state and
	// only lists the control instances.
	RoleRelay = "relay"
)

const (
	// redialDelay is the delay before a control instance is dialled again.
	redialDelay = 100 * time.Millisecond
	// relayPollInterval is the delay before a relay is queried again, and
	// relayFastPollInterval that delay while no control instance is connected.
	relayPollInterval     = 2 * time.Second
	relayFastPollInterval = 300 * time.Millisecond
	// rejoinGracePeriod is how long processes may take to reconnect to a control
	// instance that has come back. Until it ends, the peers that the instance
	// listed before it was lost count as well.
	rejoinGracePeriod = 2 * time.Second
)

// errRelay ends the stream to a relay, which sends nothing after its list of
// control instances.
var errRelay = errors.New("instance is a relay")

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Pool *link.Pool
	// Seeds are the link addresses of the first control instances to connect to.
	Seeds []string
	// WatchRequest returns the message that opens a stream.
	WatchRequest func() *fleetpb.Watch
	// OnNews is called for each News message before it is acknowledged. Calls
	// for one control instance are sequential; those for different instances
	// are concurrent.
	OnNews func(*fleetpb.News)
	Log    *zap.Logger
}

// Follower keeps a stream to each control instance. It is safe for concurrent
// use.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// sources holds the control instances by link address.
	sources map[string]*source
	// self is the link address of this process, which is never dialled.
	self string
}

// source is a control instance that is followed.
type source struct {
	address string
	stream  *link.Stream
	// peers is the last list that it sent, kept while it is disconnected.
	peers     []*fleetpb.Peer
	connected bool
	// previousPeers is the list from before it last reconnected, at
	// connectedAt.
	previousPeers []*fleetpb.Peer
	connectedAt   time.Time
}

// listed returns the processes that the control instance lists, including those
// from before it reconnected while rejoinGracePeriod lasts.
func (s *source) listed(now time.Time) []*fleetpb.Peer {
	if now.Sub(s.connectedAt) < rejoinGracePeriod {
		return slices.Concat(s.peers, s.previousPeers)
	}
	return s.peers
}

// NewFollower returns a Follower that connects to the seeds.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, sources: make(map[string]*source), self: cfg.WatchRequest().GetSelf().GetLink()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.Add(cfg.Seeds)
	return f
}

// Add starts to follow the control instances at the given link addresses, unless
// they are followed already.
func (f *Follower) Add(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if a == f.self || f.sources[a] != nil || f.ctx.Err() != nil {
			continue
		}
		s := &source{address: a}
		f.sources[a] = s
		f.wg.Add(1)
		go f.follow(s)
	}
}

// Peers returns the processes of a role that any connected control instance
// lists. If none is connected, it uses the last list of every instance.
func (f *Follower) Peers(role string) []*fleetpb.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]*fleetpb.Peer)
	if f.collect(out, role, true) == 0 {
		f.collect(out, role, false)
	}
	list := make([]*fleetpb.Peer, 0, len(out))
	for _, p := range out {
		list = append(list, p)
	}
	return list
}

// collect adds the peers of a role to out, by name and with their latest
// incarnation, and returns the number of control instances it read. With
// connectedOnly it skips disconnected ones. The caller holds mu.
func (f *Follower) collect(out map[string]*fleetpb.Peer, role string, connectedOnly bool) int {
	sources, now := 0, time.Now()
	for _, s := range f.sources {
		if connectedOnly && !s.connected {
			continue
		}
		sources++
		for _, p := range s.listed(now) {
			if p.Role != role || p.Incarnation < out[p.Name].GetIncarnation() {
				continue
			}
			out[p.Name] = p
		}
	}
	return sources
}

// ConnectedCount returns the number of connected control instances.
func (f *Follower) ConnectedCount() int { return len(f.Controls()) }

// Controls returns the link addresses of the connected control instances.
func (f *Follower) Controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, s := range f.sources {
		if s.connected {
			out = append(out, s.address)
		}
	}
	return out
}

// UpdateSelf sends a changed record of this process to all connected control
// instances.
func (f *Follower) UpdateSelf(self *fleetpb.Peer) {
	f.mu.Lock()
	var streams []*link.Stream
	for _, s := range f.sources {
		if s.connected {
			streams = append(streams, s.stream)
		}
	}
	f.mu.Unlock()
	for _, st := range streams {
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_NewsSeen{NewsSeen: &fleetpb.NewsSeen{Self: self}}}); err != nil {
			f.cfg.Log.Warn("could not send own peer record", zap.Error(err))
		}
	}
}

// follow keeps a stream to s until the Follower is closed.
func (f *Follower) follow(s *source) {
	defer f.wg.Done()
	for f.ctx.Err() == nil {
		err := f.runStream(f.ctx, s)
		f.markDisconnected(s, err)
		select {
		case <-f.ctx.Done():
		case <-time.After(f.reconnectDelay(err)):
		}
	}
}

// reconnectDelay returns the delay before the next stream after one ended with
// err.
func (f *Follower) reconnectDelay(err error) time.Duration {
	switch {
	case !errors.Is(err, errRelay):
		return redialDelay
	case f.ConnectedCount() == 0:
		return relayFastPollInterval
	default:
		return relayPollInterval
	}
}

func (f *Follower) markDisconnected(s *source, err error) {
	f.mu.Lock()
	wasConnected := s.connected
	s.connected = false
	s.stream = nil
	f.mu.Unlock()
	if wasConnected {
		f.cfg.Log.Warn("control instance lost", zap.String("peer", s.address), zap.Error(err))
	}
}

// runStream opens a stream to s and handles its News until it ends.
func (f *Follower) runStream(ctx context.Context, s *source) error {
	st, err := f.cfg.Pool.OpenStream(ctx, s.address)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: f.cfg.WatchRequest()}}); err != nil {
		return err
	}
	for {
		e, err := st.Recv()
		if err != nil {
			return err
		}
		n := e.GetNews()
		if n == nil {
			continue
		}
		if fromRelay(s.address, n) {
			f.Add(controlAddresses(n))
			return errRelay
		}
		f.handleNews(s, st, n)
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_NewsSeen{NewsSeen: &fleetpb.NewsSeen{Seq: n.Seq}}}); err != nil {
			return err
		}
	}
}

func (f *Follower) handleNews(s *source, st *link.Stream, n *fleetpb.News) {
	f.mu.Lock()
	if !s.connected {
		f.cfg.Log.Info("control instance found", zap.String("peer", s.address))
		s.previousPeers, s.connectedAt = s.peers, time.Now()
	}
	s.connected = true
	s.stream = st
	if n.WholePeers {
		s.peers = n.Peers
	}
	f.mu.Unlock()
	f.Add(controlAddresses(n))
	f.cfg.OnNews(n)
}

// controlAddresses returns the link addresses of the control instances that a
// News message lists.
func controlAddresses(n *fleetpb.News) []string {
	var out []string
	for _, p := range n.Peers {
		if p.Role == RoleControl {
			out = append(out, p.Link)
		}
	}
	return out
}

// fromRelay reports whether the sender of a News message, at address, is a relay.
func fromRelay(address string, n *fleetpb.News) bool {
	for _, p := range n.Peers {
		if p.Link == address && p.Role == RoleRelay {
			return true
		}
	}
	return false
}

// Close ends all streams and waits until their goroutines have returned.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
