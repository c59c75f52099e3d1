package breaker

import (
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// retention is how long ends, and closed breakers, are remembered.
	retention = 5 * time.Minute
	// maxEnds limits the ends that are remembered, maxSegments the segments of one
	// end, and maxIDBytes the length of an ID.
	maxEnds     = 256
	maxSegments = 256
	maxIDBytes  = 64
	// maxBegun is the number of responses that are remembered to tell whether upstreams
	// respond at all.
	maxBegun = 256
)

// Board decides on the breakers from what entries report. It has no clock of its own
// and is not safe for concurrent use.
type Board struct {
	// ends holds the ends of upstreams by upstream and start.
	ends     map[string]*upstreamEnd
	segments map[string]*segment
	// begun holds when the last responses began, in the order of reports.
	begun []begun
	// changed holds the segments whose breakers have changed since the last Decide, and
	// their states before.
	changed map[string]State
}

// Change is a change of a breaker.
type Change struct {
	// Before is the state that it had, After is what it is now.
	Before State
	After  Breaker
}

// segment is what the board knows of a segment.
type segment struct {
	breaker  Breaker
	position uint32
	waits    map[*upstreamEnd]wait
	// begunAt is when the last known response to the segment began, zero if none has.
	begunAt time.Time
	// suspectedAt is when the breaker was last closed no longer.
	suspectedAt time.Time
	// tried is set once an open breaker's term has ended. Then a single end is enough
	// to open it again.
	tried bool
	// closedAt is when the breaker was last closed, zero if it always was.
	closedAt time.Time
}

// responded reports whether a response to the segment is known to have begun.
func (s *segment) responded() bool { return !s.begunAt.IsZero() }

// begun is that a response to a segment began.
type begun struct {
	segment string
	at      time.Time
}

// NewBoard returns a Board with all breakers closed.
func NewBoard() *Board {
	return &Board{ends: make(map[string]*upstreamEnd), segments: make(map[string]*segment), changed: make(map[string]State)}
}

// Get returns the breaker of a segment.
func (b *Board) Get(id string) Breaker {
	if s := b.segments[id]; s != nil {
		return s.breaker
	}
	return Breaker{Segment: id}
}

// Count returns the number of breakers in a state other than Closed.
func (b *Board) Count(state State) int {
	n := 0
	for _, s := range b.segments {
		if s.breaker.State == state {
			n++
		}
	}
	return n
}

// Evidence describes what the breaker of a segment is based on.
func (b *Board) Evidence(id string) string {
	s := b.segments[id]
	if s == nil {
		return ""
	}
	st := s.streak()
	return fmt.Sprintf("%d ends, %d separate", len(st), len(st.separate()))
}

func (b *Board) segment(id string) *segment {
	s := b.segments[id]
	if s == nil {
		s = &segment{breaker: Breaker{Segment: id}, waits: make(map[*upstreamEnd]wait)}
		b.segments[id] = s
	}
	return s
}

// Report takes over what an entry has seen.
func (b *Board) Report(now time.Time, seen *fleetpb.NewsSeen) {
	for _, e := range seen.GetEnds() {
		b.recordEnd(now, e)
	}
	for _, g := range seen.GetBegun() {
		b.recordBegun(g.GetId(), before(now, g.GetAgeMs()))
	}
}

// recordEnd records an end, or what another entry saw of a known one.
func (b *Board) recordEnd(now time.Time, e *fleetpb.UpstreamEnd) {
	if len(e.GetId()) > maxIDBytes {
		return
	}
	key := fmt.Sprintf("%s %d", e.GetId(), e.GetBornMs())
	end, at := b.ends[key], before(now, e.GetAgeMs())
	if end == nil {
		if len(b.ends) >= maxEnds {
			b.forgetOldestEnd()
		}
		end = &upstreamEnd{at: at, segments: make(map[string]bool)}
		b.ends[key] = end
	}
	if at.Before(end.at) {
		end.at = at
	}
	for _, w := range e.GetWaiting() {
		if len(w.GetId()) <= maxIDBytes && (end.segments[w.GetId()] || len(end.segments) < maxSegments) {
			b.recordWait(now, end, w)
		}
	}
}

func (b *Board) recordWait(now time.Time, end *upstreamEnd, w *fleetpb.WaitingSegment) {
	end.segments[w.GetId()] = true
	s := b.segment(w.GetId())
	s.position = w.GetPosition()
	if ms := w.GetBegunMs(); ms > 0 {
		b.recordBegun(w.GetId(), before(now, ms))
	}
	if s.breaker.State == HalfOpen && end.at.After(s.breaker.Last) {
		s.breaker.Last = end.at
		b.markChanged(s)
	}
	sentAt := before(now, w.GetSentMs())
	if known, ok := s.waits[end]; !ok || sentAt.After(known.sentAt) {
		s.waits[end] = wait{end: end, sentAt: sentAt}
	}
}

// recordBegun records that a response to a segment began. It acquits the segment of the
// ends before.
func (b *Board) recordBegun(id string, at time.Time) {
	if len(b.begun) >= maxBegun {
		b.begun = b.begun[1:]
	}
	b.begun = append(b.begun, begun{segment: id, at: at})
	s := b.segments[id]
	if s == nil {
		return
	}
	if !at.After(s.begunAt) {
		return
	}
	s.begunAt = at
	for end := range s.waits {
		if !end.at.After(at) {
			delete(s.waits, end)
		}
	}
}

// Restore opens a breaker that an entry knows to be open, for a board that has lost its
// state.
func (b *Board) Restore(now time.Time, p *fleetpb.Breaker) {
	known := fromProto(p, now)
	if known.State != Open || len(known.Segment) > maxIDBytes || known.Until.Sub(now) > openTerm || b.Get(known.Segment).State == Open {
		return
	}
	s := b.segment(known.Segment)
	b.markChanged(s)
	s.breaker = known
}

// markChanged is called before the breaker of a segment changes, or with a change that
// leaves its state.
func (b *Board) markChanged(s *segment) {
	if _, ok := b.changed[s.breaker.Segment]; !ok {
		b.changed[s.breaker.Segment] = s.breaker.State
	}
}

// forget drops what is old, and returns the segments whose breakers were closed long
// ago.
func (b *Board) forget(now time.Time) []string {
	for key, end := range b.ends {
		if now.Sub(end.at) > retention {
			b.forgetEnd(key)
		}
	}
	var forgotten []string
	for id, s := range b.segments {
		if len(s.waits) > 0 || s.breaker.State != Closed || now.Sub(s.closedAt) <= retention {
			continue
		}
		delete(b.segments, id)
		if !s.closedAt.IsZero() {
			forgotten = append(forgotten, id)
		}
	}
	return forgotten
}

func (b *Board) forgetOldestEnd() {
	oldest := ""
	for key, end := range b.ends {
		if oldest == "" || end.at.Before(b.ends[oldest].at) {
			oldest = key
		}
	}
	b.forgetEnd(oldest)
}

func (b *Board) forgetEnd(key string) {
	end := b.ends[key]
	delete(b.ends, key)
	for id := range end.segments {
		s := b.segments[id]
		if s == nil {
			continue
		}
		delete(s.waits, end)
		if len(s.waits) == 0 && s.breaker.State == Closed && s.closedAt.IsZero() {
			delete(b.segments, id)
		}
	}
}
