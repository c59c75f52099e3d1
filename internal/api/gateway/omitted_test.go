package gateway

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Guards against a stage, or an engine, that is given results twice because several of the
// stages before it pass them on.
func TestOmittedStagesRepeatNoInputs(t *testing.T) {
	after := func(lists ...[]int) []site.Stage {
		var out []site.Stage
		for _, list := range lists {
			out = append(out, site.Stage{Service: "p", DependsOn: list, ResultBytes: 8})
		}
		return out
	}
	tests := []struct {
		name, pieces string
		stages       []site.Stage
		// last and engine are the inputs of the last stage that has pieces and of the engine.
		last, engine []string
	}{
		{"none omitted", "2,1,1", after(nil, []int{0}, []int{0, 1}), []string{"h0.0", "h0.1", "h1.0"}, []string{"h2.0"}},
		{"stage between", "2,0,1", after(nil, []int{0}, []int{0, 1}), []string{"h0.0", "h0.1"}, []string{"h2.0"}},
		{"stage between, named first", "2,0,1", after(nil, []int{0}, []int{1, 0}), []string{"h0.0", "h0.1"}, []string{"h2.0"}},
		{"two side by side", "1,0,0,1", after(nil, []int{0}, []int{0}, []int{1, 2}), []string{"h0.0"}, []string{"h3.0"}},
		{"one of two side by side", "1,0,1,1", after(nil, []int{0}, []int{0}, []int{1, 2}), []string{"h0.0", "h2.0"}, []string{"h3.0"}},
		{"two in a row", "1,0,0,1", after(nil, []int{0}, []int{1}, []int{0, 1, 2}), []string{"h0.0"}, []string{"h3.0"}},
		{"several at the end", "2,0,0", after(nil, []int{0}, []int{0}), nil, []string{"h0.0", "h0.1"}},
		{"stage and an omitted one at the end", "1,1,0", after(nil, []int{0}, []int{1}), []string{"h0.0"}, []string{"h1.0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var engine string
			f := newFixture(t, document(tt.stages...), newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
				engine = r.Header.Get("Inputs")
				writeEvents(1)(w, r)
			}).URL)
			f.runStage = succeed
			if _, _, err := f.call(t, "/staged/x", "Pieces", tt.pieces); err != nil {
				t.Fatalf("call: %v", err)
			}
			if got := strings.Split(engine, ","); !slices.Equal(got, tt.engine) {
				t.Errorf("the engine got %q, want %q", got, tt.engine)
			}
			last := slices.MaxFunc(f.jobs, func(a, b batcher.Job) int { return a.Stage - b.Stage })
			if !slices.Equal(last.Inputs, tt.last) {
				t.Errorf("stage %d got %q, want %q", last.Stage, last.Inputs, tt.last)
			}
			if got, want := last.InputBytes, int64(8*len(tt.last)); got != want {
				t.Errorf("the inputs of stage %d have %d bytes, want %d", last.Stage, got, want)
			}
		})
	}
}

// Guards against a stage that runs again with the inputs that are gone, because only an
// omitted stage between is run again and not the one whose results it passes on.
func TestLostInputsOfOmittedStageAreMadeAgain(t *testing.T) {
	f := newFixture(t, document(site.Stage{Service: "p"}, site.Stage{Service: "p", DependsOn: []int{0}}, site.Stage{Service: "p", DependsOn: []int{1}}), newUpstream(t, writeEvents(1)).URL)
	made, lost := 0, false
	f.runStage = func(job batcher.Job) batcher.Result {
		switch {
		case job.Stage == 0:
			made++
			return batcher.Completed{Handles: []string{"h" + strings.Repeat("'", made)}}
		case !lost:
			lost = true
			return batcher.Failed{InputsGone: true, Err: http.ErrAbortHandler}
		default:
			return succeed(job)
		}
	}
	resp, _, err := f.call(t, "/staged/x", "Pieces", "1,0,1")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want an answer", resp, err)
	}
	if got, want := f.jobs[len(f.jobs)-1].Inputs, []string{"h''"}; !slices.Equal(got, want) {
		t.Errorf("the stage got %q in the end, want %q", got, want)
	}
}

// Guards against a stage that is given only some of its inputs: an omitted stage that it
// depends on counts as done although a stage whose results it passes on runs again.
func TestStageWaitsForStagesBehindOmittedOne(t *testing.T) {
	stages := []site.Stage{{Service: "p"}, {Service: "p", DependsOn: []int{0}}, {Service: "p", DependsOn: []int{1}}}
	q := &request{route: &site.Route{Stages: stages}, stages: make([]stageState, 3)}
	q.Pieces = []int{1, 0, 1}
	q.stages[1].done = true
	if q.inputsReady(2) {
		t.Error("the stage starts without the results of stage 0, which is not done")
	}
	q.stages[0].done = true
	if !q.inputsReady(2) {
		t.Error("the stage does not start although all its inputs exist")
	}
}
