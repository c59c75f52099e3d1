package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

var t0 = time.Unix(1_790_000_000, 0)

func upstreams(n int) []catalog.Upstream {
	var out []catalog.Upstream
	for i := range n {
		out = append(out, catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Zone: fmt.Sprint("z", i%3), Slots: 4, State: catalog.Ready, LastSeen: t0})
	}
	return out
}

func newBalancer(seed uint64) *Balancer {
	return New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(seed, 1)).IntN})
}

// pick starts n calls that stay in flight and returns the number of calls by
// upstream.
func pick(b *Balancer, n int, info PickInfo, from []catalog.Upstream) map[string]int {
	counts := make(map[string]int)
	for range n {
		if u, ok := b.Pick(t0, info, from); ok {
			counts[u.ID]++
		}
	}
	return counts
}

func TestUnavailableUpstreamsAreAvoided(t *testing.T) {
	from := upstreams(4)
	from[0].Silent = true
	b := newBalancer(1)
	b.Done(t0, "u1", DoneInfo{Unreachable: true})
	b.Done(t0, "u2", DoneInfo{Full: true})
	if got, want := fmt.Sprint(pick(b, 20, PickInfo{}, from)), "map[u3:20]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := pick(b, 20, PickInfo{Exclude: []string{"u3"}}, from); len(got) == 0 {
		t.Error("nothing was chosen although unavailable upstreams are left")
	}
	if _, ok := b.Pick(t0, PickInfo{Exclude: []string{"u0", "u1", "u2", "u3"}}, from); ok {
		t.Error("an excluded upstream was chosen")
	}
}

// Seven entries learn of each other's calls only from load reports, which arrive
// late. The choice between two random upstreams keeps the most loaded upstream
// near the mean. If all entries chose the least loaded one by report, it would get
// every call.
func TestEntriesDoNotHerd(t *testing.T) {
	from := upstreams(18)
	total := make(map[string]int)
	for entry := range uint64(7) {
		b := newBalancer(entry)
		for _, u := range from {
			b.Report(t0, u.ID, Report{Running: 2, Slots: 4})
		}
		b.Report(t0, "u7", Report{Slots: 4})
		for id, n := range pick(b, 18, PickInfo{}, from) {
			total[id] += n
		}
	}
	most := 0
	for _, n := range total {
		most = max(most, n)
	}
	if mean := 7; most > 3*mean {
		t.Errorf("the most loaded of 18 upstreams got %d of 126 calls, want at most %d", most, 3*mean)
	}
}

func TestRequestsWithSamePrefixGoToOneUpstream(t *testing.T) {
	from := upstreams(12)
	first, _ := newBalancer(1).Pick(t0, PickInfo{Prefix: "p"}, from)
	for seed := range uint64(20) {
		if u, _ := newBalancer(seed).Pick(t0, PickInfo{Prefix: "p"}, from); u.ID != first.ID {
			t.Errorf("entry %d chose %s, want %s", seed, u.ID, first.ID)
		}
	}
	counts := pick(newBalancer(1), 40, PickInfo{Prefix: "p"}, from)
	if got := counts[first.ID]; got > 20 {
		t.Errorf("one upstream got %d of 40 calls with the same prefix, want at most 20", got)
	}
}

func TestZoneOfInputsIsPreferred(t *testing.T) {
	from := upstreams(12)
	for range 20 {
		if u, _ := newBalancer(3).Pick(t0, PickInfo{Prefix: "p", Zone: "z2"}, from); u.Zone != "z2" {
			t.Errorf("chose zone %s, want z2", u.Zone)
		}
	}
}

// An upstream that fails its calls gets few of them, and is tried again later.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	from := upstreams(3)
	b := newBalancer(1)
	serve := func(now time.Time) int {
		n := 0
		for range 300 {
			for i := range from {
				from[i].LastSeen = now
			}
			u, _ := b.Pick(now, PickInfo{}, from)
			if u.ID == "u1" {
				n++
			}
			b.Done(now, u.ID, DoneInfo{Failed: u.ID == "u1" && now.Equal(t0)})
		}
		return n
	}
	if got, most := serve(t0), 60; got > most {
		t.Errorf("a failing upstream got %d of 300 calls, want at most %d", got, most)
	}
	if got, least := serve(t0.Add(time.Hour)), 30; got < least {
		t.Errorf("a recovered upstream got %d of 300 calls, want at least %d", got, least)
	}
}

// Guards against cold upstreams that get load while others have free slots, also from a
// popular prompt prefix, and against requests that are sent nowhere when only cold ones
// are left.
func TestColdUpstreamsAreAvoidedWhileOthersHaveSlots(t *testing.T) {
	from := upstreams(4)
	prefix := ""
	for i := range 100 {
		if u, _ := ByHash(fmt.Sprint("prefix-", i), from); u.ID == "u0" {
			prefix = fmt.Sprint("prefix-", i)
			break
		}
	}
	b := New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(1, 1)).IntN, Cold: allBut("u3")})
	if got, want := fmt.Sprint(pick(b, 4, PickInfo{Prefix: prefix}, from)), "map[u3:4]"; got != want {
		t.Errorf("with free slots at u3: got %s, want %s", got, want)
	}
	if got := pick(b, 8, PickInfo{}, from); got["u0"]+got["u1"]+got["u2"] < 6 {
		t.Errorf("without a free slot at u3: got %v, want most at the others", got)
	}
	if _, ok := b.Pick(t0, PickInfo{}, from[:3]); !ok {
		t.Error("nothing was chosen with only cold upstreams left")
	}
	b.Done(t0, "u3", DoneInfo{Unreachable: true})
	for _, info := range []PickInfo{{}, {Exclude: []string{"u3"}}} {
		if u, ok := b.Pick(t0, info, from); !ok || u.ID == "u3" {
			t.Errorf("%+v: got %q, want a cold upstream as the others cannot be used", info, u.ID)
		}
	}
}

// Guards against the learned choice, which looks at more than slots, insisting on a cold
// upstream.
func TestLearnedChoiceAvoidsColdUpstreams(t *testing.T) {
	from := upstreams(4)
	b := New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(1, 1)).IntN, Model: capacity.NewModel(), Cold: allBut("u3")})
	if got, want := fmt.Sprint(pick(b, 4, PickInfo{Prefix: "p"}, from)), "map[u3:4]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// allBut returns a Config.Cold by which all upstreams are cold but one.
func allBut(id string) func(time.Time, []catalog.Upstream) []bool {
	return func(_ time.Time, candidates []catalog.Upstream) []bool {
		out := make([]bool, len(candidates))
		for i, u := range candidates {
			out[i] = u.ID != id
		}
		return out
	}
}

// BenchmarkPick shows what a choice costs while the fleet grows, if no upstream is cold.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{1, 40, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(1, 1)).IntN, Cold: func(time.Time, []catalog.Upstream) []bool { return nil }})
			from := upstreams(n)
			for b.Loop() {
				u, _ := balancer.Pick(t0, PickInfo{}, from)
				balancer.Done(t0, u.ID, DoneInfo{})
			}
		})
	}
}
