package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Config describes the upstreams of a service, which are all alike.
type Config struct {
	// MaxBatch is the maximum number of pieces in one call.
	MaxBatch int
	// CallOverhead is the fixed time of a call, PieceTime what each piece adds.
	CallOverhead, PieceTime time.Duration
}

// ConfigOf returns the Config of a service.
func ConfigOf(b *site.Batching) Config {
	return Config{MaxBatch: b.MaxBatch, CallOverhead: b.CallOverhead, PieceTime: b.PieceTime}
}

// Duration returns the expected time of a call with n pieces.
func (c Config) Duration(n int) time.Duration {
	return c.CallOverhead + time.Duration(n)*c.PieceTime
}

// TypicalDuration returns the expected time of a call under load, when batches
// are mostly filled.
func (c Config) TypicalDuration() time.Duration {
	return c.Duration(c.MaxBatch * typicalFillPercent / 100)
}

// typicalFillPercent is how full batches typically are under load, in percent of
// MaxBatch.
const typicalFillPercent = 60

// Queue holds the jobs that have pieces waiting for a batch. It is not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	jobs    []*Job
	waiting int
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Configure replaces the configuration.
func (q *Queue) Configure(cfg Config) { q.cfg = cfg }

// Waiting returns the number of pieces that wait for a batch.
func (q *Queue) Waiting() int { return q.waiting }

// Duration returns the expected time of a call with n pieces.
func (q *Queue) Duration(n int) time.Duration { return q.cfg.Duration(n) }

// rate returns the throughput of the upstreams with full batches, in pieces per
// second. A slow upstream counts as a fraction of one.
func (q *Queue) rate(upstreams float64) float64 {
	return upstreams * float64(q.cfg.MaxBatch) / q.Duration(q.cfg.MaxBatch).Seconds()
}

// Backlog returns the expected queueing delay: at each rank that of the jobs on
// time, and in total that of all jobs. upstreams is the capacity, in upstreams of
// normal speed.
func (q *Queue) Backlog(now time.Time, upstreams float64) Backlog {
	if upstreams == 0 {
		return Backlog{Total: q.Duration(q.cfg.MaxBatch)}
	}
	pieces := make(map[site.Rank]int)
	for _, j := range q.jobs {
		if !j.late(now, q.cfg.TypicalDuration()) {
			pieces[j.Rank] += len(j.pending)
		}
	}
	wait := func(n int) time.Duration {
		return time.Duration(float64(n) / q.rate(upstreams) * float64(time.Second))
	}
	out := Backlog{Total: wait(q.waiting)}
	ahead := 0
	for _, rank := range slices.Sorted(maps.Keys(pieces)) {
		ahead += pieces[rank]
		out.Ranks = append(out.Ranks, RankWait{Rank: rank, Wait: wait(ahead)})
	}
	return out
}

// Admit reports whether a job can be completed before its deadline, given the
// jobs that are served before it. If it can't, Admit returns the time after which
// to retry. upstreams is the capacity, in upstreams of normal speed.
func (q *Queue) Admit(now time.Time, j *Job, upstreams float64) (time.Duration, bool) {
	if upstreams == 0 {
		return q.Duration(q.cfg.MaxBatch), false
	}
	ahead := 0
	for _, other := range q.jobs {
		if compare(now, other, j, q.cfg.TypicalDuration()) < 0 {
			ahead += len(other.pending)
		}
	}
	need := q.timeToResponse(j, ahead, upstreams)
	if left := j.Deadline.Sub(now); need > left {
		return need - left, false
	}
	return 0, true
}

// Push adds a job.
func (q *Queue) Push(j *Job) {
	q.jobs = append(q.jobs, j)
	q.waiting += len(j.pending)
}

// Upstream describes the upstream that a batch is formed for.
type Upstream struct {
	// IdleCount is the number of idle upstreams, including this one. When few
	// pieces wait, they are spread over all of them.
	IdleCount int
	// FreeBytes is the free memory for results on the upstream. Pieces whose
	// results don't fit wait for another upstream.
	FreeBytes int64
	// Zone is the availability zone of the upstream. Jobs of another zone first
	// wait a short time for an upstream of their own zone.
	Zone string
	// Slowness is the time of a call on this upstream, as a multiple of the time
	// on the fastest upstream; 0 counts as 1. Jobs that only a faster upstream
	// can complete on time wait for one.
	Slowness float64
}

// slowThreshold is the slowness from which an upstream gets no jobs that would be
// on time only on a faster one.
const slowThreshold = 1.5

const (
	// crossZoneWaitPerMiB is how long a job waits for an upstream of its own zone
	// for each MiB that would otherwise cross zones.
	crossZoneWaitPerMiB = 250 * time.Millisecond
	// maxCrossZoneWait limits that wait.
	maxCrossZoneWait = 250 * time.Millisecond
)

// NextBatch removes the pieces of the next call to an upstream from the queue and
// returns them.
func (q *Queue) NextBatch(now time.Time, u Upstream) []Piece {
	if q.waiting == 0 {
		return nil
	}
	q.sort(now)
	idle, free := u.IdleCount, u.FreeBytes
	n := min(q.cfg.MaxBatch, max(q.minBatch(), (q.waiting+idle-1)/max(1, idle)))
	extra := time.Duration((u.Slowness - 1) * float64(q.Duration(n)))
	typical := q.cfg.TypicalDuration()
	var out []Piece
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		take := min(n-len(out), len(j.pending), j.resultsThatFit(free))
		if j.inOtherZone(u.Zone) && now.Sub(j.Arrived) < j.zoneWait() {
			take = 0
		}
		if u.Slowness >= slowThreshold && !j.late(now, typical) && j.late(now, typical+extra) {
			take = 0
		}
		free -= int64(take) * j.ResultBytes
		for _, i := range j.pending[:take] {
			out = append(out, Piece{Job: j, Index: i})
		}
		j.pending = j.pending[take:]
		if take > 0 {
			j.calls++
		}
		if len(j.pending) > 0 {
			kept = append(kept, j)
		}
	}
	clear(q.jobs[len(kept):])
	q.jobs = kept
	q.waiting -= len(out)
	return out
}

