package batching

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

// crowdWeights are the shares of 16 accounts in the load, in percent: the largest asks for
// 35, the smallest for 1.
var crowdWeights = []int{35, 15, 9, 7, 6, 5, 4, 4, 3, 3, 2, 2, 2, 1, 1, 1}

// tally counts how the jobs of an account ended.
type tally struct{ asked, refused, late, onTime int }

func (c tally) refusedShare() float64 { return float64(c.refused) / float64(max(1, c.asked)) }

// crowd is a load of jobs of the accounts on the owners of several shards of a service.
type crowd struct {
	fair bool
	// load is the work that is asked for, as a multiple of the capacity.
	load    float64
	owners  int
	seconds int
}

// crowdResult is what the accounts got.
type crowdResult struct {
	accounts []tally
	total    tally
	// pieces is the number of pieces that were run.
	pieces int
	// longest is the longest time that a job was queued.
	longest time.Duration
}

// crowdOwner is the queue of one shard with its upstreams.
type crowdOwner struct {
	queue   *Queue
	running [crowdUpstreams]struct {
		batch []Piece
		ends  time.Time
	}
}

const (
	crowdUpstreams = 5
	crowdDeadline  = 8 * time.Second
	crowdObjective = 1500 * time.Millisecond
	crowdPieces    = 4 // on average
	// crowdCheckInterval is the time after which infeasible jobs are removed again.
	crowdCheckInterval = 60 * time.Millisecond
)

// run plays the load in virtual time.
func (c crowd) run(seed uint64) crowdResult {
	rnd := rand.New(rand.NewPCG(seed, 1))
	cfg := cfg
	cfg.Fair = c.fair
	owners := make([]crowdOwner, c.owners)
	for i := range owners {
		owners[i].queue = NewQueue(cfg)
	}
	r := crowdResult{accounts: make([]tally, len(crowdWeights))}
	perSecond := c.load * owners[0].queue.rate(float64(crowdUpstreams*c.owners)) / crowdPieces
	next := t0
	account := make(map[string]*tally)
	for i := range r.accounts {
		account[fmt.Sprint(i)] = &r.accounts[i]
	}
	checked := t0
	for now := t0; now.Before(t0.Add(time.Duration(c.seconds) * time.Second)); now = now.Add(2 * time.Millisecond) {
		for !next.After(now) {
			next = next.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			name := fmt.Sprint(pickWeighted(rnd, crowdWeights))
			j := NewJob(Job{Account: name, Arrived: now, Deadline: now.Add(crowdDeadline), Objective: now.Add(crowdObjective), Rank: 11}, 1+rnd.IntN(2*crowdPieces-1))
			account[name].asked++
			o := &owners[rnd.IntN(len(owners))]
			o.queue.Ask(now, name, j.Pieces())
			if _, ok := o.queue.Admit(now, j, crowdUpstreams); !ok {
				account[name].refused++
				continue
			}
			o.queue.Push(j)
		}
		for i := range owners {
			o := &owners[i]
			if now.Sub(checked) >= crowdCheckInterval {
				for _, j := range o.queue.RemoveInfeasible(now, crowdUpstreams) {
					account[j.Account].refused++
					r.longest = max(r.longest, now.Sub(j.Arrived))
				}
			}
			o.step(now, &r, account)
		}
		if now.Sub(checked) >= crowdCheckInterval {
			checked = now
		}
	}
	for _, a := range r.accounts {
		r.total.asked += a.asked
		r.total.refused += a.refused
		r.total.late += a.late
		r.total.onTime += a.onTime
	}
	return r
}

// step ends and starts the calls of an owner.
func (o *crowdOwner) step(now time.Time, r *crowdResult, account map[string]*tally) {
	for u := range o.running {
		call := &o.running[u]
		if now.Before(call.ends) {
			continue
		}
		for _, p := range call.batch {
			if !o.queue.Complete(p, "h") {
				continue
			}
			if now.After(p.Job.Objective) {
				account[p.Job.Account].late++
			} else {
				account[p.Job.Account].onTime++
			}
		}
		call.batch = o.queue.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited})
		call.ends = now.Add(o.queue.Duration(len(call.batch)))
		r.pieces += len(call.batch)
		for _, p := range call.batch {
			r.longest = max(r.longest, now.Sub(p.Job.Arrived))
		}
	}
}

func pickWeighted(rnd *rand.Rand, weights []int) int {
	total := 0
	for _, w := range weights {
		total += w
	}
	left := rnd.IntN(total)
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// crowdLevel is the demand, as a percentage of the load, up to which an account is below
// its share.
func crowdLevel(load float64) float64 {
	demands := make([]float64, len(crowdWeights))
	for i, w := range crowdWeights {
		demands[i] = float64(w)
	}
	return fairshare.Level(demands, 100/load)
}

// The load is 1.5 times the capacity. Without sharing by account, all accounts are refused
// equally often, whoever causes the overload.
func TestCrowdIsRefusedByShare(t *testing.T) {
	for seed := range uint64(3) {
		fair := crowd{fair: true, load: 1.5, owners: 3, seconds: 60}.run(seed)
		before := crowd{fair: false, load: 1.5, owners: 3, seconds: 60}.run(seed)
		level := crowdLevel(1.5)
		var below, above tally
		for i, a := range fair.accounts {
			group := &below
			if float64(crowdWeights[i]) > level {
				group = &above
			}
			group.asked += a.asked
			group.refused += a.refused
			group.late += a.late
			t.Logf("seed %d: account with %2d%%: refused %.3f late %.3f, before %.3f late %.3f", seed, crowdWeights[i], a.refusedShare(), float64(a.late)/float64(a.asked),
				before.accounts[i].refusedShare(), float64(before.accounts[i].late)/float64(before.accounts[i].asked))
		}
		t.Logf("level %.1f total %+v before %+v, pieces %d before %d, longest %v before %v", level, fair.total, before.total, fair.pieces, before.pieces, fair.longest, before.longest)
		if below.refusedShare() >= above.refusedShare()/5 {
			t.Errorf("seed %d: accounts below their share are refused %.3f of their jobs, those above %.3f; want less than a fifth of it", seed, below.refusedShare(), above.refusedShare())
		}
		if got, want := float64(fair.pieces), 0.99*float64(before.pieces); got < want {
			t.Errorf("seed %d: %.0f pieces run, want at least %.0f", seed, got, want)
		}
		if got, limit := fair.total.refused+fair.total.late, before.total.refused+before.total.late; float64(got) > 1.01*float64(limit) {
			t.Errorf("seed %d: %d jobs refused or late, want at most the %d without sharing", seed, got, limit)
		}
	}
}
