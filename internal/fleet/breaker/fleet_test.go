package breaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// bad is the segment that ends the simulated upstreams.
const bad = "bad"

// simulation is a fleet in virtual time: entries with a Guard each, control instances
// with a Board each, and upstreams that end under a prompt with the segment bad.
type simulation struct {
	rnd      *rand.Rand
	mu       sync.Mutex
	guards   []*Guard
	boards   []*Board
	upstream []*simulatedUpstream
	// delay is the longest time from sending a request to its first event.
	delay time.Duration
	// resumable requests are sent again once.
	resumable bool

	// reached and ended hold when bad requests reached an upstream, and when one ended
	// under one.
	reached, ended []time.Time
	// refused counts the sound requests that were not sent, of sound in all. opened
	// holds the sound segments whose breakers were opened.
	refused, sound int
	opened         map[string]bool
	wg             sync.WaitGroup
}

type simulatedUpstream struct {
	catalog.Upstream
	// end is closed when this start ends, nil while the upstream is down.
	end chan struct{}
}

// size is that of a simulated fleet.
type size struct {
	entries, controls, upstreams int
	// rate is the number of sound requests a second.
	rate int
}

var (
	small = size{entries: 8, controls: 3, upstreams: 12, rate: 50}
	quiet = size{entries: 8, controls: 3, upstreams: 12, rate: 4}
	large = size{entries: 60, controls: 5, upstreams: 180, rate: 600}
)

func newSimulation(seed uint64, s size) *simulation {
	f := &simulation{rnd: rand.New(rand.NewPCG(seed, 2)), delay: 400 * time.Millisecond, resumable: true, opened: make(map[string]bool)}
	for range s.controls {
		f.boards = append(f.boards, NewBoard())
	}
	for i := range s.upstreams {
		f.upstream = append(f.upstream, &simulatedUpstream{Upstream: catalog.Upstream{ID: fmt.Sprint("u", i), StartTimeMs: 1}, end: make(chan struct{})})
	}
	entries := make([]int, s.entries)
	for i := range entries {
		entries[i] = i
		f.guards = append(f.guards, NewGuard(GuardConfig{
			Report: f.report,
			Rank: func(segment string) int {
				return rendezvous.Rank(segment, fmt.Sprint("e", i), entries, func(n int) string { return fmt.Sprint("e", n) })
			},
			Log: zap.NewNop(),
		}))
	}
	return f
}

func (f *simulation) report(seen *fleetpb.NewsSeen) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.boards {
		b.Report(time.Now(), seen)
	}
}

// decide lets the control instances decide and tell the entries until stop is closed.
func (f *simulation) decide(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for i, b := range f.boards {
			now := time.Now()
			f.mu.Lock()
			changes, _ := b.Decide(now)
			n := &fleetpb.News{Incarnation: uint64(i + 1)}
			for _, c := range changes {
				n.Breakers = append(n.Breakers, c.After.Proto(now))
				if c.After.Segment != bad && c.After.State == Open {
					f.opened[c.After.Segment] = true
				}
			}
			f.mu.Unlock()
			for _, g := range f.guards {
				if len(changes) > 0 {
					g.Apply(n)
				}
			}
		}
	}
}

// pick returns an upstream that is up, and the channel that is closed at its end.
func (f *simulation) pick() (*simulatedUpstream, catalog.Upstream, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	up := slices.DeleteFunc(slices.Clone(f.upstream), func(u *simulatedUpstream) bool { return u.end == nil })
	if len(up) == 0 {
		return nil, catalog.Upstream{}, nil
	}
	u := up[f.rnd.IntN(len(up))]
	return u, u.Upstream, u.end
}

// crash ends an upstream, which starts again after some seconds.
func (f *simulation) crash(u *simulatedUpstream, start catalog.Upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if u.end == nil || u.StartTimeMs != start.StartTimeMs {
		return false
	}
	close(u.end)
	u.end = nil
	down := 2*time.Second + time.Duration(f.rnd.Int64N(int64(2*time.Second)))
	time.AfterFunc(down, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		u.StartTimeMs++
		u.end = make(chan struct{})
	})
	return true
}

