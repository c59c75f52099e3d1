package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/pace"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

const (
	loadStep      = 2 * time.Millisecond
	loadEnd       = 40 * time.Second
	loadGateways  = 8
	loadEngine    = 150 * time.Millisecond
	loadObjective = 2500 * time.Millisecond
	loadDeadline  = 8 * time.Second
	loadTTL       = 4 * time.Second
	// loadDelay is the time of a message between two processes.
	loadDelay = 2 * time.Millisecond
	// loadInterval is the least time between two messages with commitments, loadLifetime the
	// time in which a reported backlog loses its weight.
	loadInterval = 50 * time.Millisecond
	loadLifetime = 2 * time.Second
	loadReruns   = 2
)

// The second stage takes 60 % of what the first can.
var (
	loadStages    = []batching.Config{{MaxBatch: 8, CallOverhead: 80 * time.Millisecond, PieceTime: 20 * time.Millisecond}, {MaxBatch: 8, CallOverhead: 80 * time.Millisecond, PieceTime: 20 * time.Millisecond}}
	loadUpstreams = []int{10, 6}
	loadPieces    = []int{1, 2, 6}
	loadMean      = 3.0
)

// loadRequest is a request in the load test.
type loadRequest struct {
	gateway *loadGateway
	arrived time.Time
	recheck time.Time
	rank    site.Rank
	pieces  int
	// stage is the stage that runs, -1 before the start.
	stage int
	job   *batching.Job
	// made is when the results of the stage before were complete.
	made   time.Time
	reruns int
	// work is the time that upstreams spent on the request.
	work time.Duration
}

// loadGateway is what one gateway knows.
type loadGateway struct {
	backlogs  [2]batching.Backlog
	reported  [2]time.Time
	committed [2]map[site.Rank]int
	told      [2]map[site.Rank]int
	recent    [2]map[site.Rank]int
	lastTold  [2]time.Time
}

type loadReply struct {
	at      time.Time
	stage   int
	backlog batching.Backlog
	gateway *loadGateway
}

type loadCall struct {
	end   time.Time
	batch []batching.Piece
}

// loadRun is a run of the load test: two stages, each with a queue at an owner.
type loadRun struct {
	reserve bool
	// load is what arrives as a multiple of what the second stage can take.
	load     float64
	now      time.Time
	rnd      *rand.Rand
	queues   [2]*batching.Queue
	calls    [2][]loadCall
	gateways []*loadGateway
	waiting  []*loadRequest
	running  map[*batching.Job]*loadRequest
	replies  []loadReply
	// total is the work of the upstreams, unused that on requests without a response.
	total, unused time.Duration
	expired       int
	sizes         map[int]*loadCount
	ranks         map[site.Rank]*loadCount
	all           loadCount
}

// loadCount counts requests and those with a response within the objective and the deadline.
type loadCount struct{ requests, onTime, served int }

func newLoadRun(seed uint64, load float64, reserve bool) *loadRun {
	r := &loadRun{reserve: reserve, load: load, now: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 2)), running: make(map[*batching.Job]*loadRequest), sizes: make(map[int]*loadCount), ranks: make(map[site.Rank]*loadCount)}
	for i := range r.queues {
		r.queues[i] = batching.NewQueue(loadStages[i])
	}
	for range loadGateways {
		g := &loadGateway{}
		for i := range g.committed {
			g.committed[i], g.told[i], g.recent[i] = make(map[site.Rank]int), make(map[site.Rank]int), make(map[site.Rank]int)
		}
		r.gateways = append(r.gateways, g)
	}
	return r
}

func (r *loadRun) run() {
	start := r.now
	perSecond := r.load * float64(loadUpstreams[1]*loadStages[1].MaxBatch) / loadStages[1].Duration(loadStages[1].MaxBatch).Seconds() / loadMean
	for ; r.now.Sub(start) < loadEnd; r.now = r.now.Add(loadStep) {
		if r.now.Sub(start) < loadEnd-loadDeadline && r.rnd.Float64() < perSecond*loadStep.Seconds() {
			r.arrive()
		}
		for i := range r.queues {
			r.finishCalls(i)
		}
		r.admit()
		r.deliver()
		for i := range r.queues {
			r.tell(i)
			r.dispatch(i)
		}
	}
}

func (r *loadRun) count(q *loadRequest, add func(c *loadCount)) {
	if r.sizes[q.pieces] == nil {
		r.sizes[q.pieces] = &loadCount{}
	}
	if r.ranks[q.rank] == nil {
		r.ranks[q.rank] = &loadCount{}
	}
	add(r.sizes[q.pieces])
	add(r.ranks[q.rank])
	add(&r.all)
}

func (r *loadRun) arrive() {
	q := &loadRequest{gateway: r.gateways[r.rnd.IntN(loadGateways)], arrived: r.now, rank: site.Rank(r.rnd.IntN(2)), pieces: loadPieces[r.rnd.IntN(len(loadPieces))], stage: -1}
	r.count(q, func(c *loadCount) { c.requests++ })
	r.waiting = append(r.waiting, q)
}

