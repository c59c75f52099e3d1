package batching

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	// demandWindow is the time constant of the average of arriving pieces. It is longer than
	// the gaps between the jobs of a rank under load, and shorter than a load peak.
	demandWindow = 2 * time.Second
	// maxUrgentLoad bounds the load of more urgent ranks that a delay allows for, so that a
	// short peak does not keep the less urgent ones out.
	maxUrgentLoad = 0.8
	// minDemand is the number of pieces in the average below which a rank is forgotten.
	minDemand = 0.01
)

// Commitment is a number of pieces of a rank and an account that admitted requests will
// still send. They wait for the results of earlier stages.
type Commitment struct {
	Rank    site.Rank
	Account string
	Pieces  int
}

// demand is what a queue must expect besides its jobs. The zero value expects nothing, and
// does so until the first commitment.
type demand struct {
	used bool
	// ranks is in ascending order.
	ranks    []*rankDemand
	accounts map[string]*accountDemand
	pieces   int
}

// accountDemand is the number of committed pieces of one account.
type accountDemand struct {
	pieces int
	// ranks holds the commitments by rank, in no order.
	ranks []Commitment
}

// add changes the number of pieces of a rank.
func (a *accountDemand) add(c Commitment) {
	a.pieces += c.Pieces
	i := slices.IndexFunc(a.ranks, func(r Commitment) bool { return r.Rank == c.Rank })
	switch {
	case i < 0:
		a.ranks = append(a.ranks, c)
	case a.ranks[i].Pieces+c.Pieces == 0:
		a.ranks = slices.Delete(a.ranks, i, i+1)
	default:
		a.ranks[i].Pieces += c.Pieces
	}
}

// rankDemand is the demand of one rank.
type rankDemand struct {
	rank site.Rank
	// pieces is the number of committed pieces.
	pieces int
	// arrived is the number of pieces that have arrived, weighted by their age as of at.
	arrived float64
	at      time.Time
}

// noDemand stands for a rank without demand.
var noDemand rankDemand

// Commit adds a number of pieces to the commitments of a rank and an account, or takes it
// off if it is negative. Only Backlog counts commitments: the order of the queue and Admit
// are about jobs that have arrived.
func (q *Queue) Commit(c Commitment) { q.demand.commit(c) }

// Committed returns the number of pieces that are committed.
func (q *Queue) Committed() int { return q.demand.pieces }

func (d *demand) commit(c Commitment) {
	d.used = true
	d.pieces += c.Pieces
	d.rank(c.Rank).pieces += c.Pieces
	if d.accounts == nil {
		d.accounts = make(map[string]*accountDemand)
	}
	a := d.accounts[c.Account]
	if a == nil {
		a = &accountDemand{}
		d.accounts[c.Account] = a
	}
	if a.add(c); len(a.ranks) == 0 {
		delete(d.accounts, c.Account)
	}
}

// arrive records pieces that have arrived.
func (d *demand) arrive(now time.Time, rank site.Rank, pieces int) {
	if d.used {
		r := d.rank(rank)
		r.arrived, r.at = r.weighted(now)+float64(pieces), now
	}
}

// rank returns the demand of a rank.
func (d *demand) rank(rank site.Rank) *rankDemand {
	i, ok := slices.BinarySearchFunc(d.ranks, rank, func(r *rankDemand, rank site.Rank) int { return cmp.Compare(r.rank, rank) })
	if !ok {
		d.ranks = slices.Insert(d.ranks, i, &rankDemand{rank: rank})
	}
	return d.ranks[i]
}

// forget removes the ranks without demand.
func (d *demand) forget(now time.Time) {
	d.ranks = slices.DeleteFunc(d.ranks, func(r *rankDemand) bool { return r.pieces == 0 && r.weighted(now) < minDemand })
}

// own returns the committed pieces of an account.
func (d *demand) own(account string) int {
	if a := d.accounts[account]; a != nil {
		return a.pieces
	}
	return 0
}

