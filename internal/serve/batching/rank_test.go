package batching

import (
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// playRanks offers groups of 6 pieces, a third of them on the urgent route and
// the others on the usual one, to upstreams that make 205 pieces a second, and
// returns the share of the urgent and of the usual groups on time.
func playRanks(rnd *rand.Rand, rankOf func(urgent bool) site.Rank, perSecond float64) (urgent, usual float64) {
	const upstreams = 5
	type call struct {
		batch []Piece
		ends  time.Time
	}
	q := NewQueue(cfg)
	var running [upstreams]call
	isUrgent := make(map[*Group]bool)
	var asked, good [2]float64
	next := t0
	for now := t0; now.Before(t0.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			first := rnd.IntN(3) == 0
			g := NewGroup(Group{Arrived: now, Deadline: now.Add(15 * time.Second), Objective: now.Add(1200 * time.Millisecond), Rank: rankOf(first)}, 6)
			isUrgent[g] = first
			asked[index(first)]++
			q.Push(g)
			next = next.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for u := range running {
			if now.Before(running[u].ends) {
				continue
			}
			for _, p := range running[u].batch {
				if q.Done(p, "h") && !now.After(p.Group.Objective) {
					good[index(isUrgent[p.Group])]++
				}
			}
			running[u] = call{batch: q.Batch(now, Upstream{Idle: 1, Room: plenty})}
			running[u].ends = now.Add(q.Duration(len(running[u].batch)))
		}
	}
	return good[0] / asked[0], good[1] / asked[1]
}

func index(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// The load is 1.8 times what the upstreams make, a third of it urgent by its
// route, all of one account. Without the route's part of the rank both kinds
// lose alike; with it the urgent third is on time.
func TestRouteDecidesWithinAnAccount(t *testing.T) {
	account := 1
	ranked := func(urgent bool) site.Rank { return site.RankOf(&account, index(urgent)) }
	alike := func(bool) site.Rank { return site.RankOf(&account, 1) }
	for seed := range uint64(3) {
		urgent, usual := playRanks(rand.New(rand.NewPCG(seed, 1)), ranked, 62)
		before, _ := playRanks(rand.New(rand.NewPCG(seed, 1)), alike, 62)
		t.Logf("urgent %.2f, usual %.2f on time; urgent without ranks %.2f", urgent, usual, before)
		if urgent < 0.95 || urgent < before+0.2 {
			t.Errorf("seed %d: %.2f of the urgent on time, %.2f without ranks; want 0.95 and 0.2 more", seed, urgent, before)
		}
	}
}

// The load is 1.8 times what the upstreams make, with deadlines of 3 s. What
// urgent groups overtake until it cannot be made is refused as soon as that is
// known, long before its time is over, and no group dies in the queue.
func TestHopelessGroupsAreRefusedEarly(t *testing.T) {
	const upstreams = 5
	rnd := rand.New(rand.NewPCG(1, 1))
	q := NewQueue(cfg)
	var freeAt [upstreams]time.Time
	next := t0
	refused, early := 0, 0
	for now := t0; now.Before(t0.Add(15 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			rank := site.Rank(rnd.IntN(3))
			q.Push(NewGroup(Group{Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(1200 * time.Millisecond), Rank: rank, Rest: 200 * time.Millisecond}, 6))
			next = next.Add(time.Duration(rnd.ExpFloat64() / 62 * float64(time.Second)))
		}
		for u := range freeAt {
			if !now.Before(freeAt[u]) {
				freeAt[u] = now.Add(q.Duration(len(q.Batch(now, Upstream{Idle: 1, Room: plenty}))))
			}
		}
		for _, g := range q.Hopeless(now, upstreams) {
			refused++
			if g.Deadline.Sub(now) >= 700*time.Millisecond {
				early++
			}
		}
		for _, g := range q.groups {
			if !now.Before(g.Deadline) {
				t.Fatalf("a group of rank %d waits past its deadline", g.Rank)
			}
		}
	}
	if refused == 0 || early < refused/2 {
		t.Errorf("%d of %d refused with 0.7 s or more left; want half of them or more", early, refused)
	}
}
