package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

// evacuate makes the fixture act as if all but the given upstreams of a service were in an
// evacuated zone.
func (f *fixture) evacuate(service string, left ...catalog.Upstream) {
	all := f.cfg.Upstreams
	f.cfg.Upstreams = func(name string) []catalog.Upstream {
		if name == service {
			return left
		}
		return all(name)
	}
	f.cfg.Evacuated = func(name string) int {
		if name == service {
			return len(all(name)) - len(left)
		}
		return 0
	}
}

// Guards against a request that waits, or for which stages are run, although every upstream
// of a service that it needs is evacuated, and against one that is refused for a service
// that it does not need.
func TestRequestWithoutZoneLeftIsRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		name, evacuated, pieces string
		want                    int
	}{
		{"its own service", "s", "1", http.StatusServiceUnavailable},
		{"service of a stage", "p", "1", http.StatusServiceUnavailable},
		{"service of a stage without pieces", "p", "0", http.StatusOK},
		{"another service", "other", "1", http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, writeEvents(2))
			f := newFixture(t, document(testStages()...), u.URL)
			f.runStage = succeed
			f.evacuate(tt.evacuated)
			start := time.Now()
			resp, body, err := f.call(t, "/staged/x", "Pieces", tt.pieces)
			if err != nil {
				t.Fatal(err)
			}
			if got := resp.StatusCode; got != tt.want {
				t.Errorf("status %d (%s), want %d", got, strings.TrimSpace(body), tt.want)
			}
			if took, limit := time.Since(start), time.Second; took > limit {
				t.Errorf("answered after %v, want at most %v", took, limit)
			}
			if tt.want == http.StatusOK {
				return
			}
			if got := len(f.jobs); got > 0 {
				t.Errorf("%d stages were run for nothing", got)
			}
			if resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After")
			}
		})
	}
}

// Guards against stages that are placed in an evacuated zone, and against a metric that does
// not show what is kept away.
func TestStagesLeaveEvacuatedZone(t *testing.T) {
	u := newUpstream(t, writeEvents(2))
	f := newFixture(t, document(testStages()...), u.URL)
	f.runStage = succeed
	metrics := tally.NewTestScope("", nil)
	f.cfg.Metrics = metrics
	left := f.cfg.Upstreams("p")[0]
	left.Zone = "z1"
	all := f.cfg.Upstreams
	f.cfg.Upstreams = func(name string) []catalog.Upstream {
		return append([]catalog.Upstream{{ID: "v", Zone: "z2"}}, all(name)...)
	}
	f.evacuate("p", left)
	f.evacuate("s", left)
	if resp, body, err := f.call(t, "/staged/x", "Pieces", "1"); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v %q %v", resp, body, err)
	}
	for _, job := range f.jobs {
		if len(job.Inputs) == 0 && job.Zone != "z1" {
			t.Errorf("stage %d starts in zone %q, want z1", job.Stage, job.Zone)
		}
	}
	kept := metrics.Snapshot().Counters()["requests_kept_from_zones+"]
	if kept == nil || kept.Value() != 1 {
		t.Errorf("requests kept from zones: %v, want 1", kept)
	}
}
