package gateway

import (
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
)

// Guards against jobs whose owner does not know when their inputs expire: it would send them
// in vain. The results of the first stage are as old as their owner says.
func TestJobsCarryTimeUntilInputsExpire(t *testing.T) {
	const ttl, oldest = 4 * time.Second, time.Second
	d := document(testStages()...)
	d.Services[1].Batching.ResultTTL = ttl
	f := newFixture(t, d, newUpstream(t, writeEvents(1)).URL)
	f.runStage = func(job batcher.Job) batcher.Result {
		completed := succeed(job).(batcher.Completed)
		completed.Oldest = oldest
		return completed
	}
	if _, _, err := f.call(t, "/staged/x", "Pieces", "1,1,1"); err != nil {
		t.Fatal(err)
	}
	for _, job := range f.jobs {
		switch left := job.InputsTTL; {
		case len(job.Inputs) == 0 && left != 0:
			t.Errorf("stage %d has no inputs, which expire after %v", job.Stage, left)
		case len(job.Inputs) > 0 && (left <= 0 || left > ttl-oldest):
			t.Errorf("the inputs of stage %d expire after %v, want up to %v", job.Stage, left, ttl-oldest)
		}
	}
	if got, want := len(f.jobs), 3; got != want {
		t.Errorf("%d jobs, want %d", got, want)
	}
}
