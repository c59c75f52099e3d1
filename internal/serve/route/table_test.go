package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

var pool = Pool{Kind: "generate", Model: "m"}

func agents(n int) []*fleetpb.Member {
	var out []*fleetpb.Member
	for i := range n {
		out = append(out, &fleetpb.Member{
			Name: fmt.Sprintf("a%d", i), Role: "agent", Zone: "z", Link: fmt.Sprint(i), Kind: pool.Kind, Model: pool.Model,
			Slots: 2, Incarnation: 1, State: fleetpb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	return out
}

func newTable(n int) *Table {
	rnd := rand.New(rand.NewPCG(1, 1))
	t := NewTable(Config{Entry: "e", Zone: "z", Random: rnd.IntN})
	t.Configure(document.Routing{HedgeQuantile: 0.95})
	t.Update(agents(n))
	return t
}

var expected = document.Routing{Policy: "expected", Candidates: 8, Subset: 32}

// serve sends n calls one after another and returns the number of calls by
// upstream. us returns the service time on an upstream in microseconds.
func serve(t *Table, now time.Time, n int, us func(name string) int64) map[string]int {
	counts := make(map[string]int)
	info := PickInfo{Pool: pool, Size: 10}
	for range n {
		u, ok := t.Pick(now, info, expected)
		if !ok {
			continue
		}
		counts[u.Name]++
		c := t.Begin(now, u, info)
		now = now.Add(time.Millisecond)
		t.Done(now, c, DoneInfo{ServiceUs: us(u.Name)})
	}
	return counts
}

func TestSlowUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	table := newTable(10)
	now := time.Now()
	serve(table, now, 200, func(string) int64 { return 1000 })
	slowed := func(name string) int64 {
		if name == "a3" {
			return 10_000
		}
		return 1000
	}
	if got, most := serve(table, now.Add(time.Second), 500, slowed)["a3"], 25; got > most {
		t.Errorf("a slow upstream got %d of 500 calls, want at most %d", got, most)
	}
	if got, least := serve(table, now.Add(30*time.Second), 500, func(string) int64 { return 1000 })["a3"], 20; got < least {
		t.Errorf("a recovered upstream got %d of 500 calls, want at least %d", got, least)
	}
}

// When the whole pool becomes slow, all of it stays in use, because slowness is
// relative to the peers.
func TestWholePoolSlowIsStillUsed(t *testing.T) {
	table := newTable(4)
	now := time.Now()
	serve(table, now, 100, func(string) int64 { return 1000 })
	counts := serve(table, now.Add(time.Second), 400, func(string) int64 { return 20_000 })
	if got, want := len(counts), 4; got != want {
		t.Errorf("%d upstreams used, want %d", got, want)
	}
}

// An upstream whose calls are always superseded by hedges is detected as slow,
// although none of its calls completes.
func TestSupersededCallsRevealSlowUpstream(t *testing.T) {
	table := newTable(4)
	now := time.Now()
	serve(table, now, 100, func(string) int64 { return 1000 })
	u, _ := table.Find("a2")
	c := table.Begin(now, u, PickInfo{Pool: pool, Size: 10})
	table.Done(now.Add(8*time.Millisecond), c, DoneInfo{Superseded: true})
	if got := serve(table, now.Add(10*time.Millisecond), 100, func(string) int64 { return 1000 })["a2"]; got > 5 {
		t.Errorf("an upstream with a superseded call got %d of 100 calls, want at most 5", got)
	}
}

func TestLeavingAndDeadUpstreamsAreNotChosen(t *testing.T) {
	table := newTable(3)
	members := agents(3)
	members[0].State = fleetpb.MemberState_MEMBER_STATE_LEAVING
	members[1].State = fleetpb.MemberState_MEMBER_STATE_DEAD
	table.Update(members)
	counts := serve(table, time.Now(), 50, func(string) int64 { return 1000 })
	if got, want := counts["a2"], 50; got != want {
		t.Errorf("the only upstream that is alive got %d calls, want %d", got, want)
	}
	table.Report(time.Now(), "2", &fleetpb.Word{Leaving: true})
	if _, ok := table.Pick(time.Now(), PickInfo{Pool: pool}, expected); ok {
		t.Error("an upstream that reported that it is leaving was chosen")
	}
}

func TestSubsetIsBoundedAndDiffersByEntry(t *testing.T) {
	used := make(map[string]map[string]int)
	r := expected
	r.Subset = 8
	for _, entry := range []string{"e1", "e2"} {
		table := NewTable(Config{Entry: entry, Zone: "z", Random: rand.New(rand.NewPCG(2, 2)).IntN})
		table.Update(agents(100))
		used[entry] = make(map[string]int)
		for range 500 {
			u, _ := table.Pick(time.Now(), PickInfo{Pool: pool}, r)
			used[entry][u.Name]++
		}
		if got, most := len(used[entry]), 8; got > most {
			t.Errorf("%s used %d upstreams, want at most %d", entry, got, most)
		}
	}
	same := 0
	for name := range used["e1"] {
		if used["e2"][name] > 0 {
			same++
		}
	}
	if same == 8 {
		t.Error("two entries use the same subset")
	}
}

// A pool that is no larger than the sample is compared in full. With random draws,
// one call in four missed a free upstream of the entry's own zone, and sometimes
// seven of eight long calls went to one of two upstreams.
func TestSmallPoolIsComparedInFull(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	table := NewTable(Config{Entry: "e", Zone: "z", Random: rnd.IntN})
	table.Configure(document.Routing{HedgeQuantile: 0.95})
	two := agents(2)
	two[1].Zone = "other"
	table.Update(two)
	for i := range 50 {
		u, ok := table.Pick(time.Now(), PickInfo{Pool: pool, Size: 1000}, expected)
		if got, want := u.Zone, "z"; !ok || got != want {
			t.Fatalf("call %d goes to zone %q, want %q", i, got, want)
		}
	}
}

// Guards against calls to an evacuated zone, by any policy or affinity, and against capacity
// that is counted there.
func TestEvacuatedZoneIsNotPicked(t *testing.T) {
	table := newTable(6)
	members := agents(6)
	for i, m := range members {
		m.Zone = string(rune('x' + i%3))
	}
	table.Update(members)
	now := time.Now()
	table.SetEvacuated([]string{"x", "y"})
	for i := range 200 {
		info := PickInfo{Pool: pool, Size: 10, Prefix: fmt.Sprint("prefix-", i%7)}
		for _, r := range []document.Routing{expected, {Policy: "baseline", Candidates: 8, Subset: 1}} {
			if u, ok := table.Pick(now, info, r); !ok || u.Zone != "z" {
				t.Fatalf("picked %q in zone %q, want one in zone z", u.Name, u.Zone)
			}
		}
	}
	if got, want := table.EffectiveSlots(now, pool), 4.0; got != want {
		t.Errorf("%v slots, want %v", got, want)
	}
	if table.Evacuated(pool) {
		t.Error("the pool counts as evacuated although a zone is left")
	}
	table.SetEvacuated([]string{"x", "y", "z"})
	if u, ok := table.Pick(now, PickInfo{Pool: pool, Size: 10}, expected); ok || !table.Evacuated(pool) {
		t.Errorf("picked %q although every zone is evacuated", u.Name)
	}
	table.SetEvacuated(nil)
	if _, ok := table.Pick(now, PickInfo{Pool: pool, Size: 10}, expected); !ok {
		t.Error("nothing is picked after the zones were restored")
	}
}
