package watch

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
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
	// redialDelay is the delay before a control instance is dialled again the first
	// time. It doubles with each failure up to maxRedialDelay, and half of it is
	// random, so that processes that lost an instance together do not return at once.
	redialDelay    = 100 * time.Millisecond
	maxRedialDelay = 400 * time.Millisecond
	// relayPollInterval is the delay before a relay is queried again, and
	// relayFastPollInterval that delay while no control instance is connected.
	relayPollInterval     = 15 * time.Second
	relayFastPollInterval = 300 * time.Millisecond
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
	// OnDocument puts a site document in force that is newer than any before. Calls
	// are sequential. After an error, the control instances are not told that the
	// document is in force. nil asks for no documents.
	OnDocument func(*statepb.Adopted) error
	// OnEvacuations puts evacuated zones in force that are newer than any before. It
	// returns once nothing is sent there any more. Calls are sequential; nil ignores them.
	OnEvacuations func(*statepb.Evacuations)
	// OnSilence is called with the IDs of the upstreams that no connected control
	// instance hears, whenever the set changes; nil ignores them. It must not call the
	// Follower.
	OnSilence func(ids map[string]bool)
	// Digests returns the digests of the known upstreams. A Follower compares them with
	// those of the control instances, and asks for what differs; nil compares nothing.
	Digests func() catalog.Digests
	// Departed returns the upstreams that are draining or have left, for a control
	// instance that has lost its state: a delayed announcement must not bring them
	// back. nil returns none.
	Departed func() []*fleetpb.UpstreamWord
	// Lacking returns the known upstreams in the given buckets that a control instance
	// with the given ones has lost; nil returns none.
	Lacking func(buckets []uint32, known []*fleetpb.UpstreamWord) []*fleetpb.UpstreamWord
	// Now is a clock that also counts while the machine is suspended; nil uses the
	// system's.
	Now func() time.Duration
	Log *zap.Logger
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
	// comparedAt is when a control instance was last asked for what differs. One is
	// asked at a time: what it sends may settle the difference to the others.
	comparedAt time.Time
	// silent holds the IDs last passed to OnSilence.
	silent map[string]bool
	// received counts what has come from all control instances.
	received Received
	// freshness is whether the present state is known.
	freshness freshness
	// documents is what is known of the site document.
	documents documents
	// evacuations is what is known of the evacuated zones.
	evacuations evacuations
	// applying is held while a document or evacuated zones are put in force. It is locked before mu.
	applying sync.Mutex
	// view is the present list of processes, nil after a change.
	view atomic.Pointer[View]
	// self is the link address of this process, which is never dialled.
	self string
}

// NewFollower returns a Follower that connects to the seeds.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Now == nil {
		cfg.Now = BootTime
	}
	first := cfg.WatchRequest()
	f := &Follower{cfg: cfg, sources: make(map[string]*source), self: first.GetSelf().GetLink(), documents: newDocuments(first)}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.Add(cfg.Seeds)
	f.wg.Add(1)
	go f.fetchLoop()
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
		s := newSource(a)
		f.sources[a] = s
		f.wg.Add(1)
		go f.follow(s)
	}
}

// Peers returns the processes of a role in the present View.
func (f *Follower) Peers(role string) []*fleetpb.Peer { return f.View().Peers(role) }

// View returns the present list of processes. It returns the same View until
// something changes.
func (f *Follower) View() *View {
	now := time.Now()
	if v := f.view.Load(); v != nil && (v.validUntil.IsZero() || now.Before(v.validUntil)) {
		return v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	v := newView(f.sources, now)
	f.view.Store(v)
	return v
}

// Received returns what has come from all control instances so far.
func (f *Follower) Received() Received {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
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
func (f *Follower) UpdateSelf(self *fleetpb.Peer) { f.tellAll(&fleetpb.NewsSeen{Self: self}) }

// tellAll sends a message to all connected control instances.
func (f *Follower) tellAll(seen *fleetpb.NewsSeen) {
	f.mu.Lock()
	var streams []*link.Stream
	for _, s := range f.sources {
		if s.connected {
			streams = append(streams, s.stream)
		}
	}
	f.mu.Unlock()
	for _, st := range streams {
		f.tell(st, seen)
	}
}

// tell sends a message to one control instance. If that fails, its stream ends, and
// the next one begins with the present state of this process.
func (f *Follower) tell(st *link.Stream, seen *fleetpb.NewsSeen) {
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_NewsSeen{NewsSeen: seen}}); err != nil {
		f.cfg.Log.Warn("could not send to a control instance", zap.Error(err))
	}
}

// follow keeps a stream to s until the Follower is closed.
func (f *Follower) follow(s *source) {
	defer f.wg.Done()
	delay := redialDelay
	for f.ctx.Err() == nil {
		err := f.runStream(f.ctx, s)
		if f.markDisconnected(s, err) {
			delay = redialDelay
		}
		select {
		case <-f.ctx.Done():
		case <-time.After(f.reconnectDelay(err, delay)):
		}
		delay = min(2*delay, maxRedialDelay)
	}
}

