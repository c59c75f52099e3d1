package batching

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// scarceQueue returns a queue with jobs of up to 6 accounts at up to 3 ranks, some of them
// late, of which some accounts may be over their share.
func scarceQueue(t *rapid.T, fair bool) *Queue {
	c := cfg
	c.Fair = fair
	q := NewQueue(c)
	for i := range rapid.IntRange(0, 6).Draw(t, "accounts") {
		name := fmt.Sprint(i)
		q.Ask(t0, name, rapid.IntRange(0, 2000).Draw(t, "asked"))
		q.fair.use(t0, name, time.Duration(rapid.IntRange(0, 1000).Draw(t, "used"))*q.pieceWork())
	}
	for i := range rapid.IntRange(0, 40).Draw(t, "jobs") {
		q.Push(drawJob(t, fmt.Sprint("j", i)))
	}
	q.updateShares(t0, float64(rapid.IntRange(0, 10).Draw(t, "upstreams")))
	return q
}

func drawJob(t *rapid.T, id string) *Job {
	j := newJob(id, rapid.IntRange(1, 9).Draw(t, "pieces"), site.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), time.Duration(rapid.IntRange(-500, 4000).Draw(t, "objective"))*time.Millisecond)
	j.Account = fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "account"))
	j.Arrived = t0.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond)
	return j
}

// compareBySlack is the order without sharing: jobs on time before late ones, then by
// rank, then by slack, or by arrival among late jobs.
func compareBySlack(a, b *Job) int {
	typical := cfg.TypicalDuration()
	late := a.late(t0, typical)
	switch {
	case late != b.late(t0, typical) && late:
		return 1
	case late != b.late(t0, typical):
		return -1
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case late:
		return a.Arrived.Compare(b.Arrived)
	default:
		return cmp.Compare(a.slack(t0, typical), b.slack(t0, typical))
	}
}

// Guards against a change of the order where sharing is off, or where the accounts ask for
// no more than the capacity.
func TestOrderWithoutScarcityIsBySlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scarceQueue(t, rapid.Bool().Draw(t, "fair"))
		if q.fair.meter.Scarce() {
			return
		}
		got := q.inOrder(t0)
		want := slices.Clone(got)
		slices.SortStableFunc(want, compareBySlack)
		if !slices.Equal(got, want) {
			t.Fatalf("got another order than by rank and slack")
		}
	})
}

// Guards against an account that waits for the backlog of others: at its rank, no job of
// an account below its share may be behind one of an account above its own, and more
// urgent ranks go first among jobs on time.
func TestBelowShareNeverWaitsBehindAbove(t *testing.T) {
	scarce := 0
	rapid.Check(t, func(t *rapid.T) {
		q := scarceQueue(t, true)
		if q.fair.meter.Scarce() {
			scarce++
		}
		jobs := q.inOrder(t0)
		if len(jobs) != jobCount(q) {
			t.Fatalf("%d jobs in order, want %d", len(jobs), jobCount(q))
		}
		for i, a := range jobs {
			for _, b := range jobs[i+1:] {
				if a.Rank == b.Rank && q.fair.meter.Standing(b.Account) == fairshare.Below && q.fair.meter.Standing(a.Account) != fairshare.Below {
					t.Fatalf("job %s of an account below its share waits behind %s of one above", b.RequestID, a.RequestID)
				}
				if a.kind == onTime && b.kind == onTime && b.Rank < a.Rank {
					t.Fatalf("job %s of rank %d waits behind %s of rank %d", b.RequestID, b.Rank, a.RequestID, a.Rank)
				}
			}
		}
	})
	if scarce == 0 {
		t.Error("no draw had scarce capacity")
	}
}

func jobCount(q *Queue) int {
	n := 0
	var count func(*node)
	count = func(x *node) {
		if x != nil {
			n++
			count(x.left)
			count(x.right)
		}
	}
	for _, l := range q.lanes.lanes {
		count(l.trees[onTime].root)
		count(l.trees[late].root)
	}
	return n
}

