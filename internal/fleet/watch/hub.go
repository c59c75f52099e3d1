package watch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// newsInterval is the shortest time between two News messages to a watcher.
	// Changes in between share a message.
	newsInterval = 20 * time.Millisecond
	// probeInterval is the time after which an idle watcher is sent a News without
	// changes, which it has to acknowledge.
	probeInterval = 500 * time.Millisecond
	// ackTimeout is how long a watcher may leave a short News unacknowledged. A long
	// one may take longer by its transfer at minLinkBytes a second.
	ackTimeout   = 1500 * time.Millisecond
	minLinkBytes = 64 << 10
	// heardInterval is the time between News messages that only tell other control
	// instances which upstreams are alive.
	heardInterval = 300 * time.Millisecond
	// refreshInterval is the time between two looks for upstreams that have fallen
	// silent and for watchers that do not respond.
	refreshInterval = 100 * time.Millisecond
)

// HubConfig configures a Hub.
type HubConfig struct {
	// Self returns this control instance's own record.
	Self func() *fleetpb.Peer
	// Table holds the known upstreams.
	Table *catalog.Table
	// Voters returns the link addresses of the voters of the Raft log.
	Voters func() []string
	// EvacuationsCurrent reports whether the evacuated zones that this instance knows are
	// sure to be the present ones. If not, watchers are told that they may not be; nil
	// stands for true.
	EvacuationsCurrent func() bool
	Log                *zap.Logger
}

// Hub tells its watchers of each change. It is safe for concurrent use.
type Hub struct {
	cfg HubConfig
	// incarnation distinguishes the change numbers of this hub from those of an
	// earlier one.
	incarnation  uint64
	mu           sync.Mutex
	watchers     map[*watcher]bool
	changes      *changes
	siteDocument *statepb.Adopted
	// evacuations are the evacuated zones, nil until they are known.
	evacuations *statepb.Evacuations
	// endedStarts are those that the log holds, nil until they are known.
	endedStarts *statepb.EndedStarts
	// board decides on the breakers of prompt segments.
	board *breaker.Board
	// peers holds the listed processes by name: this instance, its watchers and the
	// other voters.
	peers map[string]*fleetpb.Peer
	// untold holds the IDs of upstreams that this instance knows from another one to be
	// draining or gone, and has not told its watchers of.
	untold map[string]bool
	stats  Stats
	// departed holds when a name was removed from peers.
	departed map[string]time.Time
	// lost holds when the stream of an entry ended that had not said that it leaves.
	lost map[string]time.Time
	// closed is set by Close. A closed hub tells nothing more.
	closed bool
	done   chan struct{}
	wg     sync.WaitGroup
}

// NewHub returns a Hub without watchers.
func NewHub(cfg HubConfig) *Hub {
	h := &Hub{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		watchers:    make(map[*watcher]bool),
		changes:     newChanges(),
		board:       breaker.NewBoard(),
		peers:       make(map[string]*fleetpb.Peer),
		untold:      make(map[string]bool),
		departed:    make(map[string]time.Time),
		lost:        make(map[string]time.Time),
		done:        make(chan struct{}),
	}
	h.mu.Lock()
	self := cfg.Self()
	h.setPeer(self.GetName(), self)
	h.mu.Unlock()
	h.wg.Add(1)
	go h.refreshLoop()
	return h
}

// SetSiteDocument publishes a site document unless its version is at most that of
// the current one.
func (h *Hub) SetSiteDocument(a *statepb.Adopted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !documentVersion(a).newerThan(documentVersion(h.siteDocument)) {
		return
	}
	h.siteDocument = a
	h.publish(key{kind: documentChange})
}

// Merge applies the upstreams in a News message of another control instance. They are
// not passed on: whoever follows this one follows the other too, or finds by the
// digest what it lacks.
func (h *Hub) Merge(n *fleetpb.News) {
	now := time.Now()
	for _, u := range n.Upstreams {
		h.mergeLearnt(catalog.FromProto(u, now))
	}
	for _, u := range n.Heard {
		h.cfg.Table.Refresh(u.Id, u.Seq, now.Add(-time.Duration(u.AgeMs)*time.Millisecond))
	}
}