// reconnectDelay returns the delay before the next stream after one ended with
// err.
func (f *Follower) reconnectDelay(err error, delay time.Duration) time.Duration {
	switch {
	case !errors.Is(err, errRelay):
		return delay/2 + rand.N(delay/2)
	case f.ConnectedCount() == 0:
		return relayFastPollInterval
	default:
		return relayPollInterval
	}
}

// markDisconnected records the end of a stream with err, and reports whether the
// control instance had been connected.
func (f *Follower) markDisconnected(s *source, err error) bool {
	f.mu.Lock()
	wasConnected := s.connected
	s.connected = false
	s.stream = nil
	if f.documents.asked == s {
		f.documents.asked = nil
	}
	f.view.Store(nil)
	f.updateSilence()
	f.signalCurrent()
	f.mu.Unlock()
	f.documents.wakeUp()
	if wasConnected {
		f.cfg.Log.Warn("control instance lost", zap.String("peer", s.address), zap.Error(err))
	}
	return wasConnected
}

// updateSilence passes on which upstreams no connected control instance hears, if
// that has changed. Without a connected instance it stays as it is. The caller holds
// mu.
func (f *Follower) updateSilence() {
	if f.cfg.OnSilence == nil {
		return
	}
	var silent map[string]bool
	for _, s := range f.sources {
		switch {
		case !s.connected:
		case silent == nil:
			silent = maps.Clone(s.silent)
		default:
			maps.DeleteFunc(silent, func(id string, _ bool) bool { return !s.silent[id] })
		}
	}
	if silent == nil || maps.Equal(silent, f.silent) {
		return
	}
	f.silent = silent
	f.cfg.OnSilence(silent)
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
	if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Watch{Watch: f.request(s)}}); err != nil {
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
		f.cfg.OnNews(n)
		f.applyEvacuations(n.Evacuations)
		f.handleNews(s, st, n)
		f.applyDocument(n.Adopted)
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_NewsSeen{NewsSeen: f.acknowledgement(s, n)}}); err != nil {
			return err
		}
	}
}

// acknowledgement returns the answer to a News, with what the control instance lacks.
func (f *Follower) acknowledgement(s *source, n *fleetpb.News) *fleetpb.NewsSeen {
	f.mu.Lock()
	s.ackedAt = f.cfg.Now()
	f.mu.Unlock()
	seen := &fleetpb.NewsSeen{Seq: n.Seq, Digests: f.compare(s, n, time.Now()), Document: f.documentInForce().proto(), EvacuationIndex: f.evacuationsInForce()}
	if n.Whole && f.cfg.Departed != nil {
		seen.Upstreams = f.cfg.Departed()
	}
	if len(n.Buckets) > 0 && f.cfg.Lacking != nil {
		seen.Upstreams = append(seen.Upstreams, f.cfg.Lacking(n.Buckets, n.Upstreams)...)
	}
	return seen
}

// compare returns the digests of this process if they differ from that of s, for a
// while or right after it was joined, and no control instance was asked for the
// difference recently. A process that has been out of touch asks at once.
func (f *Follower) compare(s *source, n *fleetpb.News, now time.Time) []uint64 {
	if f.cfg.Digests == nil {
		return nil
	}
	own := f.cfg.Digests()
	f.mu.Lock()
	defer f.mu.Unlock()
	differs := s.differs(own.Sum(), n.Digest, now) || n.Whole && own.Sum() != n.Digest
	due := differs && now.Sub(f.comparedAt) >= digestDelay
	if !due && !(f.freshness.behind && own.Sum() != n.Digest) {
		return nil
	}
	f.comparedAt, s.differsSince = now, now
	f.cfg.Log.Info("upstreams differ from those of a control instance; comparing", zap.String("peer", s.address))
	return own[:]
}

// request returns the message that opens a stream to s, with the last change seen.
func (f *Follower) request(s *source) *fleetpb.Watch {
	w := f.cfg.WatchRequest()
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Incarnation, w.Seq, w.EvacuationIndex = s.incarnation, s.seq, f.evacuations.inForce
	s.ackedAt = f.cfg.Now()
	return w
}

// handleNews takes over the processes and the silent upstreams of a News.
func (f *Follower) handleNews(s *source, st *link.Stream, n *fleetpb.News) {
	agrees := f.cfg.Digests == nil || f.cfg.Digests().Sum() == n.Digest
	f.mu.Lock()
	joined := !s.connected
	if joined {
		f.cfg.Log.Info("control instance found", zap.String("peer", s.address), zap.Bool("whole", n.Whole))
		s.connectedAt, s.previousPeers = time.Now(), nil
	}
	s.connected, s.stream = true, st
	s.apply(n)
	f.received = f.received.with(n)
	f.freshness.confirm(s.ackedAt, f.cfg.Now(), agrees)
	if n.EvacuationIndex > 0 {
		f.freshness.zonesKnown = max(f.freshness.zonesKnown, s.ackedAt)
	}
	f.signalCurrent()
	if joined || len(n.Peers) > 0 || len(n.Gone) > 0 {
		f.view.Store(nil)
	}
	if joined || len(n.Upstreams) > 0 {
		f.updateSilence()
	}
	f.mu.Unlock()
	f.documents.wakeUp()
	f.Add(controlAddresses(n))
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