func callTime(stage, pieces int) time.Duration { return loadStages[stage].Duration(pieces + 2) }

// wait returns the backlog of a stage as a gateway knows it.
func (r *loadRun) wait(g *loadGateway, stage int, rank site.Rank) (onTime, total time.Duration) {
	weight := max(0, 1-r.now.Sub(g.reported[stage]).Seconds()/loadLifetime.Seconds())
	onTime, total = time.Duration(weight*float64(g.backlogs[stage].For(rank))), time.Duration(weight*float64(g.backlogs[stage].Total))
	for other, n := range g.recent[stage] {
		wait := time.Duration(n) * r.queues[stage].PieceWait(float64(loadUpstreams[stage]))
		if total += wait; other <= rank {
			onTime += wait
		}
	}
	return onTime, total
}

func (r *loadRun) decide(q *loadRequest) pace.Decision {
	left, objective := q.arrived.Add(loadDeadline).Sub(r.now), q.arrived.Add(loadObjective).Sub(r.now)
	first, firstTotal := r.wait(q.gateway, 0, q.rank)
	second, secondTotal := r.wait(q.gateway, 1, q.rank)
	if !r.reserve {
		return pace.Decide(pace.Request{
			Work: callTime(0, q.pieces) + callTime(1, q.pieces) + loadEngine, Wait: first + second, TotalWait: firstTotal + secondTotal,
			UntilObjective: objective, UntilDeadline: left, Rank: int(q.rank),
		})
	}
	return pace.DecideChain(pace.Chain{
		Stages: []pace.Stage{
			{CallTime: callTime(0, q.pieces), Backlog: first, TotalBacklog: firstTotal, ResultTTL: loadTTL},
			{DependsOn: []int{0}, CallTime: callTime(1, q.pieces), Backlog: second, TotalBacklog: secondTotal, ResultTTL: loadTTL},
		},
		Engine: loadEngine, UntilObjective: objective, UntilDeadline: left, Rank: int(q.rank),
	}).Decision
}

func (r *loadRun) admit() {
	var held []*loadRequest
	for _, q := range r.waiting {
		if r.now.Before(q.recheck) {
			held = append(held, q)
			continue
		}
		switch d := r.decide(q).(type) {
		case pace.Start:
			if r.reserve {
				q.gateway.recent[0][q.rank] += q.pieces
				q.gateway.recent[1][q.rank] += q.pieces
				q.gateway.committed[1][q.rank] += q.pieces
			}
			r.send(q, 0)
		case pace.Hold:
			q.recheck = r.now.Add(d.For)
			held = append(held, q)
		}
	}
	r.waiting = held
}

// send sends the job of a stage to its owner.
func (r *loadRun) send(q *loadRequest, stage int) {
	remaining := loadEngine
	if stage == 0 {
		remaining += callTime(1, q.pieces)
		if !r.reserve {
			wait, _ := r.wait(q.gateway, 1, q.rank)
			remaining += wait
		}
	}
	if stage == 1 && r.reserve {
		q.gateway.committed[1][q.rank] -= q.pieces
	}
	objective := q.arrived.Add(loadObjective)
	job := batching.Job{Arrived: r.now, Deadline: q.arrived.Add(loadDeadline), Objective: objective, Remaining: remaining, Rank: q.rank}
	if stage == 1 {
		wait, _ := r.wait(q.gateway, 1, q.rank)
		if least := r.now.Add(wait + callTime(1, q.pieces) + remaining); least.After(objective) {
			job.Objective = least
		}
		job.InputsExpire = q.made.Add(loadTTL)
	}
	q.stage, q.job = stage, batching.NewJob(job, q.pieces)
	if _, ok := r.queues[stage].Admit(r.now, q.job, float64(loadUpstreams[stage])); !ok {
		r.report(q.gateway, stage)
		r.fail(q)
		return
	}
	r.running[q.job] = q
	r.queues[stage].Push(q.job)
}

// fail ends a request without a response.
func (r *loadRun) fail(q *loadRequest) { r.unused += q.work }

// report sends the backlog of a stage to a gateway.
func (r *loadRun) report(g *loadGateway, stage int) {
	backlog := r.queues[stage].Backlog(r.now, float64(loadUpstreams[stage]))
	r.replies = append(r.replies, loadReply{at: r.now.Add(loadDelay), stage: stage, backlog: backlog, gateway: g})
}

func (r *loadRun) deliver() {
	var later []loadReply
	for _, m := range r.replies {
		if m.at.After(r.now) {
			later = append(later, m)
			continue
		}
		m.gateway.backlogs[m.stage], m.gateway.reported[m.stage] = m.backlog, r.now
	}
	r.replies = later
}

