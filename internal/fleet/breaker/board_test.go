package breaker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

var t0 = time.Unix(1_790_000_000, 0)

// scene feeds a board with reports at times relative to t0.
type scene struct {
	*testing.T
	board *Board
	now   time.Time
}

func newScene(t *testing.T) *scene { return &scene{T: t, board: NewBoard(), now: t0} }

// advance lets time pass, with a Decide every tenth of a second.
func (s *scene) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(100*time.Millisecond, end.Sub(s.now)))
		s.board.Decide(s.now)
	}
}

// end reports that an upstream has just ended on which requests with each segment
// waited, sent a moment before.
func (s *scene) end(upstream int, segments ...string) {
	e := &fleetpb.UpstreamEnd{Id: fmt.Sprint("u", upstream), BornMs: 1}
	for i, id := range segments {
		e.Waiting = append(e.Waiting, &fleetpb.WaitingSegment{Id: id, Position: uint32(i), SentMs: 50})
	}
	s.board.Report(s.now, &fleetpb.NewsSeen{Ends: []*fleetpb.UpstreamEnd{e}})
}

// begun reports that a response to a segment has just begun.
func (s *scene) begun(segment string) {
	s.board.Report(s.now, &fleetpb.NewsSeen{Begun: []*fleetpb.SegmentBegun{{Id: segment}}})
}

func (s *scene) want(id string, want State) {
	s.Helper()
	if got := s.board.Get(id).State; got != want {
		s.Errorf("the breaker of %s is %v after %v, want %v", id, got, s.now.Sub(t0), want)
	}
}

// endSeparately reports n ends under the segments with responses to other prompts in
// between.
func (s *scene) endSeparately(n int, segments ...string) {
	for i := range n {
		s.end(100*int(s.now.Sub(t0)/time.Second)+i, segments...)
		s.advance(time.Second)
		s.begun("other")
		s.advance(time.Second)
	}
}

func TestSegmentOfSeparateEndsIsBlocked(t *testing.T) {
	s := newScene(t)
	s.endSeparately(1, "bad")
	s.want("bad", Closed)
	s.endSeparately(1, "bad")
	s.want("bad", HalfOpen)
	s.endSeparately(1, "bad")
	s.want("bad", Open)
}

func TestSegmentsThatAreRespondedToAreNotBlocked(t *testing.T) {
	s := newScene(t)
	for range 10 {
		s.endSeparately(1, "route", "bad")
		s.begun("route")
	}
	s.advance(time.Second)
	s.want("bad", Open)
	s.want("route", Closed)
}

func TestUpstreamsThatEndTogetherBlockNothing(t *testing.T) {
	s := newScene(t)
	for i := range 20 {
		s.end(i, "route")
	}
	s.advance(300 * time.Millisecond)
	s.begun("route")
	s.advance(5 * time.Second)
	s.want("route", Closed)
}

func TestSilenceOfAllUpstreamsOpensNoBreaker(t *testing.T) {
	s := newScene(t)
	for i := range 2 {
		s.end(i, "route")
		s.advance(time.Second)
	}
	s.advance(10 * time.Second)
	s.want("route", Suspected)
	for i := range 6 {
		s.end(10+i, "route")
		s.advance(time.Second)
	}
	s.advance(10 * time.Second)
	s.want("route", HalfOpen)
	s.begun("route")
	s.advance(time.Second)
	s.want("route", Closed)
}

func TestLaterSegmentIsBlockedOfThoseThatAlwaysCameTogether(t *testing.T) {
	s := newScene(t)
	s.endSeparately(6, "route", "topic", "bad")
	s.want("bad", Open)
	s.want("topic", Closed)
	s.want("route", Closed)
}

func TestSegmentWithHistoryIsBlockedLast(t *testing.T) {
	s := newScene(t)
	s.end(0, "bad", "topic")
	s.begun("topic")
	s.advance(time.Second)
	s.endSeparately(6, "bad", "topic")
	s.want("bad", Open)
	s.want("topic", Closed)
}

