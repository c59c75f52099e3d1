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
	// watcherQueue is the number of News that wait for one watcher; one that
	// falls further behind must watch anew.
	watcherQueue = 256
	// silence is how long a watcher may leave News unacknowledged.
	silence = 1500 * time.Millisecond
	// refreshEvery is the time between News that only show that upstreams live.
	refreshEvery = 300 * time.Millisecond
)

// HubConfig builds a Hub.
type HubConfig struct {
	// Self returns this control instance's own record.
	Self func() *fleetpb.Peer
	// Table holds the upstreams.
	Table *catalog.Table
	// Voters returns the link addresses of the instances that hold the log.
	Voters func() []string
	Log    *zap.Logger
}

// Hub tells watchers of each change. It is safe for concurrent use.
type Hub struct {
	cfg       HubConfig
	mu        sync.Mutex
	watchers  map[*watcher]bool
	adopted   *statepb.Adopted
	refreshed map[string]bool
	done      chan struct{}
	wg        sync.WaitGroup
}

// watcher is one stream to a process.
type watcher struct {
	peer  *fleetpb.Peer
	queue chan *fleetpb.News
	seq   uint64
	seen  uint64
	// owing is since when News are unacknowledged, zero where none are.
	owing  time.Time
	moved  chan struct{}
	behind bool
}

// end lets the sender finish what is queued and end. The hub's mu is held.
func (w *watcher) end() {
	if !w.behind {
		w.behind = true
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
	go h.refresh()
	return h
}

// Adopt tells of a new site document. An older one than known is dropped.
func (h *Hub) Adopt(a *statepb.Adopted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.GetVersion() <= h.adopted.GetVersion() {
		return
	}
	h.adopted = a
	h.publish(&fleetpb.News{Adopted: a})
}

// Merge takes over what another control instance tells of upstreams. What it
// only heard of is not passed on: every process follows that instance itself.
func (h *Hub) Merge(n *fleetpb.News) {
	now := time.Now()
	for _, w := range n.Upstreams {
		h.merge(catalog.FromProto(w, now))
	}
	TakeHeard(h.cfg.Table, n, now)
}

// TakeHeard notes in a table which upstreams live by News received at now.
func TakeHeard(t *catalog.Table, n *fleetpb.News, now time.Time) {
	for _, w := range n.Heard {
		t.Refresh(w.Id, w.Seq, now.Add(-time.Duration(w.AgeMs)*time.Millisecond))
	}
}

// Announce takes over an upstream's own word. Where it changes anything, it
// waits until every watcher has it, or until ctx ends.
func (h *Hub) Announce(ctx context.Context, u catalog.Upstream) catalog.Outcome {
	outcome := h.merge(u)
	if outcome == catalog.Changed {
		h.wait(ctx)
	}
	return outcome
}

func (h *Hub) merge(u catalog.Upstream) catalog.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := h.cfg.Table.Merge(u)
	switch outcome {
	case catalog.Changed:
		if held, ok := h.cfg.Table.Get(u.ID); ok {
			h.publish(&fleetpb.News{Upstreams: []*fleetpb.UpstreamWord{held.Proto(time.Now())}})
		}
	case catalog.Refreshed:
		h.refreshed[u.ID] = true
	case catalog.Stale:
	}
	return outcome
}

// publish queues News for all watchers. The caller holds mu.
func (h *Hub) publish(n *fleetpb.News) {
	for w := range h.watchers {
		h.queue(w, n)
	}
}

func (h *Hub) queue(w *watcher, n *fleetpb.News) {
	if w.behind {
		return
	}
	if w.peer.GetRole() == RoleRelay {
		// A relay only tells where control instances are.
		if !n.WholePeers {
			return
		}
		n = &fleetpb.News{Peers: n.Peers, WholePeers: true}
	}
	w.seq++
	if w.owing.IsZero() {
		w.owing = time.Now()
	}
	own := &fleetpb.News{Seq: w.seq, Upstreams: n.Upstreams, Heard: n.Heard, Adopted: n.Adopted, Peers: n.Peers, WholePeers: n.WholePeers}
	select {
	case w.queue <- own:
	default:
		w.end()
	}
}

