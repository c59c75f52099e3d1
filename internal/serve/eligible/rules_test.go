package eligible

import (
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// fixedWaits is a Rule with a wait for some upstreams by ID.
type fixedWaits map[string]time.Duration

func (f fixedWaits) Wait(_ time.Time, u catalog.Upstream) time.Duration { return f[u.ID] }

// batchWaits is a BatchRule with a wait for some upstreams by ID.
type batchWaits struct {
	fixedWaits
	applies bool
}

func (b batchWaits) Applies() bool { return b.applies }

func (b batchWaits) WaitAll(now time.Time, candidates []catalog.Upstream, waits []time.Duration) {
	for i, u := range candidates {
		waits[i] = max(waits[i], b.Wait(now, u))
	}
}

// Guards against a rule that is ignored, and against a wait that is longer than the time
// until the first upstream may be called again.
func TestFilter(t *testing.T) {
	candidates := []catalog.Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	tests := []struct {
		name  string
		rules Rules
		want  []string
		wait  time.Duration
	}{
		{"no rules", nil, []string{"a", "b", "c"}, 0},
		{"all pass", Rules{fixedWaits{}}, []string{"a", "b", "c"}, 0},
		{"one waits", Rules{fixedWaits{"b": time.Second}}, []string{"a", "c"}, time.Second},
		{"the last one waits", Rules{fixedWaits{"c": time.Second}}, []string{"a", "b"}, time.Second},
		{"the longest wait of an upstream counts", Rules{fixedWaits{"a": time.Second}, fixedWaits{"a": 3 * time.Second, "b": 2 * time.Second}}, []string{"c"}, 2 * time.Second},
		{"a rule for many at once", Rules{batchWaits{fixedWaits{"a": time.Second}, true}, fixedWaits{"a": 2 * time.Second, "b": 3 * time.Second}}, []string{"c"}, 2 * time.Second},
		{"it does not apply", Rules{batchWaits{fixedWaits{"a": time.Second}, false}}, []string{"a", "b", "c"}, 0},
		{"no end is known", Rules{fixedWaits{"a": Unknown, "b": Unknown, "c": Unknown}}, nil, Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			callable, wait := tt.rules.Filter(time.Time{}, candidates)
			var got []string
			for _, u := range callable {
				got = append(got, u.ID)
			}
			if !slices.Equal(got, tt.want) || wait != tt.wait {
				t.Errorf("got %v after %v, want %v after %v", got, wait, tt.want, tt.wait)
			}
		})
	}
}
