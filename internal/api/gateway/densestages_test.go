package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// denseStages returns n stages, each of which needs the results of all stages before it: there are
// 2^(n-1) ways through them to the last one.
func denseStages(n int) []site.Stage {
	stages := make([]site.Stage, n)
	for i := range stages {
		stages[i].Service = "p"
		for dep := range i {
			stages[i].DependsOn = append(stages[i].DependsOn, dep)
		}
	}
	return stages
}

// A request must not take time for each way through its stages: with many stages that need all
// those before them it is never answered, and holds its entry past its deadline.
func TestTimeOfRequestGrowsWithStagesNotWithPaths(t *testing.T) {
	const stages = 26
	lose := func(times int64) func(batcher.Job) batcher.Result {
		var lost atomic.Int64
		return func(job batcher.Job) batcher.Result {
			if job.Stage == stages-1 && lost.Add(1) <= times {
				return batcher.Failed{InputsGone: true, Err: http.ErrAbortHandler}
			}
			return succeed(job)
		}
	}
	for name, tt := range map[string]struct {
		pieces string
		run    func(batcher.Job) batcher.Result
	}{
		"one piece each":     {strings.Repeat("1,", stages), succeed},
		"first stage alone":  {"1", succeed},
		"all omitted":        {"", succeed},
		"inputs lost at end": {strings.Repeat("1,", stages), lose(maxReruns)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, document(denseStages(stages)...), newUpstream(t, writeEvents(2)).URL)
			f.runStage = tt.run
			start := time.Now()
			resp, body, err := f.call(t, "/staged/x", "Pieces", strings.TrimSuffix(tt.pieces, ","))
			if err != nil || resp.StatusCode != http.StatusOK || body != wholeStream {
				t.Errorf("got status %d with %q (%v), want 200 with %q", statusOf(resp), body, err, wholeStream)
			}
			if took, limit := time.Since(start), time.Second; took > limit {
				t.Errorf("took %v, want less than %v", took, limit)
			}
		})
	}
}

// The expected times of a graph of stages are those of its longest paths, also where paths join
// and where a stage is named twice.
func TestExpectedTimeOfLongestPath(t *testing.T) {
	stages := []site.Stage{
		{Service: "p"},
		{Service: "p"},
		{Service: "p", DependsOn: []int{0}},
		{Service: "p", DependsOn: []int{2, 2}},
		{Service: "p", DependsOn: []int{0, 3, 1}},
		{Service: "p", DependsOn: []int{1}},
	}
	f := newFixture(t, document(stages...))
	const wait = 100 * time.Millisecond
	f.cfg.QueueWait = func(string, string, string, site.Rank) (time.Duration, time.Duration) { return wait, 2 * wait }
	q := &request{server: f.Server, index: f.Index(), route: &f.Index().Routes[5], Attributes: Attributes{Pieces: []int{1, 1, 1, 0, 1, 1}}}
	call := q.expectedCallTime(0)
	for stage, behind := range []int{2, 1, 1, 1, 0, 0} {
		if got, want := q.stagesAfter(stage), time.Duration(behind)*(call+wait); got != want {
			t.Errorf("behind stage %d: got %v, want %v", stage, got, want)
		}
	}
	path := q.criticalPath()
	if got, want := path, (stagePath{work: 3*call + q.firstEventTime(), wait: 3 * wait, totalWait: 6 * wait}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := q.stagesTime(), 3*call; got != want {
		t.Errorf("got %v for all stages, want %v", got, want)
	}
}
