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

// The roles in a Peer.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
	// RoleRelay is an instance at a control address that holds no state and
	// only says where the control instances are.
	RoleRelay = "relay"
)

const (
	// redial is the wait before a control instance is dialled again.
	redial = 100 * time.Millisecond
	// relayAgain is the wait before a relay is asked again, and relaySoon that
	// while no control instance is known to live.
	relayAgain = 2 * time.Second
	relaySoon  = 300 * time.Millisecond
	// joinTime is how long processes may take to watch a control instance that
	// has come back: until then the list from before its loss counts as well.
	joinTime = 2 * time.Second
)

// errRelay ends the stream to a relay, which has nothing more to tell.
var errRelay = errors.New("the instance is a relay")

// FollowerConfig builds a Follower.
type FollowerConfig struct {
	Pool *link.Pool
	// Seeds are the link addresses of control instances to begin with.
	Seeds []string
	// Watch returns what the stream is opened with.
	Watch func() *fleetpb.Watch
	// Take is told of the News of one control instance at a time, before they
	// are acknowledged. It must be safe for concurrent use.
	Take func(*fleetpb.News)
	Log  *zap.Logger
}

// Follower keeps a stream to each control instance. It is safe for concurrent
// use.
type Follower struct {
	cfg    FollowerConfig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	// sources holds the streams by link address.
	sources map[string]*source
	own     string
}

// source is one control instance.
type source struct {
	address string
	stream  *link.Stream
	// peers is its last list, kept while it is away.
	peers     []*fleetpb.Peer
	connected bool
	// before is its list from before it was lost, since when it is back.
	before []*fleetpb.Peer
	since  time.Time
}

// lists returns the processes that the control instance lists.
func (s *source) lists(now time.Time) []*fleetpb.Peer {
	if now.Sub(s.since) < joinTime {
		return slices.Concat(s.peers, s.before)
	}
	return s.peers
}

// NewFollower starts to follow.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{cfg: cfg, sources: make(map[string]*source), own: cfg.Watch().GetSelf().GetLink()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.Add(cfg.Seeds)
	return f
}

// Add follows more control instances.
func (f *Follower) Add(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if a == f.own || f.sources[a] != nil || f.ctx.Err() != nil {
			continue
		}
		s := &source{address: a}
		f.sources[a] = s
		f.wg.Add(1)
		go f.follow(s)
	}
}

// Peers returns the processes of a role that a connected control instance
// lists; where none is connected, those that any listed last.
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

func (f *Follower) collect(out map[string]*fleetpb.Peer, role string, connected bool) int {
	sources, now := 0, time.Now()
	for _, s := range f.sources {
		if connected && !s.connected {
			continue
		}
		sources++
		for _, p := range s.lists(now) {
			if p.Role != role || p.Incarnation < out[p.Name].GetIncarnation() {
				continue
			}
			out[p.Name] = p
		}
	}
	return sources
}

// Connected returns the number of control instances that are followed now.
func (f *Follower) Connected() int { return len(f.Controls()) }

// Controls returns the link addresses of the control instances that are
// followed now.
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

// Tell sends the own record to all control instances again.
func (f *Follower) Tell(self *fleetpb.Peer) {
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
			f.cfg.Log.Warn("own record not told", zap.Error(err))
		}
	}
}

func (f *Follower) follow(s *source) {
	defer f.wg.Done()
	for f.ctx.Err() == nil {
		err := f.watch(f.ctx, s)
		f.disconnected(s, err)
		select {
		case <-f.ctx.Done():
		case <-time.After(f.pause(err)):
		}
	}
}

// pause is the wait before a control instance is followed again after err.
func (f *Follower) pause(err error) time.Duration {
	switch {
	case !errors.Is(err, errRelay):
		return redial
	case f.Connected() == 0:
		return relaySoon
	default:
		return relayAgain
	}
}

func (f *Follower) disconnected(s *source, err error) {
	f.mu.Lock()
	was := s.connected
	s.connected = false
	s.stream = nil
	f.mu.Unlock()
	if was {
		f.cfg.Log.Warn("control instance lost", zap.String("peer", s.address), zap.Error(err))
	}
}

// watch follows one stream until it ends.
func (f *Follower) watch(ctx context.Context, s *source) error {
	st, err := f.cfg.Pool.OpenStream(ctx, s.address)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: f.cfg.Watch()}}); err != nil {
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
		if relayed(s.address, n) {
			f.Add(controls(n))
			return errRelay
		}
		f.take(s, st, n)
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_NewsSeen{NewsSeen: &fleetpb.NewsSeen{Seq: n.Seq}}}); err != nil {
			return err
		}
	}
}

func (f *Follower) take(s *source, st *link.Stream, n *fleetpb.News) {
	f.mu.Lock()
	if !s.connected {
		f.cfg.Log.Info("control instance found", zap.String("peer", s.address))
		s.before, s.since = s.peers, time.Now()
	}
	s.connected = true
	s.stream = st
	if n.WholePeers {
		s.peers = n.Peers
	}
	f.mu.Unlock()
	f.Add(controls(n))
	f.cfg.Take(n)
}

// controls returns the link addresses of the control instances in News.
func controls(n *fleetpb.News) []string {
	var out []string
	for _, p := range n.Peers {
		if p.Role == RoleControl {
			out = append(out, p.Link)
		}
	}
	return out
}

// relayed reports whether News come from a relay at address.
func relayed(address string, n *fleetpb.News) bool {
	for _, p := range n.Peers {
		if p.Link == address && p.Role == RoleRelay {
			return true
		}
	}
	return false
}

// Close ends all streams and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