// tell sends the commitments of all gateways for a stage.
func (r *loadRun) tell(stage int) {
	for _, g := range r.gateways {
		if !r.reserve || r.now.Sub(g.lastTold[stage]) < loadInterval {
			continue
		}
		g.lastTold[stage] = r.now
		for rank := range site.Rank(2) {
			r.queues[stage].Commit(batching.Commitment{Rank: rank, Pieces: g.committed[stage][rank] - g.told[stage][rank]})
			g.told[stage][rank] = g.committed[stage][rank]
		}
		clear(g.recent[stage])
		r.report(g, stage)
	}
}

func (r *loadRun) dispatch(stage int) {
	q := r.queues[stage]
	for _, j := range q.RemoveExpired(r.now, 70*time.Millisecond) {
		r.expire(r.running[j])
	}
	for _, j := range q.RemoveInfeasible(r.now, float64(loadUpstreams[stage])) {
		r.fail(r.running[j])
		delete(r.running, j)
	}
	for free := loadUpstreams[stage] - len(r.calls[stage]); free > 0; free-- {
		batch := q.NextBatch(r.now, batching.Upstream{IdleCount: free, FreeBytes: 1 << 40, Slowness: 1})
		if len(batch) == 0 {
			return
		}
		took := q.Duration(len(batch))
		r.total += took
		for _, p := range batch {
			r.running[p.Job].work += took / time.Duration(len(batch))
		}
		r.calls[stage] = append(r.calls[stage], loadCall{end: r.now.Add(took), batch: batch})
	}
}

// expire runs a request again whose inputs have expired.
func (r *loadRun) expire(q *loadRequest) {
	r.expired++
	delete(r.running, q.job)
	r.unused += q.work
	q.work = 0
	if q.reruns++; q.reruns <= loadReruns {
		if r.reserve {
			q.gateway.committed[1][q.rank] += q.pieces
		}
		r.send(q, 0)
	}
}

func (r *loadRun) finishCalls(stage int) {
	var open []loadCall
	for _, c := range r.calls[stage] {
		if c.end.After(r.now) {
			open = append(open, c)
			continue
		}
		for _, p := range c.batch {
			if r.queues[stage].Complete(p, "handle") {
				r.complete(r.running[p.Job])
			}
		}
	}
	r.calls[stage] = open
}

// complete goes on with a request whose stage is complete.
func (r *loadRun) complete(q *loadRequest) {
	delete(r.running, q.job)
	r.report(q.gateway, q.stage)
	if q.made = r.now; q.stage == 0 {
		r.send(q, 1)
		return
	}
	end := r.now.Add(loadEngine).Sub(q.arrived)
	if end > loadDeadline {
		r.fail(q)
		return
	}
	r.count(q, func(c *loadCount) {
		c.served++
		if end <= loadObjective {
			c.onTime++
		}
	})
}

// unusedShare returns the share of the work that was on requests without a response.
func (r *loadRun) unusedShare() float64 { return r.unused.Seconds() / r.total.Seconds() }

// Guards against more work on first stages than the later ones can take: its results expire
// or its jobs are refused in the later queue. Guards as well against requests of one size or
// rank that no longer get their part.
func TestChainUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			with, without := newLoadRun(seed, 1.5, true), newLoadRun(seed, 1.5, false)
			with.run()
			without.run()
			t.Logf("with reservation: %+v, %.4f of %v unused, %d expired", with.all, with.unusedShare(), with.total, with.expired)
			t.Logf("without: %+v, %.4f of %v unused, %d expired", without.all, without.unusedShare(), without.total, without.expired)
			if got := with.unusedShare(); got >= 0.03 {
				t.Errorf("%.4f of the work is unused, want under 0.03", got)
			}
			if got := without.unusedShare(); got < 0.1 {
				t.Errorf("%.4f of the work is unused without reservation: the load is too light to show anything", got)
			}
			if got, want := with.all.onTime, without.all.onTime; got < want {
				t.Errorf("%d requests in time, want at least the %d without reservation", got, want)
			}
			for _, n := range loadPieces {
				checkPart(t, fmt.Sprintf("%d pieces", n), with.sizes[n], without.sizes[n])
			}
			for rank := range site.Rank(2) {
				checkPart(t, fmt.Sprintf("rank %d", rank), with.ranks[rank], without.ranks[rank])
			}
		})
	}
}

// checkPart checks that a kind of request is in time as often with reservation as without.
func checkPart(t *testing.T, kind string, with, without *loadCount) {
	t.Helper()
	t.Logf("%s: %+v with reservation, %+v without", kind, *with, *without)
	if with.onTime < without.onTime {
		t.Errorf("%s: %d in time, want at least the %d without reservation", kind, with.onTime, without.onTime)
	}
}

// Guards against a reservation that holds requests although there is capacity.
func TestChainWithoutOverload(t *testing.T) {
	for _, load := range []float64{0.5, 0.8} {
		with, without := newLoadRun(1, load, true), newLoadRun(1, load, false)
		with.run()
		without.run()
		t.Logf("load %v: %+v with reservation, %+v without", load, with.all, without.all)
		if got, want := with.all.onTime, without.all.onTime; got < want*99/100 {
			t.Errorf("load %v: %d requests in time, want about the %d without reservation", load, got, want)
		}
	}
}
