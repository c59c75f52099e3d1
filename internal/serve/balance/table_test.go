package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
)

var t0 = time.Unix(1_790_000_000, 0)

func upstreams(n int) []catalog.Upstream {
	var out []catalog.Upstream
	for i := range n {
		out = append(out, catalog.Upstream{ID: fmt.Sprint("u", i), Zone: fmt.Sprint("z", i%3), Slots: 4, State: catalog.Ready, Heard: t0})
	}
	return out
}

func newTable(seed uint64) *Table {
	return New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(seed, 1)).IntN})
}

// pick places n calls that stay in flight and returns how many each got.
func pick(t *Table, n int, need Need, from []catalog.Upstream) map[string]int {
	counts := make(map[string]int)
	for range n {
		if u, ok := t.Pick(t0, need, from); ok {
			counts[u.ID]++
		}
	}
	return counts
}

func TestAvoided(t *testing.T) {
	from := upstreams(4)
	from[0].Heard = t0.Add(-4400 * time.Millisecond)
	table := newTable(1)
	table.Ended(t0, "u1", End{Unreachable: true})
	table.Ended(t0, "u2", End{Full: true})
	if got, want := fmt.Sprint(pick(table, 20, Need{}, from)), "map[u3:20]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := pick(table, 20, Need{Except: []string{"u3"}}, from); len(got) == 0 {
		t.Error("nothing was chosen where only doubtful ones are left")
	}
	if _, ok := table.Pick(t0, Need{Except: []string{"u0", "u1", "u2", "u3"}}, from); ok {
		t.Error("an excluded upstream was chosen")
	}
}

// The load: seven entries that see each other's calls only by what upstreams
// report late. Two drawn at random keep the fullest near the mean; all entries
// going to the emptiest by report would send every call to one.
func TestEntriesDoNotHerd(t *testing.T) {
	from := upstreams(18)
	total := make(map[string]int)
	for entry := range uint64(7) {
		table := newTable(entry)
		for _, u := range from {
			table.Report(t0, u.ID, Report{Running: 2, Slots: 4})
		}
		table.Report(t0, "u7", Report{Slots: 4})
		for id, n := range pick(table, 18, Need{}, from) {
			total[id] += n
		}
	}
	most := 0
	for _, n := range total {
		most = max(most, n)
	}
	if mean := 7; most > 3*mean {
		t.Errorf("the fullest of 18 got %d calls of 126, want at most %d", most, 3*mean)
	}
}

func TestSharedPromptsStayTogether(t *testing.T) {
	from := upstreams(12)
	first, _ := newTable(1).Pick(t0, Need{Prefix: "p"}, from)
	for seed := range uint64(20) {
		if u, _ := newTable(seed).Pick(t0, Need{Prefix: "p"}, from); u.ID != first.ID {
			t.Errorf("entry %d chose %s, want %s", seed, u.ID, first.ID)
		}
	}
	counts := pick(newTable(1), 40, Need{Prefix: "p"}, from)
	if got := counts[first.ID]; got > 20 {
		t.Errorf("a prompt that many want got %d of 40 calls on one engine, want it to spread", got)
	}
}

func TestHomeZone(t *testing.T) {
	from := upstreams(12)
	for range 20 {
		if u, _ := newTable(3).Pick(t0, Need{Prefix: "p", Zone: "z2"}, from); u.Zone != "z2" {
			t.Errorf("chose zone %s, want z2", u.Zone)
		}
	}
}

// An upstream that fails most calls is left to others, and tried again later.
func TestFailingUpstreamIsShed(t *testing.T) {
	from := upstreams(3)
	table := newTable(1)
	serve := func(now time.Time) int {
		n := 0
		for range 300 {
			for i := range from {
				from[i].Heard = now
			}
			u, _ := table.Pick(now, Need{}, from)
			if u.ID == "u1" {
				n++
			}
			table.Ended(now, u.ID, End{Failed: u.ID == "u1" && now.Equal(t0)})
		}
		return n
	}
	if got, most := serve(t0), 60; got > most {
		t.Errorf("a failing upstream got %d of 300 calls, want at most %d", got, most)
	}
	if got, least := serve(t0.Add(time.Hour)), 30; got < least {
		t.Errorf("a healed upstream got %d of 300 calls, want at least %d", got, least)
	}
}
