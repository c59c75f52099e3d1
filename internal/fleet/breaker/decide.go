package breaker

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// suspectedEnds is the number of ends from which a segment is suspected.
	suspectedEnds = 2
	// askTime is how long entries are given to report the responses that have begun
	// since a segment is suspected.
	askTime = 300 * time.Millisecond
	// settleTime is the age from which an end counts. By then entries have reported
	// the responses that had begun before it.
	settleTime = 500 * time.Millisecond
	// suspectAfter is how long upstreams must have been responding to other prompts again
	// before a breaker becomes half-open for separate ends, openAfter before it does for
	// ends that came together, or opens.
	suspectAfter = 500 * time.Millisecond
	openAfter    = time.Second
	// firstTerm is how long a breaker stays open the first time. openTerm is how long it
	// then waits for the outcome of a trial, and how long it stays open if that fails.
	firstTerm = time.Minute
	openTerm  = 10 * time.Minute
	// halfOpenTerm is how long a breaker stays half-open unless that is renewed.
	halfOpenTerm = 30 * time.Second
)

// suspect is a segment whose breaker is not open, with the ends that count against it.
type suspect struct {
	*segment
	ends streak
}

// Decide returns the breakers that have changed since the last call, by segment, and the
// segments that are no longer remembered. It is to be called every few tenths of a second.
func (b *Board) Decide(now time.Time) (changes []Change, forgotten []string) {
	forgotten = b.forget(now)
	for _, s := range b.segments {
		b.endTerm(s, now)
		b.acquit(s, now)
	}
	blamed := b.openSegments()
	for _, s := range b.suspects(blamed) {
		b.set(s.segment, b.judge(s, blamed, now), now)
		b.renew(s.segment, now)
		if s.breaker.State >= HalfOpen {
			blamed = append(blamed, s.segment)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.changed)) {
		changes = append(changes, Change{Before: b.changed[id], After: b.Get(id)})
	}
	clear(b.changed)
	return changes, forgotten
}

// openSegments returns the segments whose breakers are open.
func (b *Board) openSegments() []*segment {
	var out []*segment
	for _, s := range b.segments {
		if s.breaker.State == Open {
			out = append(out, s)
		}
	}
	return out
}

// set changes the state of a breaker.
func (b *Board) set(s *segment, state State, now time.Time) {
	if s.breaker.State == state {
		return
	}
	if s.breaker.State == Closed {
		s.suspectedAt = now
	}
	b.markChanged(s)
	s.breaker.State = state
	if state == Closed {
		s.breaker.Since, s.closedAt = s.begunAt, now
	} else {
		s.breaker.Since, s.breaker.Last = s.span(now)
		s.breaker.Until = now.Add(s.term(state))
	}
}

// term returns how long the breaker stays in a state.
func (s *segment) term(state State) time.Duration {
	switch {
	case s.tried:
		return openTerm
	case state == Open:
		return firstTerm
	default:
		return halfOpenTerm
	}
}

// span returns when the first and the last upstream of its streak ended, now if there is
// none.
func (s *segment) span(now time.Time) (first, last time.Time) {
	st := s.streak()
	if len(st) == 0 {
		return now, now
	}
	return st[0].end.at, st[len(st)-1].end.at
}

// endTerm makes an open breaker half-open if its term is over.
func (b *Board) endTerm(s *segment, now time.Time) {
	if s.breaker.State != Open || now.Before(s.breaker.Until) {
		return
	}
	s.tried = true
	clear(s.waits)
	b.set(s, HalfOpen, now)
}

// renew prolongs the term of a half-open breaker.
func (b *Board) renew(s *segment, now time.Time) {
	if s.breaker.State == HalfOpen && !s.tried && s.breaker.Until.Sub(now) < halfOpenTerm/2 {
		s.breaker.Until = now.Add(halfOpenTerm)
		b.markChanged(s)
	}
}

