package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

// learning returns a Balancer that has learned that upstreams answer in 100 ms.
func learning(seed uint64, n int) *Balancer {
	b := New(Config{Zone: "z0", Random: rand.New(rand.NewPCG(seed, 1)).IntN, Model: capacity.NewModel()})
	from := upstreams(n)
	for i := range 8 * n {
		info := PickInfo{Prompt: []Segment{{ID: fmt.Sprint(i), Tokens: 100 + 100*(i%8)}}}
		for _, u := range from {
			if u.ID != fmt.Sprint("u", i%n) {
				info.Exclude = append(info.Exclude, u.ID)
			}
		}
		c, _ := b.Choose(t0, info, from)
		answered := t0.Add(time.Duration(100+100*(i%8)) * time.Millisecond)
		b.Begun(answered, c)
		b.End(answered, c, DoneInfo{})
	}
	return b
}

// Guards against a prefix that stays at one upstream although that one is overloaded, and
// against one that is spread although its upstream has time.
func TestPrefixStaysWhereItIsCachedUntilQueueOutweighsIt(t *testing.T) {
	from := upstreams(12)
	now := t0.Add(time.Second)
	info := PickInfo{Prefix: "p", Prompt: []Segment{{ID: "p", Tokens: 2000}, {ID: "own", Tokens: 100}}}
	b := learning(1, 12)
	first, _ := b.Choose(now, info, from)
	b.Begun(now, first)
	b.End(now, first, DoneInfo{})
	for range 20 {
		c, _ := b.Choose(now, info, from)
		if c.ID != first.ID {
			t.Fatalf("chose %s while %s has the prefix and nothing to do", c.ID, first.ID)
		}
		b.End(now, c, DoneInfo{})
	}
	counts := pick(b, 60, info, from)
	if got := counts[first.ID]; got < 4 || got > 50 {
		t.Errorf("%s with four slots got %d of 60 calls at once with the prefix, want 4 to 50", first.ID, got)
	}
}

// Guards against upstreams that may not be chosen, or should be only in need, being chosen.
func TestLearnedChoiceAvoidsUnavailableUpstreams(t *testing.T) {
	from := upstreams(4)
	now := t0.Add(time.Second)
	from[0].Silent = true
	b := learning(2, 4)
	b.Done(now, "u1", DoneInfo{Unreachable: true})
	for range 8 {
		b.Done(now, "u2", DoneInfo{Failed: true})
	}
	got := make(map[string]int)
	for range 40 {
		c, _ := b.Choose(now, PickInfo{}, from)
		got[c.ID]++
		b.End(now, c, DoneInfo{})
	}
	if got["u3"] < 38 {
		t.Errorf("got %v, want nearly all of 40 at u3: u0 is silent, u1 unreachable, u2 fails", got)
	}
	if _, ok := b.Choose(now, PickInfo{Exclude: []string{"u3"}}, from); !ok {
		t.Error("nothing was chosen although unavailable upstreams are left")
	}
	if _, ok := b.Choose(now, PickInfo{Exclude: []string{"u0", "u1", "u2", "u3"}}, from); ok {
		t.Error("an excluded upstream was chosen")
	}
}

// Guards against requests that the upstream is expected to refuse while another has room.
func TestLearnedChoiceAvoidsFullUpstream(t *testing.T) {
	from := upstreams(2)
	now := t0.Add(time.Second)
	b := learning(3, 2)
	for range 20 {
		b.Report(now, "u0", Report{Running: 6, Waiting: 24, Slots: 6})
	}
	c, _ := b.Choose(now, PickInfo{Exclude: []string{"u1"}}, from)
	b.End(now, c, DoneInfo{Full: true, Report: &Report{Running: 6, Waiting: 24, Slots: 6}})
	later := now.Add(2 * fullCooldown)
	for range 20 {
		if c, _ := b.Choose(later, PickInfo{}, from); c.ID != "u1" || c.Full {
			t.Fatalf("chose %s (full: %v), want u1", c.ID, c.Full)
		}
	}
}

