package batching

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

var (
	t0  = time.Unix(1_790_000_000, 0)
	cfg = Config{Batch: 18, Call: 240 * time.Millisecond, Item: 11 * time.Millisecond}
)

const plenty = 1 << 40

func group(request string, n int, rank site.Rank, objective time.Duration) *Group {
	return NewGroup(Group{Request: request, Arrived: t0, Deadline: t0.Add(15 * time.Second), Objective: t0.Add(objective), Rank: rank}, n)
}

func requests(batch []Piece) string {
	out := ""
	for _, p := range batch {
		out += p.Group.Request
	}
	return out
}

func TestOrderInABatch(t *testing.T) {
	q := NewQueue(Config{Batch: 4, Call: cfg.Call, Item: cfg.Item})
	q.Push(group("l", 1, 0, 100*time.Millisecond)) // late already
	q.Push(group("b", 1, 1, 2*time.Second))
	q.Push(group("c", 1, 1, time.Second))
	q.Push(group("a", 1, 0, 2*time.Second))
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: plenty})), "acbl"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestFewPiecesAreSpreadOverIdleUpstreams(t *testing.T) {
	q := NewQueue(cfg)
	q.Push(group("a", 12, 0, time.Second))
	if got, want := len(q.Batch(t0, Upstream{Idle: 2, Room: plenty})), 6; got != want {
		t.Errorf("first of two: %d pieces, want %d", got, want)
	}
	if got, want := len(q.Batch(t0, Upstream{Idle: 1, Room: plenty})), 6; got != want {
		t.Errorf("second: %d pieces, want %d", got, want)
	}
	q.Push(group("b", 2, 0, time.Second))
	if got, want := len(q.Batch(t0, Upstream{Idle: 5, Room: plenty})), 2; got != want {
		t.Errorf("a few pieces: %d in one call, want %d", got, want)
	}
}

func TestPiecesThatDoNotFitWait(t *testing.T) {
	q := NewQueue(cfg)
	big := group("a", 3, 0, time.Second)
	big.ResultBytes = 10
	q.Push(big)
	q.Push(group("b", 2, 1, time.Second))
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: 25})), "aabb"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: 25})), "a"; got != want {
		t.Errorf("later: got %s, want %s", got, want)
	}
}

func TestReturnRemoveHopeless(t *testing.T) {
	q := NewQueue(cfg)
	a := group("a", 2, 0, time.Second)
	q.Push(a)
	batch := q.Batch(t0, Upstream{Idle: 1, Room: plenty})
	q.Return(batch[0])
	if got, want := q.Waiting(), 1; got != want {
		t.Fatalf("%d wait after a return, want %d", got, want)
	}
	if q.Done(batch[1], "h1") {
		t.Error("a group with a piece left is done")
	}
	again := q.Batch(t0, Upstream{Idle: 1, Room: plenty})
	if !q.Done(again[0], "h0") {
		t.Error("a group whose pieces are all made is not done")
	}
	if got, want := fmt.Sprint(a.Handles()), "[h0 h1]"; got != want {
		t.Errorf("handles %s, want %s", got, want)
	}
	b := group("b", 2, 0, time.Second)
	q.Push(b)
	q.Remove(b)
	q.Push(group("c", 3, 0, time.Second))
	if got, want := len(q.Hopeless(t0.Add(time.Minute), 1)), 1; got != want {
		t.Errorf("%d groups expired, want %d", got, want)
	}
	if got, want := q.Waiting(), 0; got != want {
		t.Errorf("%d wait, want %d", got, want)
	}
}

func TestAdmitRefusesWhatCannotEndInTime(t *testing.T) {
	q := NewQueue(cfg)
	if _, ok := q.Admit(t0, group("a", 4, 0, time.Second), 5); !ok {
		t.Error("refused although nothing waits")
	}
	for range 100 {
		q.Push(group("x", 18, 0, 20*time.Second))
	}
	late := group("b", 4, 1, time.Second)
	retry, ok := q.Admit(t0, late, 1)
	if ok || retry < 20*time.Second {
		t.Errorf("admitted %t, back in %v behind 44 s of work; want refused for over 20 s", ok, retry)
	}
	if _, ok := q.Admit(t0, group("c", 4, 0, time.Second), 0); ok {
		t.Error("admitted without upstreams")
	}
}

