package batcher

import (
	"fmt"
	"testing"
)

// Guards against releases on the connections of calls, where a late copy of the answer to one
// would be taken for the results of the next call, and against a connection for each release.
func TestReleasesShareConnectionsWithEachOtherAlone(t *testing.T) {
	u := newFakeUpstream(t)
	o := newOwner(t, 1<<40, u)
	for i := range 10 {
		id := fmt.Sprint("r", i)
		done := checkCompleted(t, o.Do(t.Context(), newJob(id, 1)), id, 1)
		o.release(shard{service: "scan"}, done.Handles)
		eventually(t, "the release", func() bool { _, released := u.recorded(); return len(released) == i+1 })
		// The answer has to be read before the connection is free for the next release.
		o.wg.Wait()
	}
	if got, want := u.connections.Load(), int64(2); got != want {
		t.Errorf("%d connections for calls and releases, want %d", got, want)
	}
}
