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
	cfg = Config{MaxBatch: 18, CallOverhead: 240 * time.Millisecond, PieceTime: 11 * time.Millisecond}
)

const unlimited = 1 << 40

func newJob(request string, n int, rank site.Rank, objective time.Duration) *Job {
	return NewJob(Job{RequestID: request, Arrived: t0, Deadline: t0.Add(15 * time.Second), Objective: t0.Add(objective), Rank: rank}, n)
}

// requests returns the concatenated request names of the pieces of a batch.
func requests(batch []Piece) string {
	out := ""
	for _, p := range batch {
		out += p.Job.RequestID
	}
	return out
}

func TestBatchOrder(t *testing.T) {
	q := NewQueue(Config{MaxBatch: 4, CallOverhead: cfg.CallOverhead, PieceTime: cfg.PieceTime})
	q.Push(newJob("l", 1, 0, 100*time.Millisecond)) // late already
	q.Push(newJob("b", 1, 1, 2*time.Second))
	q.Push(newJob("c", 1, 1, time.Second))
	q.Push(newJob("a", 1, 0, 2*time.Second))
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited})), "acbl"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestFewPiecesAreSpreadOverIdleUpstreams(t *testing.T) {
	q := NewQueue(cfg)
	q.Push(newJob("a", 12, 0, time.Second))
	if got, want := len(q.NextBatch(t0, Upstream{IdleCount: 2, FreeBytes: unlimited})), 6; got != want {
		t.Errorf("first of two idle upstreams: %d pieces, want %d", got, want)
	}
	if got, want := len(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited})), 6; got != want {
		t.Errorf("second idle upstream: %d pieces, want %d", got, want)
	}
	q.Push(newJob("b", 2, 0, time.Second))
	if got, want := len(q.NextBatch(t0, Upstream{IdleCount: 5, FreeBytes: unlimited})), 2; got != want {
		t.Errorf("too few pieces to spread: %d in one call, want %d", got, want)
	}
}

func TestPiecesWaitForFreeMemory(t *testing.T) {
	q := NewQueue(cfg)
	big := newJob("a", 3, 0, time.Second)
	big.ResultBytes = 10
	q.Push(big)
	q.Push(newJob("b", 2, 1, time.Second))
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: 25})), "aabb"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: 25})), "a"; got != want {
		t.Errorf("second batch: got %s, want %s", got, want)
	}
}

// Guards against calls whose inputs expire before the upstream can fetch them: their work
// is lost, and so is that of the stage before.
func TestRemoveExpired(t *testing.T) {
	q := NewQueue(cfg)
	fetch := 100 * time.Millisecond
	expiring, fresh, without := newJob("a", 2, 0, time.Second), newJob("b", 2, 0, time.Second), newJob("c", 2, 0, time.Second)
	expiring.InputsExpire, fresh.InputsExpire = t0.Add(fetch/2), t0.Add(2*fetch)
	for _, j := range []*Job{expiring, fresh, without} {
		q.Push(j)
	}
	if got := q.RemoveExpired(t0, fetch); len(got) != 1 || got[0] != expiring {
		t.Errorf("removed %d jobs, want only the one whose inputs expire", len(got))
	}
	if got, want := q.Waiting(), 4; got != want {
		t.Errorf("%d pieces wait, want %d", got, want)
	}
}

func TestRequeueRemoveAndRemoveInfeasible(t *testing.T) {
	q := NewQueue(cfg)
	a := newJob("a", 2, 0, time.Second)
	q.Push(a)
	batch := q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited})
	q.Requeue(t0, batch[0])
	if got, want := q.Waiting(), 1; got != want {
		t.Fatalf("%d pieces wait after a requeue, want %d", got, want)
	}
	if q.Complete(batch[1], "h1") {
		t.Error("a job with a waiting piece is complete")
	}
	retried := q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited})
	if !q.Complete(retried[0], "h0") {
		t.Error("a job whose pieces all have results is not complete")
	}
	if got, want := fmt.Sprint(a.Handles()), "[h0 h1]"; got != want {
		t.Errorf("handles %s, want %s", got, want)
	}
	b := newJob("b", 2, 0, time.Second)
	q.Push(b)
	q.Remove(b)
	q.Push(newJob("c", 3, 0, time.Second))
	if got, want := len(q.RemoveInfeasible(t0.Add(time.Minute), 1)), 1; got != want {
		t.Errorf("%d infeasible jobs, want %d", got, want)
	}
	if got, want := q.Waiting(), 0; got != want {
		t.Errorf("%d pieces wait, want %d", got, want)
	}
}

func TestAdmitRefusesJobsThatCannotMeetTheirDeadline(t *testing.T) {
	q := NewQueue(cfg)
	if _, ok := q.Admit(t0, newJob("a", 4, 0, time.Second), 5); !ok {
		t.Error("refused with an empty queue")
	}
	for range 100 {
		q.Push(newJob("x", 18, 0, 20*time.Second))
	}
	late := newJob("b", 4, 1, time.Second)
	retry, ok := q.Admit(t0, late, 1)
	if ok || retry < 20*time.Second {
		t.Errorf("admitted %t, retry after %v with 44 s of work queued; want refusal and retry after more than 20 s", ok, retry)
	}
	if _, ok := q.Admit(t0, newJob("c", 4, 0, time.Second), 0); ok {
		t.Error("admitted without upstreams")
	}
}

