package watch

import (
	"context"
	"testing"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Guards against an entry that goes on to call a start which has ended according to the log,
// as it was cut off when that was acknowledged, and the control instances have lost their
// memory since; and against older records that replace newer ones.
func TestEndsOfLogReachEntries(t *testing.T) {
	c := newControlInstance(t)
	e := newEntry(t, "e1", c.server.Address())
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "propagation of the upstream", func() bool { return e.state("u") == catalog.Ready })
	e.table.Merge(upstream("missed", catalog.Ready, 1))
	ends := &statepb.EndedStarts{Index: 9, Upstreams: []*statepb.UpstreamEnds{
		{Upstream: "missed", Index: 8, BeforeMs: 2}, {Upstream: "u", Index: 9, BeforeMs: 2},
	}}
	c.hub.SetEndedStarts(ends)
	eventually(t, "propagation of the ends", func() bool { return e.state("u") == catalog.Draining && e.state("missed") == catalog.Left })
	c.hub.SetEndedStarts(&statepb.EndedStarts{Index: 7})
	if got, want := c.hub.EndedStarts().GetIndex(), uint64(9); got != want {
		t.Errorf("ends of index %d, want %d", got, want)
	}
	for born, want := range map[int64]bool{1: true, 2: false} {
		if got := c.hub.EndRecorded("u", born); got != want {
			t.Errorf("the end of the start born at %d is recorded: %t, want %t", born, got, want)
		}
	}
}