// of returns the committed pieces of some accounts by rank, nil if there are none.
func (d *demand) of(accounts map[string]fairshare.Standing) map[site.Rank]int {
	if len(accounts) == 0 || d.pieces == 0 {
		return nil
	}
	out := make(map[site.Rank]int, len(d.ranks))
	for account := range accounts {
		if a := d.accounts[account]; a != nil {
			for _, c := range a.ranks {
				out[c.Rank] += c.Pieces
			}
		}
	}
	return out
}

// weighted returns the pieces that have arrived, weighted by their age.
func (r *rankDemand) weighted(now time.Time) float64 {
	if r.arrived == 0 {
		return 0
	}
	return r.arrived * math.Exp(-max(0, now.Sub(r.at)).Seconds()/demandWindow.Seconds())
}

// perSecond returns the pieces that arrive in a second.
func (r *rankDemand) perSecond(now time.Time) float64 {
	return r.weighted(now) / demandWindow.Seconds()
}

// delays accumulates the delays of a Backlog over the ranks, the most urgent first.
type delays struct {
	queue     *Queue
	now       time.Time
	upstreams float64
	// urgent is the number of pieces of the ranks so far, and arriving what arrives of them
	// in a second and goes before less urgent work.
	urgent   int
	arriving float64
}

// delay returns the delay of a rank due to a number of pieces, if what arrives of the ranks
// so far goes first.
func (d *delays) delay(pieces int) time.Duration {
	load := min(maxUrgentLoad, d.arriving/d.queue.rate(d.upstreams))
	return time.Duration(float64(d.queue.wait(pieces, d.upstreams)) / (1 - load))
}

// Backlog returns the expected queueing delay: at each rank that of the jobs on
// time, and in total that of all jobs. Committed pieces count like those of jobs on time.
// upstreams is the capacity, in upstreams of normal speed.
func (q *Queue) Backlog(now time.Time, upstreams float64) Backlog {
	if upstreams == 0 {
		return Backlog{Total: q.Duration(q.cfg.MaxBatch)}
	}
	q.updateShares(now, upstreams)
	q.lanes.advance(now)
	q.demand.forget(now)
	scarce, over := q.fair.meter.Scarce(), q.over(now)
	ofOver := q.demand.of(over)
	out := Backlog{Total: q.wait(q.waiting+q.demand.pieces, upstreams)}
	d := delays{queue: q, now: now, upstreams: upstreams}
	q.byRank(func(r *rankLanes, want *rankDemand) {
		if scarce {
			below := d.urgent + r.groups[fairshare.Below][onTime].pieces + r.groups[fairshare.Below][late].pieces + want.pieces - ofOver[r.rank]
			out.Below = append(out.Below, RankWait{Rank: r.rank, Wait: d.delay(below)})
		}
		d.urgent += r.urgent(scarce) + want.pieces
		if r.jobs[onTime].pieces()+want.pieces > 0 {
			out.Ranks = append(out.Ranks, RankWait{Rank: r.rank, Wait: d.delay(d.urgent)})
		}
		if want.arrived > 0 {
			d.arriving += want.perSecond(now)
			// What arrives of this rank delays those after it, with jobs or without. An entry of
			// the next rank itself follows and counts.
			out.Ranks = append(out.Ranks, RankWait{Rank: r.rank + 1, Wait: d.delay(d.urgent)})
		}
	})
	out.Over = q.overWaits(over, out.Total, upstreams)
	return out
}

// byRank visits the ranks with jobs or demand in ascending order.
func (q *Queue) byRank(visit func(r *rankLanes, want *rankDemand)) {
	lanes, wanted := q.lanes.ranks, q.demand.ranks
	for len(lanes) > 0 || len(wanted) > 0 {
		switch {
		case len(wanted) == 0 || len(lanes) > 0 && lanes[0].rank < wanted[0].rank:
			visit(lanes[0], &noDemand)
			lanes = lanes[1:]
		case len(lanes) == 0 || wanted[0].rank < lanes[0].rank:
			visit(&rankLanes{rank: wanted[0].rank}, wanted[0])
			wanted = wanted[1:]
		default:
			visit(lanes[0], wanted[0])
			lanes, wanted = lanes[1:], wanted[1:]
		}
	}
}