// Guards against an admission that decides by another place than the job then gets.
func TestAdmissionCountsThePiecesThatGoFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scarceQueue(t, rapid.Bool().Draw(t, "fair"))
		j := drawJob(t, "new")
		q.lanes.advance(t0)
		got := q.lanes.ahead(t0, j, q.accountOf(j))
		q.Push(j)
		want := 0
		for _, other := range q.inOrder(t0) {
			if other == j {
				break
			}
			want += len(other.pending)
		}
		if got != want {
			t.Fatalf("admission counts %d pieces in front of the job, want %d", got, want)
		}
	})
}

// Guards against capacity that stays idle while pieces wait, and against pieces that are
// lost or run twice.
func TestBatchesAreFullWhilePiecesWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := scarceQueue(t, true)
		left := q.Waiting()
		seen := make(map[Piece]bool)
		for now := t0; left > 0; now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond) {
			batch := q.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited})
			if got, want := len(batch), min(left, cfg.MaxBatch); got != want {
				t.Fatalf("a batch of %d pieces with %d waiting, want %d", got, left, want)
			}
			for _, p := range batch {
				if seen[p] {
					t.Fatalf("piece %d of %s is in two batches", p.Index, p.Job.RequestID)
				}
				seen[p] = true
			}
			left -= len(batch)
			if got := q.Waiting(); got != left {
				t.Fatalf("%d pieces wait, want %d", got, left)
			}
		}
	})
}

// Guards against starvation: a job of the least urgent rank, of the account that is
// furthest above its share, gets all its pieces into batches within a bounded number of
// pieces after it is aged, although more urgent jobs fill every batch.
func TestAgedJobIsServedWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cfg
		c.Fair = true
		q := NewQueue(c)
		q.Ask(t0, "large", 10000)
		q.fair.use(t0, "large", 10000*q.pieceWork())
		last := newJob("last", rapid.IntRange(1, 40).Draw(t, "pieces"), 99, time.Second)
		last.Account = "large"
		q.Push(last)
		aged := time.Unix(0, ageKey(last).at)
		dispatched := 0
		for now := t0; !last.Dispatched(); now = now.Add(10 * time.Millisecond) {
			q.Ask(now, "large", 200)
			q.Ask(now, "small", 9)
			for range 5 {
				urgent := newJob("u", 4, 0, 20*time.Second)
				urgent.Account = "small"
				q.Push(urgent)
			}
			q.updateShares(now, 1)
			batch := q.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited})
			if !now.Before(aged) {
				dispatched += len(batch)
			}
			if limit := int(float64(last.Pieces())/agedShare) + 2*cfg.MaxBatch; dispatched > limit {
				t.Fatalf("%d pieces of %d wait after %d others went first, want at most %d", len(last.pending), last.Pieces(), dispatched, limit)
			}
		}
	})
}

// BenchmarkDecision measures the two decisions on a full queue: to form a batch, and to
// admit a job. The jobs of each batch are replaced, which is not measured.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ jobs, accounts int }{{100, 16}, {1000, 16}, {1000, 400}, {10_000, 16}, {10_000, 400}, {40_000, 400}} {
		b.Run(fmt.Sprintf("jobs=%d/accounts=%d", size.jobs, size.accounts), func(b *testing.B) {
			c := cfg
			c.Fair = true
			q := NewQueue(c)
			i := 0
			next := func() *Job {
				i++
				j := newJob("x", 3, site.Rank(i/7%3), time.Duration(2+i%7)*time.Hour+time.Duration(i%1000)*time.Millisecond)
				j.Account = fmt.Sprint(i * 7919 % size.accounts)
				return j
			}
			for range size.jobs {
				q.Push(next())
			}
			var batches, admissions time.Duration
			now := t0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				start := time.Now()
				n := len(q.NextBatch(now, Upstream{IdleCount: 1, FreeBytes: unlimited}))
				batches += time.Since(start)
				for range n / 3 {
					j := next()
					start := time.Now()
					q.Ask(now, j.Account, 3)
					q.Admit(now, j, 40)
					admissions += time.Since(start)
					q.Push(j)
				}
			}
			b.ReportMetric(float64(batches.Nanoseconds())/float64(b.N), "ns/batch")
			b.ReportMetric(float64(admissions.Nanoseconds())/float64(b.N)/float64(cfg.MaxBatch/3), "ns/admission")
			b.ReportMetric(0, "ns/op")
		})
	}
}