func (f *simulation) random(longest time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rnd.Int64N(int64(longest)))
}

// request sends a request with a prompt at an entry.
func (f *simulation) request(entry int, segments []string) {
	g, isBad := f.guards[entry], slices.Contains(segments, bad)
	if !isBad {
		f.mu.Lock()
		f.sound++
		f.mu.Unlock()
	}
	for attempt := 0; attempt < 2; attempt++ {
		u, start, end := f.pick()
		if u == nil {
			return
		}
		if g.Start(segments) != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !isBad {
				f.refused++
			}
			return
		}
		if f.attempt(g, u, start, end, segments, isBad) || !f.resumable {
			return
		}
	}
}

// attempt sends a request to an upstream, and reports whether it responded.
func (f *simulation) attempt(g *Guard, u *simulatedUpstream, start catalog.Upstream, end chan struct{}, segments []string, isBad bool) bool {
	sentAt := time.Now()
	if isBad {
		f.mu.Lock()
		f.reached = append(f.reached, sentAt)
		f.mu.Unlock()
	}
	select {
	case <-end:
	case <-time.After(f.delay/8 + f.random(f.delay)):
		if !isBad {
			begunAt := time.Now()
			time.Sleep(100 * time.Millisecond)
			g.Begun(segments, begunAt)
			return true
		}
		if f.crash(u, start) {
			f.mu.Lock()
			f.ended = append(f.ended, time.Now())
			f.mu.Unlock()
		}
	}
	g.Ended(End{Upstream: start, At: time.Now(), SentAt: sentAt, Segments: segments})
	return false
}

// send sends requests at random entries at a rate a second until stop is closed.
func (f *simulation) send(rate float64, stop <-chan struct{}, prompt func() []string) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(f.random(time.Duration(2 * float64(time.Second) / rate))):
		}
		f.mu.Lock()
		entry, segments := f.rnd.IntN(len(f.guards)), prompt()
		f.mu.Unlock()
		f.wg.Go(func() { f.request(entry, segments) })
	}
}

// soundPrompt returns the segments of a sound prompt: one of three shared by all of a
// route, and one of a hundred, some far more frequent than others.
func (f *simulation) soundPrompt() []string {
	return []string{fmt.Sprint("route", f.rnd.IntN(3)), fmt.Sprint("topic", f.rnd.IntN(1+f.rnd.IntN(100)))}
}

// run plays a scene beside sound requests for a time.
func (f *simulation) run(s size, length time.Duration, scene func(stop <-chan struct{})) {
	stop := make(chan struct{})
	f.wg.Go(func() { f.decide(stop) })
	f.wg.Go(func() { f.send(float64(s.rate), stop, f.soundPrompt) })
	f.wg.Go(func() {
		time.Sleep(3 * time.Second)
		scene(stop)
	})
	time.Sleep(length)
	close(stop)
	f.wg.Wait()
	for _, g := range f.guards {
		g.Close()
	}
}

// check holds the simulation against what is wanted: few bad requests reach upstreams
// spread after the fifth end, no sound segment's breaker opens, and few sound requests
// are refused.
func (f *simulation) check(t *testing.T) {
	t.Helper()
	const spread, most = 3 * time.Second, 3
	after := 0
	if len(f.ended) >= 5 {
		for _, at := range f.reached {
			if at.After(f.ended[4].Add(spread)) {
				after++
			}
		}
	}
	if after > most {
		t.Errorf("%d bad requests reached upstreams %v after the fifth end or later, want at most %d; %d ended in all", after, spread, most, len(f.ended))
	}
	if len(f.opened) > 0 {
		t.Errorf("breakers of sound segments opened: %v", f.opened)
	}
	if share := float64(f.refused) / float64(f.sound); share > 0.01 {
		t.Errorf("%d of %d sound requests were refused, want at most 1 in 100", f.refused, f.sound)
	}
	t.Logf("%d ended, %d bad requests reached upstreams, %d of %d sound ones refused", len(f.ended), len(f.reached), f.refused, f.sound)
}

