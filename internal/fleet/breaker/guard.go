package breaker

import (
	"container/list"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// reportDelay is how long reports are gathered before they are sent in a message.
	reportDelay = 20 * time.Millisecond
	// trialTimeout is the time after which another trial may be sent although the
	// outcome of the last one is not known.
	trialTimeout = 2 * time.Second
	// trialSpread is the time in which the number of entries that send trials doubles,
	// maxDoublings how often it does.
	trialSpread  = 4 * time.Second
	maxDoublings = 12
	// trialRetryAfter is when a request that was not sent during a trial may be sent
	// again.
	trialRetryAfter = 300 * time.Millisecond
	// resendAge is how long ends are kept for control instances that have lost their
	// state, and maxResent how many of them.
	resendAge = 30 * time.Second
	maxResent = 32
	// maxKnown is the number of segments that a Guard remembers, the last used ones.
	maxKnown = 8192
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Report sends a message to the connected control instances. Calls are sequential.
	Report func(*fleetpb.NewsSeen)
	// Rank returns the position of this entry among those that send trials with a
	// segment, from 0.
	Rank func(segment string) int
	Log  *zap.Logger
}

// Guard reports what an entry sees of segments, and holds the breakers that control
// instances tell of. It is safe for concurrent use.
type Guard struct {
	cfg GuardConfig
	mu  sync.Mutex
	// known holds an element of recent, whose value is a *knownSegment, by segment.
	known  map[string]*list.Element
	recent *list.List
	// sources holds the breakers that are not closed by the incarnation of the control
	// instance that told of them.
	sources map[uint64]map[string]Breaker
	// ends holds the last ends seen, in the order of time.
	ends []*reportedEnd
	// witnessAfter is the time from which on the next response is reported whatever its
	// prompt, as control instances want to know whether upstreams respond at all; zero if
	// they do not.
	witnessAfter time.Time
	// pending is what is to be reported, nil if there is nothing.
	pending *report
	// closed is set by Close. Nothing is reported afterwards.
	closed bool
	// reporting is held while a message is sent.
	reporting sync.Mutex
	wg        sync.WaitGroup
}

// knownSegment is what an entry knows of a segment.
type knownSegment struct {
	id string
	// begunAt is when the last response to the segment began, zero if none has.
	begunAt time.Time
	// watched is set while control instances wait for the next response.
	watched bool
	// trialAt is when the last trial was sent, zero if its outcome is known.
	trialAt time.Time
}

// begin records that a response began.
func (s *knownSegment) begin(at time.Time) {
	if at.After(s.begunAt) {
		s.begunAt = at
	}
}

// End is the end of an upstream on which a request waited.
type End struct {
	Upstream catalog.Upstream
	At       time.Time
	// SentAt is when the request was sent.
	SentAt time.Time
	// Segments are those of its prompt that other requests may share, in order.
	Segments []string
}

// NewGuard returns a Guard that knows of no breakers.
func NewGuard(cfg GuardConfig) *Guard {
	return &Guard{cfg: cfg, known: make(map[string]*list.Element), recent: list.New(), sources: make(map[uint64]map[string]Breaker)}
}

// segment returns what is known of a segment. The caller holds mu.
func (g *Guard) segment(id string) *knownSegment {
	if e := g.known[id]; e != nil {
		g.recent.MoveToFront(e)
		return e.Value.(*knownSegment)
	}
	if len(g.known) >= maxKnown {
		last := g.recent.Back()
		delete(g.known, g.recent.Remove(last).(*knownSegment).id)
	}
	s := &knownSegment{id: id}
	g.known[id] = g.recent.PushFront(s)
	return s
}

// Check returns an *OpenError if a request with the given segments must not be sent.
func (g *Guard) Check(segments []string) error { return g.check(segments, time.Now(), false) }

// Start is called right before a request with the given segments is sent. It returns an
// *OpenError if that must not happen.
func (g *Guard) Start(segments []string) error { return g.check(segments, time.Now(), true) }

func (g *Guard) check(segments []string, now time.Time, send bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range segments {
		switch b := g.breaker(id, now); b.State {
		case Open:
			return &OpenError{Breaker: b, RetryAfter: b.Until.Sub(now)}
		case HalfOpen:
			if !g.tryTrial(b, now, send) {
				return &OpenError{Breaker: b, RetryAfter: trialRetryAfter}
			}
		}
	}
	return nil
}