// wait returns once all watchers have seen what was published before.
func (h *Hub) wait(ctx context.Context) {
	h.mu.Lock()
	wanted := make(map[*watcher]uint64, len(h.watchers))
	for w := range h.watchers {
		wanted[w] = w.seq
	}
	h.mu.Unlock()
	for w, seq := range wanted {
		h.waitFor(ctx, w, seq)
	}
}

func (h *Hub) waitFor(ctx context.Context, w *watcher, seq uint64) {
	for {
		h.mu.Lock()
		done := w.seen >= seq || !h.watchers[w]
		moved := w.moved
		h.mu.Unlock()
		if done {
			return
		}
		select {
		case <-ctx.Done():
			h.cfg.Log.Warn("watcher has not seen the change", zap.String("watcher", w.peer.GetName()))
			return
		case <-moved:
		}
	}
}

// Serve tells a watcher of everything known and of each change until its
// stream ends.
func (h *Hub) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Watch) {
	h.Merge(&fleetpb.News{Upstreams: first.Upstreams})
	w := h.join(first)
	h.cfg.Log.Info("watcher joined", zap.String("watcher", w.peer.GetName()), zap.String("kind", w.peer.GetRole()))
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	h.wg.Add(1)
	go h.receive(st, w)
	for n := range w.queue {
		if err := st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_News{News: n}}); err != nil {
			break
		}
	}
	st.Close()
	h.leave(w)
	h.cfg.Log.Info("watcher left", zap.String("watcher", w.peer.GetName()), zap.Bool("behind", w.behind))
}

func (h *Hub) join(first *fleetpb.Watch) *watcher {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	w := &watcher{peer: first.Self, queue: make(chan *fleetpb.News, watcherQueue), moved: make(chan struct{})}
	h.watchers[w] = true
	all := &fleetpb.News{}
	for _, u := range h.cfg.Table.All() {
		all.Upstreams = append(all.Upstreams, u.Proto(now))
	}
	if h.adopted.GetVersion() > first.Version {
		all.Adopted = h.adopted
	}
	h.queue(w, all)
	h.publish(h.peers())
	return w
}

func (h *Hub) leave(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(w)
}

// remove forgets a watcher and ends its stream. The caller holds mu.
func (h *Hub) remove(w *watcher) {
	if !h.watchers[w] {
		return
	}
	delete(h.watchers, w)
	close(w.moved)
	w.end()
	h.publish(h.peers())
}

// peers lists this instance, its watchers and the other control instances. The
// caller holds mu.
func (h *Hub) peers() *fleetpb.News {
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

// receive takes the watcher's acknowledgements.
func (h *Hub) receive(st *link.Stream, w *watcher) {
	defer h.wg.Done()
	for {
		e, err := st.Recv()
		if err != nil {
			h.leave(w)
			return
		}
		h.acknowledge(w, e.GetNewsSeen())
	}
}

func (h *Hub) acknowledge(w *watcher, seen *fleetpb.NewsSeen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.watchers[w] {
		return
	}
	if self := seen.GetSelf(); self != nil {
		w.peer = self
		h.publish(h.peers())
	}
	if seen.GetSeq() > w.seen {
		w.seen, w.owing = seen.GetSeq(), time.Time{}
		if w.seen < w.seq {
			w.owing = time.Now()
		}
	}
	close(w.moved)
	w.moved = make(chan struct{})
}

// refresh tells from time to time which upstreams were heard.
func (h *Hub) refresh() {
	defer h.wg.Done()
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-t.C:
			h.tellRefreshed(now)
			h.dropSilent(now)
		}
	}
}

func (h *Hub) tellRefreshed(now time.Time) {
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

// dropSilent ends the streams of watchers that acknowledge nothing, as frozen
// processes do: the others must not take them for alive.
func (h *Hub) dropSilent(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		if w.behind || w.owing.IsZero() || now.Sub(w.owing) < silence {
			continue
		}
		h.cfg.Log.Warn("watcher silent, dropped", zap.String("watcher", w.peer.GetName()), zap.Uint64("seen", w.seen), zap.Uint64("told", w.seq))
		h.remove(w)
	}
}

// Watchers returns the number of watchers.
func (h *Hub) Watchers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}

// Close ends all streams and waits.
func (h *Hub) Close() error {
	close(h.done)
	h.mu.Lock()
	for w := range h.watchers {
		w.end()
	}
	h.mu.Unlock()
	h.wg.Wait()
	return nil
}
