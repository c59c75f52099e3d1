package batching

import (
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// simulateRanks offers jobs of 6 pieces, a third of them on an urgent route and the
// others on a normal one, to upstreams that complete 205 pieces a second. It
// returns the share of the urgent and of the normal jobs that are on time.
func simulateRanks(rnd *rand.Rand, rankOf func(urgent bool) site.Rank, perSecond float64) (urgent, normal float64) {
	const upstreams = 5
	type call struct {
		batch []Piece
		ends  time.Time
	}
	q := NewQueue(cfg)
	var running [upstreams]call
	isUrgent := make(map[*Job]bool)
	var total, onTime [2]float64
	next := t0
	for now := t0; now.Before(t0.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			onUrgentRoute := rnd.IntN(3) == 0
			j := NewJob(Job{Arrived: now, Deadline: now.Add(15 * time.Second), Objective: now.Add(1200 * time.Millisecond), Rank: rankOf(onUrgentRoute)}, 6)
			isUrgent[j] = onUrgentRoute
			total[index(onUrgentRoute)]++
			q.Push(j)
			next = next.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for u := range running {
			if now.Before(running[u].ends) {
				continue
			}
			for _, p := range running[u].batch {
				if q.Complete(p, "h") && !now.After(p.Job.Objective) {
					onTime[index(isUrgent[p.Job])]++
				}
			}
			running[u] = call{batch: q.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited})}
			running[u].ends = now.Add(q.Duration(len(running[u].batch)))
		}
	}
	return onTime[0] / total[0], onTime[1] / total[1]
}

func index(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// The load is 1.8 times the capacity of the upstreams, all from one account, a
// third of it on an urgent route. If the rank ignored the route, both kinds of
// jobs would be late equally often; with it the urgent third is on time.
func TestRoutePriorityOrdersJobsOfAnAccount(t *testing.T) {
	account := 1
	ranked := func(urgent bool) site.Rank { return site.RankOf(&account, index(urgent)) }
	unranked := func(bool) site.Rank { return site.RankOf(&account, 1) }
	for seed := range uint64(3) {
		urgent, normal := simulateRanks(rand.New(rand.NewPCG(seed, 1)), ranked, 62)
		withoutRanks, _ := simulateRanks(rand.New(rand.NewPCG(seed, 1)), unranked, 62)
		t.Logf("urgent %.2f, normal %.2f on time; urgent without ranks %.2f", urgent, normal, withoutRanks)
		if urgent < 0.95 || urgent < withoutRanks+0.2 {
			t.Errorf("seed %d: %.2f of the urgent jobs on time, %.2f without ranks; want at least 0.95 and 0.2 more than without", seed, urgent, withoutRanks)
		}
	}
}

// The load is 1.8 times the capacity of the upstreams, with deadlines of 3 s. Jobs
// that more urgent ones delay too much are removed as soon as they can't meet
// their deadline, and none stays queued past its deadline.
func TestInfeasibleJobsAreRemovedEarly(t *testing.T) {
	const upstreams = 5
	rnd := rand.New(rand.NewPCG(1, 1))
	q := NewQueue(cfg)
	var freeAt [upstreams]time.Time
	next := t0
	removed, early := 0, 0
	for now := t0; now.Before(t0.Add(15 * time.Second)); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			rank := site.Rank(rnd.IntN(3))
			q.Push(NewJob(Job{Arrived: now, Deadline: now.Add(3 * time.Second), Objective: now.Add(1200 * time.Millisecond), Rank: rank, Remaining: 200 * time.Millisecond}, 6))
			next = next.Add(time.Duration(rnd.ExpFloat64() / 62 * float64(time.Second)))
		}
		for u := range freeAt {
			if !now.Before(freeAt[u]) {
				freeAt[u] = now.Add(q.Duration(len(q.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited}))))
			}
		}
		for _, j := range q.RemoveInfeasible(now, upstreams) {
			removed++
			if j.Deadline.Sub(now) >= 700*time.Millisecond {
				early++
			}
		}
		for _, j := range q.inOrder(now) {
			if !now.Before(j.Deadline) {
				t.Fatalf("a job of rank %d waits past its deadline", j.Rank)
			}
		}
	}
	if removed == 0 || early < removed/2 {
		t.Errorf("%d of %d jobs removed at least 0.7 s before their deadline, want at least half", early, removed)
	}
}