func TestSecondBadSegmentIsBlockedToo(t *testing.T) {
	s := newScene(t)
	s.endSeparately(4, "route", "bad")
	s.endSeparately(4, "route", "worse")
	s.want("bad", Open)
	s.want("worse", Open)
	s.want("route", Closed)
}

func TestResponseClosesBreaker(t *testing.T) {
	s := newScene(t)
	s.endSeparately(4, "bad")
	s.want("bad", Open)
	s.begun("bad")
	s.advance(time.Second)
	s.want("bad", Closed)
}

func TestOneEndReopensBreakerAfterItsTerm(t *testing.T) {
	s := newScene(t)
	s.endSeparately(3, "bad")
	s.want("bad", Open)
	s.advance(firstTerm)
	s.want("bad", HalfOpen)
	s.endSeparately(1, "bad")
	s.want("bad", Open)
	s.advance(firstTerm)
	s.want("bad", Open)
	s.advance(openTerm)
	s.want("bad", HalfOpen)
	s.begun("bad")
	s.advance(time.Second)
	s.want("bad", Closed)
	s.endSeparately(1, "bad")
	s.want("bad", Closed)
}

func TestBoardWithoutStateTakesOverOpenBreakers(t *testing.T) {
	old := newScene(t)
	old.endSeparately(3, "bad")
	s := newScene(t)
	s.board.Restore(s.now, old.board.Get("bad").Proto(old.now))
	s.advance(time.Second)
	s.want("bad", Open)
	s.board.Restore(s.now, &fleetpb.Breaker{Segment: "x", State: fleetpb.BreakerState_BREAKER_STATE_HALF_OPEN, LeftMs: 1000})
	s.want("x", Closed)
	s.advance(firstTerm)
	s.want("bad", HalfOpen)
}

func TestReportsOfSeveralEntriesAreOneEnd(t *testing.T) {
	s := newScene(t)
	for range 5 {
		s.end(1, "bad")
		s.advance(time.Second)
		s.begun("other")
	}
	s.advance(5 * time.Second)
	s.want("bad", Closed)
}

func TestOldEndsAreForgotten(t *testing.T) {
	s := newScene(t)
	s.endSeparately(3, "route", "bad")
	s.begun("route")
	s.want("bad", Open)
	s.advance(firstTerm + openTerm + 2*retention)
	if got := len(s.board.ends) + len(s.board.segments); got != 0 {
		t.Errorf("the board remembers %d ends and segments, want none", got)
	}
}

func TestBoardIsBounded(t *testing.T) {
	s := newScene(t)
	long := string(slices.Repeat([]byte("x"), maxIDBytes+1))
	for i := range 2 * maxEnds {
		segments := []string{long}
		for j := range 2 * maxSegments {
			segments = append(segments, fmt.Sprint(i, "-", j))
		}
		s.end(i, segments...)
	}
	if got := len(s.board.ends); got > maxEnds {
		t.Errorf("%d ends are remembered, want at most %d", got, maxEnds)
	}
	if got, most := len(s.board.segments), maxEnds*maxSegments; got > most {
		t.Errorf("%d segments are remembered, want at most %d", got, most)
	}
	if s.board.segments[long] != nil {
		t.Error("an ID over the limit is remembered")
	}
}

// A board decides ten times a second, also while all upstreams of a large fleet end again
// and again.
func BenchmarkDecide(b *testing.B) {
	board := NewBoard()
	for i := range maxEnds {
		e := &fleetpb.UpstreamEnd{Id: fmt.Sprint("u", i), BornMs: 1, AgeMs: uint32(10 * i)}
		for j := range maxSegments {
			e.Waiting = append(e.Waiting, &fleetpb.WaitingSegment{Id: fmt.Sprint("s", j), SentMs: e.AgeMs + 500})
		}
		board.Report(t0, &fleetpb.NewsSeen{Ends: []*fleetpb.UpstreamEnd{e}})
	}
	for b.Loop() {
		board.Decide(t0.Add(time.Second))
	}
}