// Guards against calls that are kept after their end, of which each would count as overdue.
func TestEndedCallsAreForgotten(t *testing.T) {
	from := upstreams(3)
	b := learning(4, 3)
	for i := range 100 {
		c, _ := b.Choose(t0, PickInfo{}, from)
		if i%2 == 0 {
			b.Begun(t0, c)
		}
		b.End(t0.Add(time.Second), c, DoneInfo{Failed: i%3 == 0, GaveUp: i%5 == 0})
	}
	for id, s := range b.states {
		if len(s.learned.waiting) > 0 || s.inFlight > 0 {
			t.Errorf("%s has %d calls that wait and %d in flight, want none", id, len(s.learned.waiting), s.inFlight)
		}
	}
}

// The decision may take 20 us at 400 upstreams.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 100, 400} {
		from := upstreams(n)
		for _, state := range []string{"plain", "prefix", "full", "silent"} {
			b.Run(fmt.Sprintf("upstreams=%d/%s", n, state), func(b *testing.B) {
				balancer, prefix := learning(1, n), ""
				if state == "prefix" {
					prefix = "p"
				}
				for i := range from {
					from[i].Silent = state == "silent"
					if state == "full" {
						balancer.cfg.Model.Full(t0, "s", from[i].ID, 0)
						balancer.Report(t0, from[i].ID, Report{Running: 4, Waiting: 20, Slots: 4})
					}
				}
				info := PickInfo{Prefix: prefix, Zone: "z1", InputBytes: 1 << 18}
				for i := range 6 {
					info.Prompt = append(info.Prompt, Segment{ID: fmt.Sprint("segment", i), Tokens: 300})
				}
				if prefix != "" {
					info.Prompt[3].ID = prefix
				}
				for b.Loop() {
					c, _ := balancer.Choose(t0, info, from)
					balancer.End(t0, c, DoneInfo{})
				}
			})
		}
	}
}

// Guards against a home in another zone than the inputs of the requests with the prefix, at
// which none of them would be sent, and against none where the zone has no upstreams.
func TestHomeOfPrefixLiesInZoneOfInputs(t *testing.T) {
	from := upstreams(12)
	for i := range from {
		from[i].Zone = fmt.Sprint("z", i%3)
	}
	for i := range 50 {
		var m prefixMemory
		prefix := fmt.Sprint("p", i)
		for _, zone := range []string{"z0", "z1", "z2"} {
			id := m.home(t0, prefix, zone, from)
			inZone, _ := ByHash(prefix, slices.DeleteFunc(slices.Clone(from), func(u catalog.Upstream) bool { return u.Zone != zone }))
			if id != inZone.ID {
				t.Errorf("home of %s in %s is %s, want %s", prefix, zone, id, inZone.ID)
			}
		}
		all, _ := ByHash(prefix, from)
		if got := m.home(t0, prefix, "elsewhere", from); got != all.ID {
			t.Errorf("home of %s without an upstream in its zone is %s, want %s", prefix, got, all.ID)
		}
	}
}

// Guards against a request that leaves the upstream that has its prefix cached although it is
// in time there, and against one that stays although it would be late.
func TestRequestInTimeStaysWhereItsPrefixIsCached(t *testing.T) {
	from := upstreams(4)
	now := t0.Add(time.Second)
	b := learning(3, 4)
	info := PickInfo{Prefix: "p", Prompt: []Segment{{ID: "p", Tokens: 200}, {ID: "own", Tokens: 600}}}
	first, _ := b.Choose(now, info, from)
	b.Begun(now, first)
	b.End(now, first, DoneInfo{})
	// Requests of other prompts get no answer there.
	other := PickInfo{Prompt: []Segment{{ID: "other", Tokens: 800}}}
	for _, u := range from {
		if u.ID != first.ID {
			other.Exclude = append(other.Exclude, u.ID)
		}
	}
	for range 12 {
		b.Choose(now, other, from)
	}
	// They are overdue by then.
	now = now.Add(5 * time.Second)
	info.TimeLeft = time.Hour
	stays, _ := b.Choose(now, info, from)
	b.Cancel(stays)
	if stays.ID != first.ID {
		t.Errorf("chose %s with an hour left, want %s, which has the prefix", stays.ID, first.ID)
	}
	info.TimeLeft = time.Millisecond
	if leaves, _ := b.Choose(now, info, from); leaves.ID == first.ID {
		t.Errorf("chose %s, which has overdue requests, although the request is late there", leaves.ID)
	}
}