// Announce applies the announcement that an upstream made to this instance. If it
// changes anything, or the upstream takes no calls any more, Announce returns once
// every watcher has acknowledged that or ctx is done. It returns the names of the
// watchers that have not.
func (h *Hub) Announce(ctx context.Context, u catalog.Upstream) (outcome catalog.Outcome, untold []string) {
	outcome, seq := h.mergeAnnounced(u)
	if outcome == catalog.Changed || u.State != catalog.Ready {
		untold = h.waitAcked(ctx, seq)
	}
	if outcome == catalog.Refreshed {
		h.noteHeard(u.ID)
	}
	return outcome, untold
}

// mergeLearnt applies an announcement that was made to another control instance.
func (h *Hub) mergeLearnt(u catalog.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, known := h.cfg.Table.Get(u.ID)
	if h.cfg.Table.Merge(u) != catalog.Changed {
		return
	}
	if u.State != catalog.Ready {
		h.untold[u.ID] = true
	}
	// Cold periods are passed on: an entry without a stream to the instance that was told
	// would find out by the digest only, after most of a second of full load.
	if known && before.StartTimeMs == u.StartTimeMs && u.ColdSeq > before.ColdSeq {
		h.publish(key{kind: upstreamChange, id: u.ID})
	}
}

// mergeReported applies announcements on behalf of upstreams that have told a watcher and
// not this instance that they leave, and tells the other watchers.
func (h *Hub) mergeReported(words []*fleetpb.UpstreamWord) {
	now := time.Now()
	for _, w := range words {
		u := catalog.FromProto(w, now)
		if u.State != catalog.Draining {
			h.mergeLearnt(u)
			continue
		}
		h.mergeAnnounced(u)
	}
}

// mergeAnnounced applies an announcement that was made to this instance, and tells the
// watchers if it changes anything or they were not told yet. It returns the number of
// the upstream's last change.
func (h *Hub) mergeAnnounced(u catalog.Upstream) (outcome catalog.Outcome, seq uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome = h.cfg.Table.Announce(u)
	k := key{kind: upstreamChange, id: u.ID}
	if outcome == catalog.Changed || h.untold[u.ID] {
		delete(h.untold, u.ID)
		h.publish(k)
	}
	return outcome, h.changes.seqOf(k)
}

// noteHeard records for the other control instances that an upstream is alive.
func (h *Hub) noteHeard(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.watchers {
		if w.peer.GetRole() == RoleControl {
			if len(w.heard) == 0 {
				w.wakeUp()
			}
			w.heard[id] = true
		}
	}
}

// publish records a change and wakes the watchers that are told of it. The caller
// holds mu.
func (h *Hub) publish(k key) {
	h.changes.add(k)
	for w := range h.watchers {
		if w.wants(k) {
			w.wakeUp()
		}
	}
}

// Serve tells a watcher what it lacks and then each change, until its stream ends
// or ctx is done.
func (h *Hub) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Watch) {
	w := h.addWatcher(first)
	if w == nil {
		return
	}
	h.cfg.Log.Info("watcher joined", zap.String("watcher", w.peer.GetName()), zap.String("kind", w.peer.GetRole()), zap.Bool("resumes", !w.whole))
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	h.wg.Add(1)
	go h.receiveAcks(st, w)
	err := h.sendNews(st, w)
	st.Close()
	h.removeWatcher(w)
	h.cfg.Log.Info("watcher left", zap.String("watcher", w.peer.GetName()), zap.Error(err))
}

// addWatcher registers and lists a watcher. It starts from the changes that the
// watcher has seen, or from the complete state if those are not known here. It returns
// nil if the hub is closed.
func (h *Hub) addWatcher(first *fleetpb.Watch) *watcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return nil
	}
	w := &watcher{
		peer:     first.GetSelf(),
		document: versionOf(first.Version),

		evacuations: first.GetEvacuationIndex(),
		whole:       true,
		heard:       make(map[string]bool),
		wake:        make(chan struct{}, 1),
		ackSignal:   make(chan struct{}),
		removed:     make(chan struct{}),
	}
	if first.GetIncarnation() == h.incarnation && h.changes.holdsSince(first.GetSeq()) {
		w.whole, w.sent, w.acked = false, first.GetSeq(), first.GetSeq()
	}
	h.watchers[w] = true
	delete(h.lost, w.peer.GetName())
	h.setPeer(w.peer.GetName(), w.peer)
	for _, b := range first.GetBreakers() {
		h.board.Restore(time.Now(), b)
	}
	return w
}