// badPrompt returns the segments of a prompt that ends upstreams: those of a sound one,
// with another between or after them.
func (f *simulation) badPrompt() []string {
	return slices.Insert(f.soundPrompt(), 1+f.rnd.IntN(2), bad)
}

// crashes ends a share of the upstreams at once every few seconds.
func (f *simulation) crashes(stop <-chan struct{}, share float64, pause time.Duration) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause/2 + f.random(pause)):
		}
		for _, u := range f.upstream {
			f.mu.Lock()
			start, hit := u.Upstream, f.rnd.Float64() < share
			f.mu.Unlock()
			if hit {
				f.crash(u, start)
			}
		}
	}
}

func TestFleet(t *testing.T) {
	scenes := []struct {
		name  string
		scene func(f *simulation, stop <-chan struct{})
	}{
		{"bad prompts", func(f *simulation, stop <-chan struct{}) { f.send(3, stop, f.badPrompt) }},
		{"many bad prompts", func(f *simulation, stop <-chan struct{}) { f.send(30, stop, f.badPrompt) }},
		{"few bad prompts", func(f *simulation, stop <-chan struct{}) { f.send(0.3, stop, f.badPrompt) }},
		{"bursts of bad prompts", func(f *simulation, stop <-chan struct{}) {
			for {
				for i := range 5 {
					f.wg.Go(func() { f.request(i%len(f.guards), []string{"route0", bad}) })
				}
				select {
				case <-stop:
					return
				case <-time.After(6 * time.Second):
				}
			}
		}},
		{"slow upstreams", func(f *simulation, stop <-chan struct{}) {
			f.mu.Lock()
			f.delay = 1500 * time.Millisecond
			f.mu.Unlock()
			f.send(5, stop, f.badPrompt)
		}},
		{"crashes", func(f *simulation, stop <-chan struct{}) { f.crashes(stop, 0.3, 3*time.Second) }},
		{"all crash", func(f *simulation, stop <-chan struct{}) { f.crashes(stop, 1, 8*time.Second) }},
		{"crashes one by one", func(f *simulation, stop <-chan struct{}) { f.crashes(stop, 0.05, 500*time.Millisecond) }},
		{"bad prompts beside crashes", func(f *simulation, stop <-chan struct{}) {
			f.wg.Go(func() { f.crashes(stop, 0.2, 2*time.Second) })
			f.send(3, stop, f.badPrompt)
		}},
		{"bad prompts without other segments", func(f *simulation, stop <-chan struct{}) {
			f.send(3, stop, func() []string { return []string{bad} })
		}},
		{"always with the same other segments", func(f *simulation, stop <-chan struct{}) {
			f.send(3, stop, func() []string { return []string{"route0", "topic7", bad} })
		}},
	}
	for _, sc := range scenes {
		for _, resumable := range []bool{true, false} {
			for seed := range uint64(4) {
				playScene(t, fmt.Sprintf("%s, small, resumable %t, seed %d", sc.name, resumable, seed), seed, small, resumable, sc.scene)
			}
			playScene(t, fmt.Sprintf("%s, quiet, resumable %t", sc.name, resumable), 1, quiet, resumable, sc.scene)
			playScene(t, fmt.Sprintf("%s, large, resumable %t", sc.name, resumable), 1, large, resumable, sc.scene)
		}
	}
}

func playScene(t *testing.T, name string, seed uint64, s size, resumable bool, scene func(f *simulation, stop <-chan struct{})) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulation(seed, s)
			f.resumable = resumable
			f.run(s, 30*time.Second, func(stop <-chan struct{}) { scene(f, stop) })
			f.check(t)
		})
	})
}
