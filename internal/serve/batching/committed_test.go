package batching

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// drawCommitments returns commitments of a few ranks and accounts.
func drawCommitments(t *rapid.T) []Commitment {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Commitment {
		return Commitment{
			Rank:    site.Rank(rapid.IntRange(0, 4).Draw(t, "rank")),
			Account: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"),
			Pieces:  rapid.IntRange(1, 30).Draw(t, "pieces"),
		}
	}), 1, 12).Draw(t, "commitments")
}

// Guards against admitted work of earlier stages that is in no backlog: too much work starts.
// A committed piece must count like a queued one of the same rank.
func TestBacklogCountsCommitments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		committed, queued := NewQueue(cfg), NewQueue(cfg)
		for i := range rapid.IntRange(0, 6).Draw(t, "jobs") {
			rank, n := site.Rank(rapid.IntRange(0, 4).Draw(t, "rank of job")), rapid.IntRange(1, 20).Draw(t, "pieces of job")
			committed.Push(newJob(fmt.Sprint(i), n, rank, 5*time.Second))
			queued.Push(newJob(fmt.Sprint(i), n, rank, 5*time.Second))
		}
		for _, c := range drawCommitments(t) {
			committed.Commit(c)
			queued.Push(newJob("c", c.Pieces, c.Rank, 5*time.Second))
		}
		got, want := committed.Backlog(t0, 3), queued.Backlog(t0, 3)
		if got.Total != want.Total {
			t.Errorf("total %v, want %v", got.Total, want.Total)
		}
		for rank := range site.Rank(6) {
			if got.For(rank) != want.For(rank) {
				t.Errorf("rank %d: %v, want %v", rank, got.For(rank), want.For(rank))
			}
		}
	})
}

// Guards against commitments that change what happens to jobs that have arrived, and against
// some that stay after they have ended.
func TestCommitmentsLeaveJobsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := cfg
		config.Fair = rapid.Bool().Draw(t, "fair")
		with, without := NewQueue(config), NewQueue(config)
		for i := range 6 {
			asked := rapid.IntRange(0, 2000).Draw(t, "asked")
			with.Ask(t0, fmt.Sprint(i), asked)
			without.Ask(t0, fmt.Sprint(i), asked)
		}
		commitments := drawCommitments(t)
		for _, c := range commitments {
			with.Commit(c)
		}
		for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
			a := drawJob(t, fmt.Sprint("j", i))
			b := NewJob(*a, a.Pieces())
			gotRetry, got := with.Admit(t0, a, 2)
			wantRetry, want := without.Admit(t0, b, 2)
			if got != want || gotRetry != wantRetry {
				t.Errorf("job %d: admitted %t after %v with commitments, %t after %v without", i, got, gotRetry, want, wantRetry)
			}
			with.Push(a)
			without.Push(b)
		}
		for with.Waiting() > 0 {
			with.Backlog(t0, 2)
			without.Backlog(t0, 2)
			got, want := requests(with.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited})), requests(without.NextBatch(t0, Upstream{IdleCount: 1, FreeBytes: unlimited}))
			if got != want {
				t.Fatalf("batch %s with commitments, want %s", got, want)
			}
		}
		for _, c := range commitments {
			c.Pieces = -c.Pieces
			with.Commit(c)
		}
		with.demand.forget(t0.Add(time.Hour))
		if got := with.demand; got.pieces != 0 || len(got.ranks) != 0 || len(got.accounts) != 0 {
			t.Errorf("demand %+v is left, want none", got)
		}
	})
}

// Guards against a queue whose delays change although nobody commits anything.
func TestBacklogWithoutCommitmentsIgnoresArrivals(t *testing.T) {
	q := NewQueue(cfg)
	q.Push(newJob("a", 60, 0, 5*time.Second))
	if got, want := q.Backlog(t0, 1).Ranks, []RankWait{{Rank: 0, Wait: q.wait(60, 1)}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against less urgent requests that start because the queue is short now, and are
// overtaken by urgent ones that arrive later.
func TestDelayAllowsForUrgentArrivals(t *testing.T) {
	q := NewQueue(cfg)
	q.Commit(Commitment{Rank: 1, Pieces: 10})
	now := t0
	// Urgent jobs take half of the capacity of one upstream for long enough.
	for perSecond := q.rate(1) / 2; now.Sub(t0) < 10*demandWindow; now = now.Add(time.Duration(4 / perSecond * float64(time.Second))) {
		j := newJob("u", 4, 0, 5*time.Second)
		j.Arrived = now
		q.Push(j)
		q.Remove(j)
	}
	b := q.Backlog(now, 1)
	if got, want := b.For(1).Seconds(), 2*q.wait(10, 1).Seconds(); got < 0.8*want || got > 1.2*want {
		t.Errorf("delay of %.2f s, want about %.2f s", got, want)
	}
	if got, want := b.For(0), time.Duration(0); got != want {
		t.Errorf("delay of urgent requests %v, want %v", got, want)
	}
	if got, want := q.Backlog(now.Add(20*demandWindow), 1).For(1), q.wait(10, 1); got != want {
		t.Errorf("delay of %v long after the urgent jobs, want %v", got, want)
	}
}

// BenchmarkBacklogWithCommitments measures what an owner computes for each message with
// commitments: 10,000 jobs wait for 400 upstreams, and 64 gateways have told of 256 entries.
func BenchmarkBacklogWithCommitments(b *testing.B) {
	for _, accounts := range []int{0, 16, 400} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			config := cfg
			config.Fair = accounts > 0
			q := NewQueue(config)
			account := func(i int) string { return fmt.Sprint("account", i%max(1, accounts)) }
			for i := range 10_000 {
				j := newJob(fmt.Sprint(i), 3, site.Rank(i/7%3), 5*time.Second)
				j.Account = account(i)
				q.Ask(t0, j.Account, 300)
				q.Push(j)
			}
			for i := range 64 * 256 {
				q.Commit(Commitment{Rank: site.Rank(i / 7 % 3), Account: account(i), Pieces: 2})
			}
			i := 0
			for b.Loop() {
				i++
				q.Commit(Commitment{Rank: site.Rank(i % 3), Account: account(i), Pieces: 1})
				q.Backlog(t0.Add(time.Duration(i%10_000)*100*time.Microsecond), 400)
			}
			if q.Scarce() != config.Fair {
				b.Errorf("capacity is scarce: %t, want %t", q.Scarce(), config.Fair)
			}
		})
	}
}
