package watch

import (
	"context"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// watcherQueueSize bounds the News messages queued for one watcher. A watcher
	// that falls further behind is disconnected and must open a new stream.
	watcherQueueSize = 256
	// ackTimeout is how long a watcher may leave News unacknowledged.
	ackTimeout = 1500 * time.Millisecond
	// refreshInterval is the time between News messages that only report which
	// upstreams are alive.
	refreshInterval = 300 * time.Millisecond
)

// HubConfig configures a Hub.
type HubConfig struct {
	// Self returns this control instance's own record.
	Self func() *fleetpb.Peer
	// Table holds the known upstreams.
	Table *catalog.Table
	// Voters returns the link addresses of the voters of the Raft log.
	Voters func() []string
	Log    *zap.Logger
}

// Hub pushes each change to its watchers. It is safe for concurrent use.
type Hub struct {
	cfg          HubConfig
	mu           sync.Mutex
	watchers     map[*watcher]bool
	siteDocument *statepb.Adopted
	// refreshed holds the IDs of upstreams that announced themselves without a
	// change since the last refresh.
	refreshed map[string]bool
	done      chan struct{}
	wg        sync.WaitGroup
}

// watcher is the stream to one process.
type watcher struct {
	peer  *fleetpb.Peer
	queue chan *fleetpb.News
	// seq numbers the last News queued, acked the last one acknowledged.
	seq   uint64
	acked uint64
	// unackedSince is the time since which News are unacknowledged, zero if none
	// are.
	unackedSince time.Time
	// ackSignal is closed at the next acknowledgement and when the watcher is
	// removed.
	ackSignal   chan struct{}
	queueClosed bool
}

// closeQueue makes Serve return after it has sent what is queued. The caller
// holds the hub's mu.
func (w *watcher) closeQueue() {
	if !w.queueClosed {
		w.queueClosed = true
		close(w.queue)
	}
}

// NewHub returns a Hub without watchers.
func NewHub(cfg HubConfig) *Hub {
	h := &Hub{
		cfg:       cfg,
		watchers:  make(map[*watcher]bool),
		refreshed: make(map[string]bool),
		done:      make(chan struct{}),
	}
	h.wg.Add(1)
	go h.refreshLoop()
	return h
}

// SetSiteDocument publishes a site document unless its version is at most that of
// the current one.
func (h *Hub) SetSiteDocument(a *statepb.Adopted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.GetVersion() <= h.siteDocument.GetVersion() {
		return
	}
	h.siteDocument = a
	h.publish(&fleetpb.News{Adopted: a})
}

// Merge applies the upstreams in a News message of another control instance.
// Those that it only reports as alive are not passed on: every process follows
// that instance itself.
func (h *Hub) Merge(n *fleetpb.News) {
	now := time.Now()
	for _, u := range n.Upstreams {
		h.merge(catalog.FromProto(u, now))
	}
	RefreshUpstreams(h.cfg.Table, n, now)
}

// RefreshUpstreams records in a table the upstreams that a News message, received
// at now, reports as alive.
func RefreshUpstreams(t *catalog.Table, n *fleetpb.News, now time.Time) {
	for _, u := range n.Heard {
		t.Refresh(u.Id, u.Seq, now.Add(-time.Duration(u.AgeMs)*time.Millisecond))
	}
}

// Announce applies the announcement that an upstream made to this instance. If it
// changes anything, Announce returns once every watcher has acknowledged it or
// ctx is done.
func (h *Hub) Announce(ctx context.Context, u catalog.Upstream) catalog.Outcome {
	outcome := h.merge(u)
	if outcome == catalog.Changed {
		h.waitAcked(ctx)
	}
	return outcome
}

