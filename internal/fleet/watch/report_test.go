package watch

import (
	"context"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Guards against a leaving upstream that only one entry knows of: the control instances take
// the word of an entry that knows an old announcement, tell the other entries at once, and
// late announcements that say ready do not undo it.
func TestReportOfLeavingUpstreamReachesOtherEntries(t *testing.T) {
	c := newControlInstance(t)
	reporter, other := newEntry(t, "e1", c.server.Address()), newEntry(t, "e2", c.server.Address())
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 1))
	eventually(t, "propagation of the upstream", func() bool {
		return reporter.state("u") == catalog.Ready && other.state("u") == catalog.Ready
	})
	for seq := uint64(2); seq < 50; seq++ {
		c.hub.Announce(context.Background(), upstream("u", catalog.Ready, seq))
	}
	u, _ := reporter.table.Get("u")
	start := time.Now()
	reporter.Report(&fleetpb.NewsSeen{Upstreams: []*fleetpb.UpstreamWord{u.WithState(catalog.Draining).Proto(start)}})
	eventually(t, "propagation of the report", func() bool { return other.state("u") == catalog.Draining })
	if took := time.Since(start); took > digestDelay/2 {
		t.Errorf("propagated after %v, want less than the digests need", took)
	}
	c.hub.Announce(context.Background(), upstream("u", catalog.Ready, 99))
	if got, want := c.table.Ready("s"), 0; len(got) != want {
		t.Errorf("ready after a late announcement: %v, want none", got)
	}
	again := upstream("u", catalog.Ready, 1)
	again.StartTimeMs = 2
	c.hub.Announce(context.Background(), again)
	eventually(t, "propagation of the new start", func() bool { return other.state("u") == catalog.Ready })
}