// removeWatcher removes a watcher whose stream has ended. An entry may be about to return.
func (h *Hub) removeWatcher(w *watcher) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := h.watchers[w]
	h.removeWatcherLocked(w)
	if name := w.peer.GetName(); present && w.peer.GetRole() == RoleEntry && !w.peer.GetLeaving() && !h.watches(name) {
		h.lost[name] = time.Now()
	}
}

// removeWatcherLocked removes a watcher and ends its stream. Its process is no longer
// listed, unless it has opened another stream meanwhile. The caller holds mu.
func (h *Hub) removeWatcherLocked(w *watcher) {
	if !h.watchers[w] {
		return
	}
	delete(h.watchers, w)
	close(w.removed)
	w.signalAck()
	name := w.peer.GetName()
	for other := range h.watchers {
		if other.peer.GetName() == name {
			return
		}
	}
	h.setPeer(name, nil)
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
// watcher and upstreams that this instance has lost.
func (h *Hub) acknowledge(w *watcher, ack *fleetpb.NewsSeen) {
	if ack.GetSeq() == 0 {
		h.mergeReported(ack.GetUpstreams())
	} else {
		h.Merge(&fleetpb.News{Upstreams: ack.GetUpstreams()})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.board.Report(time.Now(), ack)
	if !h.watchers[w] {
		return
	}
	if self := ack.GetSelf(); self != nil {
		w.peer = self
		h.setPeer(self.GetName(), self)
		return
	}
	w.document = newest(w.document, versionOf(ack.Document))
	w.evacuations = max(w.evacuations, ack.GetEvacuationIndex())
	w.fetch = w.fetch || ack.GetFetch()
	w.signalAck()
	w.wakeUp()
	if ack.GetSeq() == 0 {
		return
	}
	if len(ack.GetDigests()) > 0 {
		w.buckets = h.cfg.Table.Digests().Differing(ack.GetDigests())
	}
	w.acked = max(w.acked, min(ack.GetSeq(), w.sent))
	w.outstanding = w.acked < w.sent
}

// refreshLoop looks at each refreshInterval for upstreams that have fallen silent,
// for changed voters and for unresponsive watchers.
func (h *Hub) refreshLoop() {
	defer h.wg.Done()
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-t.C:
			h.refresh(now)
		}
	}
}

func (h *Hub) refresh(now time.Time) {
	voters := h.cfg.Voters()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.cfg.Table.UpdateSilence(now) {
		h.publish(key{kind: upstreamChange, id: id})
	}
	h.listVoters(voters)
	for w := range h.watchers {
		if w.unresponsive(now) {
			h.cfg.Log.Warn("watcher silent, dropped", zap.String("watcher", w.peer.GetName()), zap.Uint64("seen", w.acked), zap.Uint64("told", w.sent))
			h.removeWatcherLocked(w)
		}
	}
	h.forgetDeparted(now)
	h.forgetLost(now)
	h.decideBreakers(now)
}

// Stats returns what the hub has sent and how many watchers it has.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Watchers = len(h.watchers)
	for w := range h.watchers {
		if w.acked < h.changes.last && w.peer.GetRole() != RoleRelay {
			s.Behind++
		}
	}
	return s
}

// ForgetUpstreams forgets upstreams that the table no longer holds.
func (h *Hub) ForgetUpstreams(ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		delete(h.untold, id)
		h.changes.forget(key{kind: upstreamChange, id: id})
	}
}

// WatcherCount returns the number of watchers.
func (h *Hub) WatcherCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}

// EntryCount returns the number of watchers that are entries.
func (h *Hub) EntryCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for w := range h.watchers {
		if w.peer.GetRole() == RoleEntry {
			n++
		}
	}
	return n
}

// Close ends all streams and waits until the hub's goroutines have returned. It is
// called before the streams' connections are closed: watchers that are told one by one
// that the others are gone would take the instance's stop for the loss of them all.
func (h *Hub) Close() error {
	close(h.done)
	h.mu.Lock()
	h.closed = true
	for w := range h.watchers {
		h.removeWatcherLocked(w)
	}
	h.mu.Unlock()
	h.wg.Wait()
	return nil
}
