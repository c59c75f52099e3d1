package batcher

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// Guards against requests that are refused right after a start because their upstreams are
// not known yet, and against ones that wait although none has been there for long.
func TestJobWaitsForUpstreamsToBeDiscovered(t *testing.T) {
	o := newOwner(t, 1<<40, newFakeUpstream(t))
	all := o.cfg.Upstreams
	var known atomic.Bool
	o.cfg.Upstreams = func(service string) []catalog.Upstream {
		if !known.Load() {
			return nil
		}
		return all(service)
	}
	time.AfterFunc(150*time.Millisecond, func() { known.Store(true) })
	checkCompleted(t, o.Do(context.Background(), newJob("early", 2)), "early", 2)
	known.Store(false)
	o.started = time.Now().Add(-discoveryTime)
	if got, ok := o.Do(context.Background(), newJob("late", 2)).(Refused); !ok {
		t.Errorf("got %#v without upstreams for long, want Refused", got)
	}
}