// inOtherZone reports whether the job belongs to a zone other than the given one.
func (j *Job) inOtherZone(zone string) bool { return j.Zone != "" && j.Zone != zone }

// zoneWait returns how long the job waits for an upstream of its own zone.
func (j *Job) zoneWait() time.Duration {
	mib := float64(j.InputBytes+int64(j.Pieces())*j.ResultBytes) / (1 << 20)
	return min(maxCrossZoneWait, time.Duration(mib*float64(crossZoneWaitPerMiB)))
}

// resultsThatFit returns the number of results that fit into free bytes of memory,
// or the number of pending pieces if the size of a result isn't known.
func (j *Job) resultsThatFit(free int64) int {
	if j.ResultBytes <= 0 {
		return len(j.pending)
	}
	return int(max(0, free) / j.ResultBytes)
}

// minBatch returns the number of pieces up to which a batch isn't split over idle
// upstreams, because the time saved doesn't justify the overhead of another call.
func (q *Queue) minBatch() int {
	if q.cfg.PieceTime <= 0 {
		return q.cfg.MaxBatch
	}
	return max(1, int(q.cfg.CallOverhead/q.cfg.PieceTime/spreadDivisor))
}

// spreadDivisor sets minBatch: the pieces of a batch take at least CallOverhead
// divided by it before they are spread over several upstreams.
const spreadDivisor = 4

func (q *Queue) sort(now time.Time) {
	typical := q.cfg.TypicalDuration()
	slices.SortStableFunc(q.jobs, func(a, b *Job) int { return compare(now, a, b, typical) })
}

// compare orders jobs: those on time before late ones, then by rank. Within a rank,
// jobs on time are ordered by slack and late jobs by arrival.
func compare(now time.Time, a, b *Job, typical time.Duration) int {
	late := a.late(now, typical)
	switch {
	case late != b.late(now, typical):
		if late {
			return 1
		}
		return -1
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case late:
		return a.Arrived.Compare(b.Arrived)
	default:
		return cmp.Compare(a.slack(now, typical), b.slack(now, typical))
	}
}

// late reports whether the job can no longer meet its objective, given the time of
// a call.
func (j *Job) late(now time.Time, callTime time.Duration) bool { return j.slack(now, callTime) < 0 }

// expiresWithin reports whether an input of the job expires before now+d.
func (j *Job) expiresWithin(now time.Time, d time.Duration) bool {
	return !j.InputsExpire.IsZero() && j.InputsExpire.Sub(now) < d
}

// slack returns how long the job can still wait and meet its objective.
func (j *Job) slack(now time.Time, callTime time.Duration) time.Duration {
	return j.Objective.Sub(now) - j.Remaining - callTime
}

// Complete records the result of a piece and reports whether its job is now
// complete.
func (q *Queue) Complete(p Piece, handle string) bool {
	if p.Job.handles[p.Index] == "" {
		p.Job.completed++
	}
	p.Job.handles[p.Index] = handle
	return p.Job.completed == len(p.Job.handles)
}

// Requeue puts back a piece that was part of a batch and got no result.
func (q *Queue) Requeue(p Piece) {
	if len(p.Job.pending) == 0 {
		q.jobs = append(q.jobs, p.Job)
	}
	p.Job.pending = append(p.Job.pending, p.Index)
	q.waiting++
}

// Remove removes a job and its waiting pieces.
func (q *Queue) Remove(j *Job) {
	q.jobs = slices.DeleteFunc(q.jobs, func(other *Job) bool {
		if other != j {
			return false
		}
		q.waiting -= len(j.pending)
		return true
	})
	j.pending = nil
}

// RemoveExpired removes and returns the jobs whose inputs expire before now+fetch, the
// time that an upstream takes to fetch them. Calls with them would be in vain.
func (q *Queue) RemoveExpired(now time.Time, fetch time.Duration) []*Job {
	var out []*Job
	for _, j := range q.jobs {
		if j.expiresWithin(now, fetch) {
			out = append(out, j)
		}
	}
	for _, j := range out {
		q.Remove(j)
	}
	return out
}

// RemoveInfeasible removes and returns the jobs that can't be completed before
// their deadline, given the jobs that are served before them.
func (q *Queue) RemoveInfeasible(now time.Time, upstreams float64) []*Job {
	q.sort(now)
	var out []*Job
	ahead := 0
	for _, j := range q.jobs {
		if q.timeToResponse(j, ahead, upstreams) > j.Deadline.Sub(now) {
			out = append(out, j)
			continue
		}
		ahead += len(j.pending)
	}
	for _, j := range out {
		q.Remove(j)
	}
	return out
}

// timeToResponse returns the expected time until the caller receives the first
// event of the response, for a job with a number of pieces ahead of it.
func (q *Queue) timeToResponse(j *Job, ahead int, upstreams float64) time.Duration {
	wait := time.Duration(0)
	if upstreams > 0 {
		wait = time.Duration(float64(ahead) / q.rate(upstreams) * float64(time.Second))
	}
	return wait + q.Duration(min(len(j.pending), q.cfg.MaxBatch)) + j.Remaining
}
