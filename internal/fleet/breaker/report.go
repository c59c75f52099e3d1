package breaker

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// report gathers what is to be reported.
type report struct {
	ends  map[*reportedEnd]bool
	begun map[*knownSegment]bool
}

// reportedEnd is the end of an upstream, as this entry has seen it.
type reportedEnd struct {
	upstream catalog.Upstream
	at       time.Time
	// waiting holds the segments that requests waited with, by ID.
	waiting map[string]waitingSegment
}

type waitingSegment struct {
	position int
	// sentAt is when the last of the requests was sent.
	sentAt time.Time
}

// Ended records that an upstream ended on which a request waited.
func (g *Guard) Ended(e End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	end := g.end(e)
	for i, id := range e.Segments {
		s := g.segment(id)
		s.watched = true
		if e.SentAt.After(end.waiting[id].sentAt) {
			end.waiting[id] = waitingSegment{position: i, sentAt: e.SentAt}
		}
	}
	g.wantWitness(e.At)
	g.prepare().ends[end] = true
}

// end returns the record of the end of an upstream. The caller holds mu.
func (g *Guard) end(e End) *reportedEnd {
	for _, known := range g.ends {
		if known.upstream.ID == e.Upstream.ID && known.upstream.StartTimeMs == e.Upstream.StartTimeMs {
			return known
		}
	}
	if len(g.ends) >= maxResent {
		g.ends = g.ends[1:]
	}
	end := &reportedEnd{upstream: e.Upstream, at: e.At, waiting: make(map[string]waitingSegment)}
	g.ends = append(g.ends, end)
	return end
}

// resendEnds has the last ends reported again. The caller holds mu.
func (g *Guard) resendEnds(now time.Time) {
	for len(g.ends) > 0 && now.Sub(g.ends[0].at) > resendAge {
		g.ends = g.ends[1:]
	}
	for _, end := range g.ends {
		g.prepare().ends[end] = true
	}
}

// reportBegun has the last response to a segment reported. The caller holds mu.
func (g *Guard) reportBegun(s *knownSegment) {
	g.prepare().begun[s] = true
	s.watched = false
}

// prepare returns the report that is sent next. The caller holds mu.
func (g *Guard) prepare() *report {
	if g.pending != nil {
		return g.pending
	}
	g.pending = &report{ends: make(map[*reportedEnd]bool), begun: make(map[*knownSegment]bool)}
	if !g.closed {
		g.wg.Add(1)
		time.AfterFunc(reportDelay, g.sendReport)
	}
	return g.pending
}

func (g *Guard) sendReport() {
	defer g.wg.Done()
	g.reporting.Lock()
	defer g.reporting.Unlock()
	g.cfg.Report(g.takeReport(time.Now()))
}

// takeReport returns what is to be reported as a message sent at now.
func (g *Guard) takeReport(now time.Time) *fleetpb.NewsSeen {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := &fleetpb.NewsSeen{}
	for end := range g.pending.ends {
		seen.Ends = append(seen.Ends, g.endProto(end, now))
	}
	for s := range g.pending.begun {
		seen.Begun = append(seen.Begun, &fleetpb.SegmentBegun{Id: s.id, AgeMs: milliseconds(now.Sub(s.begunAt))})
	}
	g.pending = nil
	return seen
}

// endProto returns an end as a message sent at now. The caller holds mu.
func (g *Guard) endProto(end *reportedEnd, now time.Time) *fleetpb.UpstreamEnd {
	out := &fleetpb.UpstreamEnd{Id: end.upstream.ID, BornMs: end.upstream.StartTimeMs, AgeMs: milliseconds(now.Sub(end.at))}
	for id, w := range end.waiting {
		ws := &fleetpb.WaitingSegment{Id: id, Position: uint32(w.position), SentMs: milliseconds(now.Sub(w.sentAt))}
		if begunAt := g.segment(id).begunAt; !begunAt.IsZero() {
			ws.BegunMs = max(1, milliseconds(now.Sub(begunAt)))
		}
		out.Waiting = append(out.Waiting, ws)
	}
	return out
}
