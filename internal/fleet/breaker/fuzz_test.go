package breaker

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// FuzzReport checks that no report panics or makes a board remember more than its
// bounds, and that what it tells of can be applied.
func FuzzReport(f *testing.F) {
	for _, seen := range []*fleetpb.NewsSeen{
		{Ends: []*fleetpb.UpstreamEnd{{Id: "u", BornMs: 1, AgeMs: 700, Waiting: []*fleetpb.WaitingSegment{{Id: bad, SentMs: 800, BegunMs: 900}}}}},
		{Ends: []*fleetpb.UpstreamEnd{{Id: "u", AgeMs: 1 << 31}, {Id: "v", BornMs: -1}, nil}, Begun: []*fleetpb.SegmentBegun{{Id: bad, AgeMs: 1 << 31}, nil}},
		{Begun: []*fleetpb.SegmentBegun{{Id: "route"}}},
	} {
		raw, err := proto.Marshal(seen)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, uint16(600))
	}
	f.Fuzz(func(t *testing.T, raw []byte, pauseMs uint16) {
		seen := &fleetpb.NewsSeen{}
		if proto.Unmarshal(raw, seen) != nil {
			return // Messages that cannot be decoded do not reach a board.
		}
		b := NewBoard()
		g := newGuarded(t, 0)
		for i := range 8 {
			now := t0.Add(time.Duration(i) * time.Duration(pauseMs) * time.Millisecond)
			for _, e := range seen.GetEnds() {
				if e != nil {
					e.BornMs++
				}
			}
			b.Report(now, seen)
			changes, _ := b.Decide(now)
			n := &fleetpb.News{Incarnation: 1}
			for _, c := range changes {
				n.Breakers = append(n.Breakers, c.After.Proto(now))
			}
			g.Apply(n)
		}
		if len(b.ends) > maxEnds || len(b.begun) > maxBegun {
			t.Errorf("%d ends and %d responses are remembered, want at most %d and %d", len(b.ends), len(b.begun), maxEnds, maxBegun)
		}
		for _, s := range b.segments {
			if len(s.breaker.Segment) > maxIDBytes {
				t.Errorf("an ID of %d bytes is remembered, want at most %d", len(s.breaker.Segment), maxIDBytes)
			}
		}
	})
}