// tryTrial reports whether a request with a segment whose breaker is half-open may be
// sent, and if send is set takes it for a trial. The longer no upstream has ended, the
// more entries send trials, as the first one may get no request. The caller holds mu.
func (g *Guard) tryTrial(b Breaker, now time.Time, send bool) bool {
	s := g.segment(b.Segment)
	if now.Sub(s.trialAt) < trialTimeout {
		return false
	}
	entries := 1 << min(maxDoublings, now.Sub(b.Last)/trialSpread)
	if g.cfg.Rank(b.Segment) >= entries {
		return false
	}
	if send {
		s.trialAt = now
	}
	return true
}

// breaker returns the breaker of a segment: the one that lets least through of those
// that control instances told of, unless a response has begun since. The caller holds mu.
func (g *Guard) breaker(id string, now time.Time) Breaker {
	var out Breaker
	for _, breakers := range g.sources {
		b := breakers[id].at(now)
		if b.State > out.State {
			out = b
		}
	}
	if out.State != Closed && g.segment(id).begunAt.After(out.Since) {
		return Breaker{Segment: id}
	}
	return out
}

// Begun records that a response to a prompt with the given segments began, and went on.
func (g *Guard) Begun(segments []string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range segments {
		s := g.segment(id)
		s.begin(at)
		s.trialAt = time.Time{}
		if s.watched || g.isWitness(at) {
			g.reportBegun(s)
		}
	}
}

// wantWitness has the next response reported that begins when an end is over. The caller
// holds mu.
func (g *Guard) wantWitness(end time.Time) {
	if after := end.Add(sameTime); after.After(g.witnessAfter) {
		g.witnessAfter = after
	}
}

// isWitness reports whether a response has to be reported whatever its prompt. The caller
// holds mu.
func (g *Guard) isWitness(at time.Time) bool {
	if g.witnessAfter.IsZero() || !at.After(g.witnessAfter) {
		return false
	}
	g.witnessAfter = time.Time{}
	return true
}

// Apply takes over the breakers of a News. A response that has begun since is reported
// at once, else the next one.
func (g *Guard) Apply(n *fleetpb.News) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	source := g.sources[n.GetIncarnation()]
	if source == nil || n.GetWhole() {
		source = make(map[string]Breaker)
		g.sources[n.GetIncarnation()] = source
	}
	if n.GetWhole() {
		g.resendEnds(now)
	}
	for _, p := range n.GetBreakers() {
		b := fromProto(p, now)
		if before := source[b.Segment].State; max(before, b.State) >= HalfOpen && before != b.State {
			g.cfg.Log.Info("breaker of a prompt segment", zap.String("segment", b.Segment), zap.Stringer("before", before),
				zap.Stringer("state", b.State), zap.Duration("left", b.Until.Sub(now)))
		}
		if b.State == Closed {
			delete(source, b.Segment)
			if now.Sub(b.Since) < maxAge {
				g.segment(b.Segment).begin(b.Since)
			}
		} else {
			source[b.Segment] = b
			g.watch(b)
		}
	}
}

// watch has the next response reported to a segment whose breaker is not closed. The
// caller holds mu.
func (g *Guard) watch(b Breaker) {
	s := g.segment(b.Segment)
	s.watched = true
	g.wantWitness(b.Last)
	if s.begunAt.After(b.Since) {
		g.reportBegun(s)
	}
}

// Breakers returns the open breakers as protobuf messages, and drops those whose term is
// long over.
func (g *Guard) Breakers() []*fleetpb.Breaker {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	open := make(map[string]Breaker)
	for incarnation, breakers := range g.sources {
		for id, b := range breakers {
			if b.at(now).State == Closed {
				delete(breakers, id)
			} else if b = g.breaker(id, now); b.State == Open {
				open[id] = b
			}
		}
		if len(breakers) == 0 {
			delete(g.sources, incarnation)
		}
	}
	var out []*fleetpb.Breaker
	for _, b := range open {
		out = append(out, b.Proto(now))
	}
	return out
}

// Counts returns the number of half-open and of open breakers.
func (g *Guard) Counts() (halfOpen, open int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := make(map[string]bool)
	for _, breakers := range g.sources {
		for id := range breakers {
			if counted[id] {
				continue
			}
			counted[id] = true
			switch g.breaker(id, now).State {
			case HalfOpen:
				halfOpen++
			case Open:
				open++
			}
		}
	}
	return halfOpen, open
}

// Close waits until what was recorded is reported.
func (g *Guard) Close() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
	return nil
}
