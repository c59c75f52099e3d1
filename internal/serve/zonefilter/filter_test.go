package zonefilter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain makes the random tests reproducible with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

func evacuations(index uint64, zones ...string) *statepb.Evacuations {
	e := &statepb.Evacuations{Index: index}
	for _, zone := range zones {
		e.Zones = append(e.Zones, &statepb.ZoneEvacuation{Zone: zone, Index: index})
	}
	return e
}

// upstreamsIn returns n upstreams of a service in each zone.
func upstreamsIn(n int, zones ...string) []catalog.Upstream {
	var out []catalog.Upstream
	for i := range n {
		for _, zone := range zones {
			out = append(out, catalog.Upstream{ID: fmt.Sprint(zone, i), Service: "s", Address: fmt.Sprint(zone, i, ":1"), Zone: zone, Slots: 1})
		}
	}
	return out
}

func zonesOf(upstreams []catalog.Upstream) []string {
	var out []string
	for _, u := range upstreams {
		if !slices.Contains(out, u.Zone) {
			out = append(out, u.Zone)
		}
	}
	return out
}

// Guards against a request to an evacuated zone, against an older state that replaces a
// newer one, and against a list that is not updated when the upstreams change.
func TestNothingIsOfferedInEvacuatedZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New(Config{Random: rand.Float64})
		now := time.Unix(1000, 0)
		all := []string{"a", "b", "c"}
		var index uint64
		evacuated := make(map[string]bool)
		upstreams := upstreamsIn(2, all...)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "new upstreams") {
				upstreams = upstreamsIn(rapid.IntRange(0, 3).Draw(t, "upstreams"), all...)
			}
			e := evacuations(uint64(rapid.IntRange(1, 30).Draw(t, "index")), rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string]).Draw(t, "zones")...)
			f.Apply(now, e)
			if e.Index > index {
				index = e.Index
				clear(evacuated)
				for _, z := range e.Zones {
					evacuated[z.Zone] = true
				}
			}
			offered, available := f.Offered(now, "s", upstreams), f.Available("s", upstreams)
			if got, want := f.Applies(), len(evacuated) > 0; got != want {
				t.Fatalf("applies: %t, want %t", got, want)
			}
			waits := make([]time.Duration, len(upstreams))
			f.WaitAll(now, upstreams, waits)
			for i, u := range upstreams {
				wait := time.Duration(0)
				if evacuated[u.Zone] {
					wait = eligible.Unknown
				}
				if got := f.Wait(now, u); got != wait || waits[i] != wait {
					t.Fatalf("upstream %s: wait %v alone and %v with all, want %v", u.ID, got, waits[i], wait)
				}
				if got, want := slices.Contains(available, u), !evacuated[u.Zone]; got != want {
					t.Fatalf("upstream %s available: %t, want %t", u.ID, got, want)
				}
			}
			for _, u := range offered {
				if !slices.Contains(available, u) {
					t.Fatalf("upstream %s is offered and not available", u.ID)
				}
			}
			if len(offered) == 0 && len(available) > 0 {
				t.Fatal("none is offered although some are available")
			}
		}
	})
}

// Guards against a zone that takes its full share the moment it is restored, or never.
func TestRestoredZoneReturnsGradually(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := New(Config{Random: random.Float64})
	end := time.Unix(1000, 0)
	upstreams := upstreamsIn(2, "a", "b")
	if begun, ended := f.Apply(end, evacuations(2, "a")); !slices.Equal(begun, []string{"a"}) || ended != nil {
		t.Errorf("begun %v, ended %v; want [a], none", begun, ended)
	}
	if begun, ended := f.Apply(end, evacuations(3)); begun != nil || !slices.Equal(ended, []string{"a"}) {
		t.Errorf("begun %v, ended %v; want none, [a]", begun, ended)
	}
	for _, tt := range []struct{ after, least, most float64 }{{0, 0.01, 0.12}, {1, 0.15, 0.35}, {2.5, 0.4, 0.65}, {4, 0.7, 0.95}, {5, 1, 1}, {60, 1, 1}} {
		offered := 0
		const draws = 1000
		for range draws {
			if slices.Contains(zonesOf(f.Offered(end.Add(time.Duration(tt.after*float64(time.Second))), "s", upstreams)), "a") {
				offered++
			}
		}
		if got := float64(offered) / draws; got < tt.least || got > tt.most {
			t.Errorf("%v s after the end: offered for %.2f of the requests, want %v to %v", tt.after, got, tt.least, tt.most)
		}
	}
	if got := f.Offered(end, "s", upstreamsIn(2, "a")); len(got) != 2 {
		t.Errorf("%d upstreams offered where a service has no others, want 2", len(got))
	}
}

// Guards against a zone that a process takes for restored when it learns of it at its start.
func TestZoneThatWasNotEvacuatedDoesNotReturn(t *testing.T) {
	f := New(Config{Random: func() float64 { return 0.99 }})
	e := &statepb.Evacuations{Index: 7, Zones: []*statepb.ZoneEvacuation{{Zone: "a", Index: 7, Revoked: true}}}
	if begun, ended := f.Apply(time.Unix(1000, 0), e); begun != nil || ended != nil {
		t.Errorf("begun %v, ended %v; want none", begun, ended)
	}
	if got, want := len(f.Offered(time.Unix(1000, 0), "s", upstreamsIn(2, "a", "b"))), 4; got != want {
		t.Errorf("%d upstreams offered, want %d", got, want)
	}
}

func BenchmarkFilter(b *testing.B) {
	for _, n := range []int{25, 100, 400} {
		upstreams := upstreamsIn(n/4, "a", "b", "c", "d")
		now := time.Unix(1000, 0)
		f := New(Config{Random: func() float64 { return 0.5 }})
		f.Apply(now, evacuations(2, "a", "b"))
		f.Apply(now, evacuations(3, "a"))
		rules := eligible.Rules{f}
		b.Run(fmt.Sprintf("available/%d", n), func(b *testing.B) {
			for range b.N {
				f.Available("s", upstreams)
			}
		})
		b.Run(fmt.Sprintf("rule/%d", n), func(b *testing.B) {
			for range b.N {
				rules.Filter(now, f.Available("s", upstreams))
			}
		})
		b.Run(fmt.Sprintf("returning/%d", n), func(b *testing.B) {
			for range b.N {
				f.Offered(now.Add(time.Second), "s", upstreams)
			}
		})
	}
}
