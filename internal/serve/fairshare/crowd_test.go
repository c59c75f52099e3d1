package fairshare_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/serve/pace"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// weights are the shares of 16 accounts in the load, in percent.
var weights = []int{35, 15, 9, 7, 6, 5, 4, 4, 3, 3, 2, 2, 2, 1, 1, 1}

const (
	load      = 1.5 // of the capacity
	entries   = 8
	services  = 2 // a chain of two stages
	shards    = 3 // owners of each service
	upstreams = 5 // of each shard
	pieces    = 4 // of each stage on average

	objective = 2500 * time.Millisecond
	// closeObjective leaves half as much time to wait next to the work.
	closeObjective = 1800 * time.Millisecond
	deadline       = 8 * time.Second
	step           = 5 * time.Millisecond
	// crowdTime is the time for which the load lasts, warmUp how much of it does not count
	// at either end.
	crowdTime = time.Minute
	warmUp    = 10 * time.Second
	// nextStages is the expected time of what follows the last stage.
	nextStages = 150 * time.Millisecond
	// backlogLifetime is the time in which a reported backlog loses its weight.
	backlogLifetime = 2 * time.Second
	// checkInterval is the time after which owners remove infeasible jobs again.
	checkInterval = 60 * time.Millisecond
)

var (
	t0     = time.Unix(1_790_000_000, 0)
	config = batching.Config{MaxBatch: 18, CallOverhead: 240 * time.Millisecond, PieceTime: 11 * time.Millisecond}
)

// tally counts how the tries of an account ended.
type tally struct{ asked, refused, late, onTime int }

func (c tally) refusedShare() float64 { return float64(c.refused) / float64(max(1, c.asked)) }

func (c *tally) add(other tally) {
	c.asked += other.asked
	c.refused += other.refused
	c.late += other.late
	c.onTime += other.onTime
}

// caller is how refused callers behave.
type caller struct {
	objective time.Duration
	// returns is the probability that a caller comes back after a refusal, on the same
	// connection.
	returns float64
	// impatient is an account whose callers repeat at once.
	impatient string
}

// request is one try of a caller.
type request struct {
	account    int
	entry      *entry
	connection string
	shard      int
	pieces     int
	start      time.Time
	next       time.Time
	stage      int
	returned   bool
	isReturn   bool
	tries      int
	job        *batching.Job
}

// entry is a process that accepts requests, with the backlogs that owners reported to it.
type entry struct {
	backlogs map[*owner]report
	asked    map[*owner]map[string]int
	returns  *fairshare.Returns
	started  map[*owner]map[string]int
}

type report struct {
	waits batching.Backlog
	at    time.Time
}

func (e *entry) wait(now time.Time, o *owner, account string, rank site.Rank) (onTime, total time.Duration) {
	b := e.backlogs[o]
	weight := max(0, 1-now.Sub(b.at).Seconds()/backlogLifetime.Seconds())
	onTime, total = b.waits.ForAccount(account, rank)
	if over, ok := b.waits.Over[account]; ok {
		onTime += time.Duration(e.started[o][account]) * over.Piece
	}
	return time.Duration(weight * float64(onTime)), time.Duration(weight * float64(total))
}

// owner runs the jobs of one shard of a service.
type owner struct {
	queue   *batching.Queue
	running [upstreams]call
}

type call struct {
	batch []batching.Piece
	ends  time.Time
}

// crowd plays the load in virtual time.
type crowd struct {
	fair    bool
	callers caller
	// arrivals draws new callers, the same with sharing and without; rnd draws all else.
	arrivals, rnd *rand.Rand
	now           time.Time
	entries       []*entry
	owners        [services][shards]*owner
	waiting       []*request
	// later holds the callers that come back.
	later    []*request
	requests map[*batching.Job]*request
	accounts []tally
	// connections is the number of connections that callers have opened.
	connections int
	// returned and newcomers count the tries of the largest account after a Retry-After
	// and the others.
	returned, newcomers tally
	pieces              int
	longest             time.Duration
}

func newCrowd(seed uint64, fair bool, callers caller) *crowd {
	c := &crowd{fair: fair, callers: callers, arrivals: rand.New(rand.NewPCG(seed, 1)), rnd: rand.New(rand.NewPCG(seed, 2)), now: t0, requests: make(map[*batching.Job]*request), accounts: make([]tally, len(weights))}
	for range entries {
		c.entries = append(c.entries, &entry{backlogs: make(map[*owner]report), asked: make(map[*owner]map[string]int), started: make(map[*owner]map[string]int), returns: fairshare.NewReturns()})
	}
	cfg := config
	cfg.Fair = fair
	for i := range c.owners {
		for j := range c.owners[i] {
			c.owners[i][j] = &owner{queue: batching.NewQueue(cfg)}
		}
	}
	return c
}