func (h *Hub) merge(u catalog.Upstream) catalog.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := h.cfg.Table.Merge(u)
	switch outcome {
	case catalog.Changed:
		if merged, ok := h.cfg.Table.Get(u.ID); ok {
			h.publish(&fleetpb.News{Upstreams: []*fleetpb.UpstreamWord{merged.Proto(time.Now())}})
		}
	case catalog.Refreshed:
		h.refreshed[u.ID] = true
	case catalog.Stale:
	}
	return outcome
}

// publish queues a News message for all watchers. The caller holds mu.
func (h *Hub) publish(n *fleetpb.News) {
	for w := range h.watchers {
		h.enqueue(w, n)
	}
}

// enqueue numbers a News message and queues it for one watcher. It closes the
// queue of a watcher that is too far behind. The caller holds mu.
func (h *Hub) enqueue(w *watcher, n *fleetpb.News) {
	if w.queueClosed {
		return
	}
	if w.peer.GetRole() == RoleRelay {
		// A relay needs only the list of processes.
		if !n.WholePeers {
			return
		}
		n = &fleetpb.News{Peers: n.Peers, WholePeers: true}
	}
	w.seq++
	if w.unackedSince.IsZero() {
		w.unackedSince = time.Now()
	}
	numbered := &fleetpb.News{Seq: w.seq, Upstreams: n.Upstreams, Heard: n.Heard, Adopted: n.Adopted, Peers: n.Peers, WholePeers: n.WholePeers}
	select {
	case w.queue <- numbered:
	default:
		w.closeQueue()
	}
}

// waitAcked returns once all watchers have acknowledged everything published
// before the call, or ctx is done.
func (h *Hub) waitAcked(ctx context.Context) {
	h.mu.Lock()
	target := make(map[*watcher]uint64, len(h.watchers))
	for w := range h.watchers {
		target[w] = w.seq
	}
	h.mu.Unlock()
	for w, seq := range target {
		h.waitWatcherAcked(ctx, w, seq)
	}
}

// waitWatcherAcked returns once a watcher has acknowledged seq or is removed, or
// ctx is done.
func (h *Hub) waitWatcherAcked(ctx context.Context, w *watcher, seq uint64) {
	for {
		h.mu.Lock()
		done := w.acked >= seq || !h.watchers[w]
		ackSignal := w.ackSignal
		h.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			h.cfg.Log.Warn("watcher did not acknowledge a change in time", zap.String("watcher", w.peer.GetName()))
			return
		case <-ackSignal:
		}
	}
}

// Serve sends a watcher the whole known state and then each change, until its
// stream ends or ctx is done. It merges the upstreams that the watcher knows
// first, which restores them after all control processes were lost.
func (h *Hub) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Watch) {
	h.Merge(&fleetpb.News{Upstreams: first.Upstreams})
	w := h.addWatcher(first)
	h.cfg.Log.Info("watcher joined", zap.String("watcher", w.peer.GetName()), zap.String("kind", w.peer.GetRole()))
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	h.wg.Add(1)
	go h.receiveAcks(st, w)
	for n := range w.queue {
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: n}}); err != nil {
			break
		}
	}
	st.Close()
	h.removeWatcher(w)
	h.cfg.Log.Info("watcher left", zap.String("watcher", w.peer.GetName()), zap.Bool("behind", w.queueClosed))
}

// addWatcher registers a watcher, queues the whole known state for it and
// publishes the new list of processes.
func (h *Hub) addWatcher(first *fleetpb.Watch) *watcher {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &watcher{peer: first.Self, queue: make(chan *fleetpb.News, watcherQueueSize), ackSignal: make(chan struct{})}
	h.watchers[w] = true
	all := &fleetpb.News{}
	for _, u := range h.cfg.Table.All() {
		all.Upstreams = append(all.Upstreams, u.Proto(now))
	}
	if h.siteDocument.GetVersion() > first.Version {
		all.Adopted = h.siteDocument
	}
	h.enqueue(w, all)
	h.publish(h.peerList())
	return w
}

func (h *Hub) removeWatcher(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeWatcherLocked(w)
}

