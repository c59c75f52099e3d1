package watch

import (
	"fmt"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// endUnder lets an entry see that an upstream ended some time ago under a prompt with
// the segments.
func (e *entry) endUnder(upstream int, ago time.Duration, segments ...string) {
	at := time.Now().Add(-ago)
	e.guard.Ended(breaker.End{
		Upstream: catalog.Upstream{ID: fmt.Sprint("u", upstream), StartTimeMs: 1},
		At:       at, SentAt: at.Add(-100 * time.Millisecond), Segments: segments,
	})
}

func (e *entry) blocks(segment string) bool { return e.guard.Check([]string{segment}) != nil }

// Each of three entries sees one end. Together they are enough.
func TestEndsSeenByDifferentEntriesBlockNothing(t *testing.T) {
	first, second := newControlInstance(t), newControlInstance(t)
	seeds := []string{first.server.Address(), second.server.Address()}
	var entries []*entry
	for i := range 3 {
		entries = append(entries, newEntry(t, fmt.Sprint("e", i), seeds...))
	}
	for _, e := range entries {
		eventually(t, "connection", func() bool { return e.ConnectedCount() == 2 })
	}
	for i, e := range entries {
		e.endUnder(i, time.Duration(5-i)*time.Second, "route", "bad")
		e.guard.Begun([]string{"route"}, time.Now().Add(-1500*time.Millisecond))
	}
	for i, e := range entries {
		eventually(t, fmt.Sprint("block at entry ", i), func() bool { return e.blocks("bad") })
		if e.blocks("route") {
			t.Errorf("entry %d blocks a segment that is responded to", i)
		}
	}

	late := newEntry(t, "late", seeds...)
	eventually(t, "block at an entry that joins later", func() bool { return late.blocks("bad") })

	for _, c := range []*controlInstance{first, second} {
		address := c.server.Address()
		c.stop()
		newControlInstanceAt(t, address)
	}
	for _, e := range entries {
		eventually(t, "connection to the new control instances", func() bool { return e.ConnectedCount() == 2 })
	}
	later := newEntry(t, "later", seeds...)
	eventually(t, "block at an entry that knows only the new control instances", func() bool { return later.blocks("bad") })
}

func TestResponseAtAnyEntryClosesBreaker(t *testing.T) {
	c := newControlInstance(t)
	seeing, other := newEntry(t, "seeing", c.server.Address()), newEntry(t, "other", c.server.Address())
	for _, e := range []*entry{seeing, other} {
		eventually(t, "connection", func() bool { return e.ConnectedCount() == 1 })
	}
	for i := range 3 {
		seeing.endUnder(i, time.Duration(5-i)*time.Second, "route", "topic")
	}
	seeing.guard.Begun([]string{"route"}, time.Now().Add(-1500*time.Millisecond))
	eventually(t, "block", func() bool { return seeing.blocks("topic") && other.blocks("topic") })
	other.guard.Begun([]string{"topic"}, time.Now())
	eventually(t, "end of the block", func() bool { return !seeing.blocks("topic") && !other.blocks("topic") })
}