func (c *crowd) run() *crowd {
	capacity := float64(shards*upstreams*config.MaxBatch) / config.Duration(config.MaxBatch).Seconds()
	perSecond := load * capacity / pieces
	arrival, checked := t0, t0
	end := t0.Add(crowdTime)
	for ; c.now.Before(end.Add(deadline)); c.now = c.now.Add(step) {
		for ; !arrival.After(c.now) && arrival.Before(end); arrival = arrival.Add(time.Duration(c.arrivals.ExpFloat64() / perSecond * float64(time.Second))) {
			c.arrive(&request{account: c.drawAccount(), pieces: 1 + c.arrivals.IntN(2*pieces-1)})
		}
		c.bringBack()
		c.admit()
		if c.now.Sub(checked) >= checkInterval {
			checked = c.now
			c.removeInfeasible()
		}
		for i := range c.owners {
			for _, o := range c.owners[i] {
				c.serve(o)
			}
		}
	}
	return c
}

func (c *crowd) drawAccount() int {
	left := c.arrivals.IntN(100)
	for i, w := range weights {
		if left -= w; left < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// arrive starts a try at a random entry.
func (c *crowd) arrive(r *request) {
	if r.entry == nil {
		c.connections++
		r.entry, r.connection = c.entries[c.rnd.IntN(entries)], fmt.Sprint(c.connections)
	}
	r.shard, r.start, r.next = c.rnd.IntN(shards), c.now, c.now
	r.tries++
	if steady(r.start) {
		c.accounts[r.account].asked++
	}
	name := fmt.Sprint(r.account)
	for stage := range services {
		o := c.owners[stage][r.shard]
		if r.entry.asked[o] == nil {
			r.entry.asked[o] = make(map[string]int)
		}
		r.entry.asked[o][name] += r.pieces
	}
	if c.fair {
		r.returned = r.entry.returns.Claim(c.now, fairshare.ReturnKey{Account: name, Connection: r.connection})
	}
	c.waiting = append(c.waiting, r)
}

// bringBack starts the tries of callers whose time to come back has come.
func (c *crowd) bringBack() {
	kept := c.later[:0]
	for _, r := range c.later {
		if r.next.After(c.now) {
			kept = append(kept, r)
			continue
		}
		c.arrive(r)
	}
	c.later = kept
}

const rank = site.Rank(11)

// admit decides on the requests that wait at their entries.
func (c *crowd) admit() {
	kept := c.waiting[:0]
	for _, r := range c.waiting {
		if r.next.After(c.now) {
			kept = append(kept, r)
			continue
		}
		p := pace.Request{Work: services*config.TypicalDuration() + nextStages, UntilObjective: r.start.Add(c.callers.objective).Sub(c.now), UntilDeadline: r.start.Add(deadline).Sub(c.now), Rank: rank.RoutePriority(), Returned: r.returned}
		for stage := range services {
			wait, total := r.entry.wait(c.now, c.owners[stage][r.shard], fmt.Sprint(r.account), rank)
			p.Wait += wait
			p.TotalWait += total
		}
		switch d := pace.Decide(p).(type) {
		case pace.Start:
			c.startStage(r)
		case pace.Refuse:
			c.refuse(r, d.RetryAfter)
		case pace.Hold:
			r.next = c.now.Add(d.For)
			kept = append(kept, r)
		}
	}
	c.waiting = kept
}

// startStage sends the job of the present stage to its owner.
func (c *crowd) startStage(r *request) {
	o := c.owners[r.stage][r.shard]
	for _, account := range slices.Sorted(maps.Keys(r.entry.asked[o])) {
		o.queue.Ask(c.now, account, r.entry.asked[o][account])
	}
	delete(r.entry.asked, o)
	if r.entry.started[o] == nil {
		r.entry.started[o] = make(map[string]int)
	}
	r.entry.started[o][fmt.Sprint(r.account)] += r.pieces
	after := time.Duration(services-1-r.stage)*config.TypicalDuration() + nextStages
	left := r.start.Add(c.callers.objective).Sub(c.now)
	if r.stage > 0 {
		left = max(left, config.TypicalDuration()+after)
	}
	r.job = batching.NewJob(batching.Job{
		Account: fmt.Sprint(r.account), Arrived: c.now, Deadline: r.start.Add(deadline), Objective: c.now.Add(left),
		Remaining: after, Rank: rank,
	}, r.pieces)
	wait, ok := o.queue.Admit(c.now, r.job, upstreams)
	if !ok {
		c.report(r, o)
		c.refuse(r, wait)
		return
	}
	c.requests[r.job] = r
	o.queue.Push(r.job)
}

func (c *crowd) report(r *request, o *owner) {
	delete(r.entry.started, o)
	r.entry.backlogs[o] = report{waits: o.queue.Backlog(c.now, upstreams), at: c.now}
}

// refuse ends a try. Its caller comes back after the Retry-After or, if it is impatient,
// at once.
func (c *crowd) refuse(r *request, wait time.Duration) {
	c.count(r, tally{refused: 1})
	wait = max(300*time.Millisecond, wait)
	if c.fair {
		wait = fairshare.RetryAfter(wait, c.rnd.Float64())
		r.entry.returns.Expect(c.now, fairshare.ReturnKey{Account: fmt.Sprint(r.account), Connection: r.connection}, wait)
	}
	again := &request{account: r.account, entry: r.entry, connection: r.connection, pieces: r.pieces, tries: r.tries, isReturn: true, next: c.now.Add(wait + time.Duration(20+c.rnd.IntN(200))*time.Millisecond)}
	impatient := fmt.Sprint(r.account) == c.callers.impatient
	if impatient {
		again.next, again.isReturn = c.now.Add(20*time.Millisecond), false
	}
	if r.tries < 10 && impatient || c.rnd.Float64() < c.callers.returns {
		c.later = append(c.later, again)
	}
}

// steady reports whether what happens at a time counts: neither the beginning of the crowd
// nor what is left to do at its end.
func steady(at time.Time) bool {
	return at.After(t0.Add(warmUp)) && at.Before(t0.Add(crowdTime-warmUp))
}

func (c *crowd) count(r *request, t tally) {
	if !steady(r.start) {
		return
	}
	c.accounts[r.account].add(t)
	if r.account != 0 {
		return
	}
	t.asked = 1
	if r.isReturn {
		c.returned.add(t)
	} else {
		c.newcomers.add(t)
	}
}

func (c *crowd) removeInfeasible() {
	for i := range c.owners {
		for _, o := range c.owners[i] {
			for _, j := range o.queue.RemoveInfeasible(c.now, upstreams) {
				r := c.requests[j]
				delete(c.requests, j)
				c.longest = max(c.longest, c.now.Sub(j.Arrived))
				c.report(r, o)
				c.refuse(r, o.queue.Backlog(c.now, upstreams).Total)
			}
		}
	}
}

// serve ends and starts the calls of an owner.
func (c *crowd) serve(o *owner) {
	for u := range o.running {
		running := &o.running[u]
		if c.now.Before(running.ends) {
			continue
		}
		for _, p := range running.batch {
			if o.queue.Complete(p, "h") {
				c.completeStage(c.requests[p.Job], o)
			}
		}
		running.batch = o.queue.NextBatch(c.now, batching.Upstream{IdleCount: 1, FreeBytes: 1 << 40})
		running.ends = c.now.Add(config.Duration(len(running.batch)))
		if steady(c.now) {
			c.pieces += len(running.batch)
		}
		for _, p := range running.batch {
			c.longest = max(c.longest, c.now.Sub(p.Job.Arrived))
		}
	}
}

func (c *crowd) completeStage(r *request, o *owner) {
	delete(c.requests, r.job)
	c.report(r, o)
	if r.stage++; r.stage < services {
		c.startStage(r)
		return
	}
	end := c.now.Add(nextStages).Sub(r.start)
	switch {
	case end <= c.callers.objective:
		c.count(r, tally{onTime: 1})
	case end <= deadline:
		c.count(r, tally{late: 1})
	default:
		c.count(r, tally{refused: 1})
	}
}

// level returns the share of an account, in percent of the load.
func level() float64 {
	demands := make([]float64, len(weights))
	for i, w := range weights {
		demands[i] = float64(w)
	}
	return fairshare.Level(demands, 100/load)
}

// groups returns the tallies of the accounts below their share, of those above, and of
// all.
func (c *crowd) groups() (below, above, all tally) {
	level := level()
	for i, a := range c.accounts {
		all.add(a)
		if float64(weights[i]) <= level {
			below.add(a)
		} else {
			above.add(a)
		}
	}
	return below, above, all
}

// Guards against a crowd that costs all accounts whoever causes it: at 1.5 times the
// capacity, the accounts below their share are refused less than a fifth as often as those
// above, as much work is done as without sharing, no more tries are refused or late, and
// each account above its share gets nearly that share.
func TestCrowdCostsThoseAboveTheirShare(t *testing.T) {
	for _, callers := range []caller{{objective: objective}, {objective: closeObjective}} {
		t.Run(callers.objective.String(), func(t *testing.T) { compareCrowds(t, callers) })
	}
}

// compareCrowds compares crowds with and without sharing.
func compareCrowds(t *testing.T, callers caller) {
	var sum, sumBefore tally
	var pieces, piecesBefore int
	for seed := range uint64(4) {
		before := newCrowd(seed, false, callers).run()
		shared := newCrowd(seed, true, callers).run()
		below, above, all := shared.groups()
		_, _, allBefore := before.groups()
		t.Logf("seed %d: refused below %.3f above %.3f; %+v, pieces %d, longest %v; before %+v, pieces %d, longest %v", seed, below.refusedShare(), above.refusedShare(), all, shared.pieces, shared.longest, allBefore, before.pieces, before.longest)
		if got, limit := below.refusedShare(), above.refusedShare()/5; got >= limit {
			t.Errorf("seed %d: accounts below their share are refused %.3f of their tries, want less than %.3f", seed, got, limit)
		}
		if shared.longest > deadline {
			t.Errorf("seed %d: a job waited %v, want at most the deadline of %v", seed, shared.longest, deadline)
		}
		shared.checkShares(t)
		sum.add(all)
		sumBefore.add(allBefore)
		pieces += shared.pieces
		piecesBefore += before.pieces
	}
	t.Logf("all: %+v, pieces %d; before %+v, pieces %d", sum, pieces, sumBefore, piecesBefore)
	// The sums differ by chance by less than 2 %.
	if limit := (sumBefore.refused + sumBefore.late) * 102 / 100; sum.refused+sum.late > limit {
		t.Errorf("%d tries refused or late, want at most %d, as without sharing", sum.refused+sum.late, limit)
	}
	if want := piecesBefore * 98 / 100; pieces < want {
		t.Errorf("%d pieces run, want at least %d, as without sharing", pieces, want)
	}
}

// checkShares checks that each account is served at least 0.7 of its share. The requests of
// an account are spread unevenly over the owners, each of which shares its own capacity, and
// entries admit by reports that are up to 2 s old.
func (c *crowd) checkShares(t *testing.T) {
	t.Helper()
	level := level()
	for i, a := range c.accounts {
		want := 0.7 * min(1, level/float64(weights[i]))
		if got := float64(a.onTime+a.late) / float64(a.asked); got < want {
			t.Errorf("%.3f of the tries of account %d are served, want at least %.3f", got, i, want)
		}
	}
}

// Guards against callers that lose their place by doing as they are told: those of the
// largest account that come back on time are served more often than its newcomers.
func TestReturnsGoBeforeNewcomers(t *testing.T) {
	c := newCrowd(1, true, caller{objective: objective, returns: 0.5}).run()
	t.Logf("returned %+v, newcomers %+v", c.returned, c.newcomers)
	served := func(a tally) float64 { return float64(a.onTime) / float64(a.asked) }
	if got, want := served(c.returned), 1.5*served(c.newcomers); got < want {
		t.Errorf("%.3f of the returns are served on time, want at least %.3f, 1.5 times as many as of newcomers", got, want)
	}
}

// Guards against callers that gain by impatience: when those of one account repeat at once
// up to 10 times, no other account is served less than before by more than chance, and
// the account gets hardly more than its share.
func TestImpatienceHarmsItsOwnAccountOnly(t *testing.T) {
	const impatient = 1
	patient := newCrowd(1, true, caller{objective: objective}).run()
	c := newCrowd(1, true, caller{objective: objective, impatient: fmt.Sprint(impatient)}).run()
	for i, a := range c.accounts {
		before := patient.accounts[i]
		got, want := a.onTime+a.late, (before.onTime+before.late)*9/10
		t.Logf("account %d: served %d of %d, before %d of %d", i, got, a.asked, before.onTime+before.late, before.asked)
		if i != impatient && got < want {
			t.Errorf("%d tries of account %d are served beside impatient callers, want at least %d", got, i, want)
		}
	}
	share := level() / float64(weights[impatient]) * float64(patient.accounts[impatient].asked)
	if got := c.accounts[impatient]; float64(got.onTime+got.late) > 1.2*share {
		t.Errorf("impatient callers are served %d times, want at most 1.2 times their share of %.0f", got.onTime+got.late, share)
	}
}