// removeWatcherLocked removes a watcher, ends its stream and publishes the new
// list of processes. The caller holds mu.
func (h *Hub) removeWatcherLocked(w *watcher) {
	if !h.watchers[w] {
		return
	}
	delete(h.watchers, w)
	close(w.ackSignal)
	w.closeQueue()
	h.publish(h.peerList())
}

// peerList returns a News message that lists this instance, its watchers and the
// other control instances. The caller holds mu.
func (h *Hub) peerList() *fleetpb.News {
	n := &fleetpb.News{WholePeers: true, Peers: []*fleetpb.Peer{h.cfg.Self()}}
	known := map[string]bool{n.Peers[0].Link: true}
	for w := range h.watchers {
		n.Peers = append(n.Peers, w.peer)
		known[w.peer.GetLink()] = true
	}
	for _, address := range h.cfg.Voters() {
		if !known[address] {
			n.Peers = append(n.Peers, &fleetpb.Peer{Name: address, Role: RoleControl, Link: address})
		}
	}
	sort.Slice(n.Peers, func(i, j int) bool { return n.Peers[i].Name < n.Peers[j].Name })
	return n
}

// receiveAcks handles a watcher's acknowledgements until its stream ends.
func (h *Hub) receiveAcks(st *link.Stream, w *watcher) {
	defer h.wg.Done()
	for {
		e, err := st.Recv()
		if err != nil {
			h.removeWatcher(w)
			return
		}
		h.acknowledge(w, e.GetNewsSeen())
	}
}

// acknowledge applies an acknowledgement, which may carry a changed record of the
// watcher.
func (h *Hub) acknowledge(w *watcher, ack *fleetpb.NewsSeen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.watchers[w] {
		return
	}
	if self := ack.GetSelf(); self != nil {
		w.peer = self
		h.publish(h.peerList())
	}
	if ack.GetSeq() > w.acked {
		w.acked, w.unackedSince = ack.GetSeq(), time.Time{}
		if w.acked < w.seq {
			w.unackedSince = time.Now()
		}
	}
	close(w.ackSignal)
	w.ackSignal = make(chan struct{})
}

// refreshLoop publishes at each refreshInterval which upstreams are alive, and
// disconnects unresponsive watchers.
func (h *Hub) refreshLoop() {
	defer h.wg.Done()
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-t.C:
			h.publishRefreshed(now)
			h.dropUnresponsive(now)
		}
	}
}

// publishRefreshed publishes which upstreams announced themselves without a
// change since the last call.
func (h *Hub) publishRefreshed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &fleetpb.News{}
	for id := range h.refreshed {
		if u, ok := h.cfg.Table.Get(id); ok {
			age := max(0, now.Sub(u.LastSeen).Milliseconds())
			n.Heard = append(n.Heard, &fleetpb.Heard{Id: u.ID, Seq: u.Seq, AgeMs: uint32(age)})
		}
	}
	clear(h.refreshed)
	if len(n.Heard) > 0 {
		h.publish(n)
	}
}

// dropUnresponsive ends the streams of watchers that acknowledge nothing, such as
// frozen processes: other processes must not consider them alive.
func (h *Hub) dropUnresponsive(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		if w.queueClosed || w.unackedSince.IsZero() || now.Sub(w.unackedSince) < ackTimeout {
			continue
		}
		h.cfg.Log.Warn("watcher silent, dropped", zap.String("watcher", w.peer.GetName()), zap.Uint64("seen", w.acked), zap.Uint64("told", w.seq))
		h.removeWatcherLocked(w)
	}
}

// WatcherCount returns the number of watchers.
func (h *Hub) WatcherCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}

// Close ends all streams and waits until the hub's goroutines have returned.
func (h *Hub) Close() error {
	close(h.done)
	h.mu.Lock()
	for w := range h.watchers {
		w.closeQueue()
	}
	h.mu.Unlock()
	h.wg.Wait()
	return nil
}