// play serves arrivals with upstreams in virtual time and returns the share of
// groups that were done within their objective. owners is the number of queues
// that share the upstreams: 1 is one owner, more are entries that each send
// calls of their own.
func play(rnd *rand.Rand, owners, upstreams int, perSecond float64, seconds int) float64 {
	type call struct {
		owner int
		batch []Piece
	}
	queues := make([]*Queue, owners)
	for i := range queues {
		queues[i] = NewQueue(cfg)
	}
	running := make([]call, upstreams)
	freeAt := make([]time.Time, upstreams)
	now := t0
	next := t0
	served, asked := 0, 0
	end := t0.Add(time.Duration(seconds) * time.Second)
	turn := 0
	for ; now.Before(end); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			g := NewGroup(Group{Arrived: now, Deadline: now.Add(15 * time.Second), Objective: now.Add(800 * time.Millisecond)}, 1+rnd.IntN(3))
			queues[rnd.IntN(owners)].Push(g)
			asked++
			next = next.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for u := range upstreams {
			if now.Before(freeAt[u]) {
				continue
			}
			for _, p := range running[u].batch {
				if queues[running[u].owner].Done(p, "h") && !now.After(p.Group.Objective) {
					served++
				}
			}
			running[u] = call{}
			for range owners {
				turn = (turn + 1) % owners
				if batch := queues[turn].Batch(now, Upstream{Idle: 1, Room: plenty}); len(batch) > 0 {
					running[u] = call{owner: turn, batch: batch}
					freeAt[u] = now.Add(queues[turn].Duration(len(batch)))
					break
				}
			}
		}
	}
	return float64(served) / float64(asked)
}

// The load is a crest: 90 groups of one to three pieces a second from seven
// entries at five upstreams, which make 205 pieces a second with full batches.
// One queue keeps nearly all on time; seven queues that take turns lose many.
func TestOneQueueKeepsMoreOnTime(t *testing.T) {
	for seed := range uint64(3) {
		one := play(rand.New(rand.NewPCG(seed, 1)), 1, 5, 90, 30)
		seven := play(rand.New(rand.NewPCG(seed, 1)), 7, 5, 90, 30)
		if one < 0.95 {
			t.Errorf("seed %d: %.2f on time with one queue, want 0.95 or more", seed, one)
		}
		if seven > one/1.3 {
			t.Errorf("seed %d: %.2f on time with seven queues, %.2f with one; want a clear gain", seed, seven, one)
		}
	}
}

func TestZones(t *testing.T) {
	q := NewQueue(cfg)
	for _, zone := range []string{"a", "b", "a"} {
		g := group(zone, 1, 0, time.Second)
		g.Zone = zone
		g.ResultBytes = 1 << 19
		q.Push(g)
	}
	small := group("c", 1, 0, 2*time.Second)
	small.Zone, small.ResultBytes = "c", 100
	q.Push(small)
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: plenty, Zone: "a"})), "aa"; got != want {
		t.Errorf("at once: got %s, want %s", got, want)
	}
	if got, want := requests(q.Batch(t0.Add(time.Millisecond), Upstream{Idle: 1, Room: plenty, Zone: "a"})), "c"; got != want {
		t.Errorf("soon: got %s, want the piece of which little crosses, %s", got, want)
	}
	if got, want := requests(q.Batch(t0.Add(foreignMost/2), Upstream{Idle: 1, Room: plenty, Zone: "a"})), "b"; got != want {
		t.Errorf("later: got %s, want %s", got, want)
	}
}

// More urgent groups do not wait for less urgent ones, and nobody on time waits
// for late ones; neither is told so.
func TestBacklogIsByRank(t *testing.T) {
	q := NewQueue(cfg)
	q.Push(group("a", 18, 0, time.Second))
	q.Push(group("b", 36, 2, time.Second))
	q.Push(group("late", 18, 0, 0))
	one := q.Duration(18)
	b := q.Backlog(t0, 1)
	for rank, want := range []time.Duration{one, one, 3 * one, 3 * one, 3 * one} {
		if got := b.For(site.Rank(rank)).Round(time.Millisecond); got != want {
			t.Errorf("rank %d waits %v, want %v", rank, got, want)
		}
	}
	if got, want := b.Last.Round(time.Millisecond), 4*one; got != want {
		t.Errorf("the last one waits %v, want %v", got, want)
	}
	if got := (Backlog{}).For(1); got != 0 {
		t.Errorf("an empty queue has a wait of %v", got)
	}
}

// A slow upstream gets what it cannot make late: pieces with time to spare, and
// those that are late anyway.
func TestSlowUpstreamGetsWhatCanWait(t *testing.T) {
	q := NewQueue(cfg)
	usual := q.cfg.Usual()
	q.Push(group("tight", 1, 0, usual+100*time.Millisecond))
	q.Push(group("free", 1, 0, 10*time.Second))
	q.Push(group("late", 1, 0, 0))
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: plenty, Pace: 4})), "freelate"; got != want {
		t.Errorf("slow: got %s, want %s", got, want)
	}
	if got, want := requests(q.Batch(t0, Upstream{Idle: 1, Room: plenty, Pace: 1.2})), "tight"; got != want {
		t.Errorf("usual: got %s, want %s", got, want)
	}
}