// acquit closes the breaker of a segment that a response has begun for meanwhile.
func (b *Board) acquit(s *segment, now time.Time) {
	if s.breaker.State != Closed && s.begunAt.After(s.breaker.Since) {
		s.tried = false
		b.set(s, Closed, now)
	}
}

// streak returns the ends at which the segment was waited for since the last response to
// it.
func (s *segment) streak() streak {
	out := make(streak, 0, len(s.waits))
	for _, w := range s.waits {
		if w.end.at.After(s.begunAt) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b wait) int { return a.end.at.Compare(b.end.at) })
	return out
}

// explainedBy reports whether one of the segments was waited for.
func (e *upstreamEnd) explainedBy(blamed []*segment) bool {
	return slices.ContainsFunc(blamed, func(s *segment) bool { return e.segments[s.breaker.Segment] })
}

// compareSuspicion orders segments by how suspect they are: by the ends that count
// against them, then those that no response ever began for last, then by their position in
// prompts, as a later segment is shared by fewer.
func compareSuspicion(x, y suspect) int {
	return cmp.Or(
		cmp.Compare(len(x.ends), len(y.ends)),
		compareBool(y.responded(), x.responded()),
		cmp.Compare(x.position, y.position),
		cmp.Compare(x.breaker.Segment, y.breaker.Segment),
	)
}

// compareBool orders false before true.
func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// asked reports whether entries have had time to report responses to the segment.
func (s *segment) asked(now time.Time) bool {
	return s.breaker.State != Closed && now.Sub(s.suspectedAt) >= askTime
}

// suspects returns the segments that may be blamed for ends which open breakers do not
// explain, the most suspect first.
func (b *Board) suspects(open []*segment) []suspect {
	var out []suspect
	for _, s := range b.segments {
		switch {
		case s.breaker.State == Open:
		case len(s.waits) >= suspectedEnds || s.breaker.State != Closed:
			out = append(out, suspect{segment: s, ends: s.streak().without(open)})
		}
	}
	slices.SortFunc(out, func(x, y suspect) int { return compareSuspicion(y, x) })
	return out
}

// judge returns the state that the breaker of a suspect is to have, if the given segments
// are blamed for the ends at which they were waited for.
func (b *Board) judge(s suspect, blamed []*segment, now time.Time) State {
	own := s.ends.without(blamed).until(now.Add(-settleTime))
	if s.tried {
		return s.afterTrial(own, now)
	}
	if len(s.ends) < suspectedEnds {
		return Closed
	}
	if !s.asked(now) {
		return Suspected
	}
	rounds := len(own.separate())
	switch {
	case rounds >= openRounds && b.served(s.segment, own.opening(s.responded(), b.unexplained(blamed)), openAfter, now):
		return Open
	case rounds >= openRounds,
		b.served(s.segment, own.suspicious(), suspectAfter, now),
		b.served(s.segment, own.large(), openAfter, now):
		return HalfOpen
	default:
		return Suspected
	}
}

// afterTrial returns the state of a breaker whose term is over, with the ends since.
func (s *segment) afterTrial(own streak, now time.Time) State {
	switch {
	case len(own) > 0:
		return Open
	case now.Before(s.breaker.Until):
		return HalfOpen
	default:
		s.tried = false
		return Closed
	}
}

// served reports whether upstreams have been responding to other prompts again for a
// time after a streak. If they respond to none, a segment is no exception.
func (b *Board) served(s *segment, st streak, after time.Duration, now time.Time) bool {
	if len(st) == 0 {
		return false
	}
	ended := st[len(st)-1].end.at.Add(sameTime)
	return slices.ContainsFunc(b.begun, func(g begun) bool {
		return g.segment != s.breaker.Segment && g.at.After(ended) && now.Sub(g.at) >= after
	})
}

// unexplained returns the times of the ends that the blamed segments do not explain, in
// order.
func (b *Board) unexplained(blamed []*segment) []time.Time {
	var out []time.Time
	for _, end := range b.ends {
		if !end.explainedBy(blamed) {
			out = append(out, end.at)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}