// simulate serves random arrivals in virtual time and returns the share of jobs
// that were completed within their objective. queueCount is the number of queues
// that take turns on the upstreams: 1 is one shared queue, more are entries that
// each send calls of their own.
func simulate(rnd *rand.Rand, queueCount, upstreams int, perSecond float64, seconds int) float64 {
	type call struct {
		queue int
		batch []Piece
	}
	queues := make([]*Queue, queueCount)
	for i := range queues {
		queues[i] = NewQueue(cfg)
	}
	running := make([]call, upstreams)
	freeAt := make([]time.Time, upstreams)
	now := t0
	next := t0
	onTime, total := 0, 0
	end := t0.Add(time.Duration(seconds) * time.Second)
	current := 0
	for ; now.Before(end); now = now.Add(time.Millisecond) {
		for !next.After(now) {
			j := NewJob(Job{Arrived: now, Deadline: now.Add(15 * time.Second), Objective: now.Add(800 * time.Millisecond)}, 1+rnd.IntN(3))
			queues[rnd.IntN(queueCount)].Push(j)
			total++
			next = next.Add(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for u := range upstreams {
			if now.Before(freeAt[u]) {
				continue
			}
			for _, p := range running[u].batch {
				if queues[running[u].queue].Complete(p, "h") && !now.After(p.Job.Objective) {
					onTime++
				}
			}
			running[u] = call{}
			for range queueCount {
				current = (current + 1) % queueCount
				if batch := queues[current].NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited}); len(batch) > 0 {
					running[u] = call{queue: current, batch: batch}
					freeAt[u] = now.Add(queues[current].Duration(len(batch)))
					break
				}
			}
		}
	}
	return float64(onTime) / float64(total)
}

// Peak load: 90 jobs of one to three pieces a second from seven entries, on five
// upstreams that complete 205 pieces a second with full batches. One shared queue
// keeps nearly all jobs on time; with seven queues that take turns, batches stay
// small and many jobs are late.
func TestSharedQueueKeepsMoreOnTime(t *testing.T) {
	for seed := range uint64(3) {
		one := simulate(rand.New(rand.NewPCG(seed, 1)), 1, 5, 90, 30)
		seven := simulate(rand.New(rand.NewPCG(seed, 1)), 7, 5, 90, 30)
		if one < 0.95 {
			t.Errorf("seed %d: %.2f on time with one queue, want at least 0.95", seed, one)
		}
		if seven > one/1.3 {
			t.Errorf("seed %d: %.2f on time with seven queues, %.2f with one; want 1.3 times as many with one", seed, seven, one)
		}
	}
}

func TestJobsWaitForAnUpstreamOfTheirZone(t *testing.T) {
	q := NewQueue(cfg)
	for _, zone := range []string{"a", "b", "a"} {
		j := newJob(zone, 1, 0, time.Second)
		j.Zone = zone
		j.ResultBytes = 1 << 19
		q.Push(j)
	}
	small := newJob("c", 1, 0, 2*time.Second)
	small.Zone, small.ResultBytes = "c", 100
	q.Push(small)
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited, Zone: "a"})), "aa"; got != want {
		t.Errorf("on arrival: got %s, want %s", got, want)
	}
	if got, want := requests(q.NextBatch(t0.Add(time.Millisecond), Upstream{IdleCount: 1, FreeBytes: unlimited, Zone: "a"})), "c"; got != want {
		t.Errorf("after 1 ms: got %s, want the piece with little data to move, %s", got, want)
	}
	if got, want := requests(q.NextBatch(t0.Add(maxCrossZoneWait/2), Upstream{IdleCount: 1, FreeBytes: unlimited, Zone: "a"})), "b"; got != want {
		t.Errorf("after half the maximum wait: got %s, want %s", got, want)
	}
}

// The backlog of a rank leaves out less urgent jobs and late jobs, because jobs
// on time are served before them.
func TestBacklogIsByRank(t *testing.T) {
	q := NewQueue(cfg)
	q.Push(newJob("a", 18, 0, time.Second))
	q.Push(newJob("b", 36, 2, time.Second))
	q.Push(newJob("late", 18, 0, 0))
	one := q.Duration(18)
	b := q.Backlog(t0, 1)
	for rank, want := range []time.Duration{one, one, 3 * one, 3 * one, 3 * one} {
		if got := b.For(site.Rank(rank)).Round(time.Millisecond); got != want {
			t.Errorf("rank %d waits %v, want %v", rank, got, want)
		}
	}
	if got, want := b.Total.Round(time.Millisecond), 4*one; got != want {
		t.Errorf("total wait %v, want %v", got, want)
	}
	if got := (Backlog{}).For(1); got != 0 {
		t.Errorf("wait of %v with an empty backlog, want 0", got)
	}
}

// A slow upstream gets only jobs that it doesn't make late: those with enough
// slack, and those that are late anyway.
func TestSlowUpstreamGetsJobsThatCanWait(t *testing.T) {
	q := NewQueue(cfg)
	typical := q.cfg.TypicalDuration()
	q.Push(newJob("tight", 1, 0, typical+100*time.Millisecond))
	q.Push(newJob("free", 1, 0, 10*time.Second))
	q.Push(newJob("late", 1, 0, 0))
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited, Slowness: 4})), "freelate"; got != want {
		t.Errorf("slow upstream: got %s, want %s", got, want)
	}
	if got, want := requests(q.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited, Slowness: 1.2})), "tight"; got != want {
		t.Errorf("upstream of normal speed: got %s, want %s", got, want)
	}
}
