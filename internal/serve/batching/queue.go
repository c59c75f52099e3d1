package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Config describes the upstreams of a service, which are all alike.
type Config struct {
	// MaxBatch is the maximum number of pieces in one call.
	MaxBatch int
	// CallOverhead is the fixed time of a call, PieceTime what each piece adds.
	CallOverhead, PieceTime time.Duration
	// Fair shares scarce capacity between accounts, see package fairshare. Otherwise
	// accounts are ignored.
	Fair bool
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
	lanes   lanes
	waiting int
	fair    sharing
	// demand is what Backlog counts besides the jobs.
	demand demand
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{cfg: cfg, fair: newSharing(cfg.Fair)}
	q.lanes = newLanes(cfg.TypicalDuration(), q.fair.meter)
	return q
}

// Configure replaces the configuration.
func (q *Queue) Configure(now time.Time, cfg Config) {
	if cfg == q.cfg {
		return
	}
	jobs := q.inOrder(now)
	if cfg.Fair != q.cfg.Fair {
		q.fair = newSharing(cfg.Fair)
	}
	q.fair.byAge = tree{}
	q.cfg, q.lanes = cfg, newLanes(cfg.TypicalDuration(), q.fair.meter)
	for _, j := range jobs {
		q.insert(now, j)
	}
}

// inOrder returns all jobs in the order in which they are served.
func (q *Queue) inOrder(now time.Time) []*Job {
	q.lanes.advance(now)
	var out []*Job
	q.lanes.walk(func(j *Job) bool {
		out = append(out, j)
		return true
	})
	return out
}

// Waiting returns the number of pieces that wait for a batch.
func (q *Queue) Waiting() int { return q.waiting }

// Duration returns the expected time of a call with n pieces.
func (q *Queue) Duration(n int) time.Duration { return q.cfg.Duration(n) }

// FullDuration returns the expected time of a call with as many pieces as fit.
func (q *Queue) FullDuration() time.Duration { return q.Duration(q.cfg.MaxBatch) }

// rate returns the throughput of the upstreams with full batches, in pieces per
// second. A slow upstream counts as a fraction of one.
func (q *Queue) rate(upstreams float64) float64 {
	return upstreams * float64(q.cfg.MaxBatch) / q.Duration(q.cfg.MaxBatch).Seconds()
}

// wait returns the time in which the upstreams complete n pieces.
func (q *Queue) wait(n int, upstreams float64) time.Duration {
	return time.Duration(float64(n) / q.rate(upstreams) * float64(time.Second))
}

// PieceWait returns what each further piece adds to a delay, 0 if there is no capacity.
func (q *Queue) PieceWait(upstreams float64) time.Duration {
	if upstreams == 0 {
		return 0
	}
	return q.wait(1, upstreams)
}

// Admit reports whether a job can be completed before its deadline, given the
// jobs that are served before it. If it can't, Admit returns the time after which
// to retry. upstreams is the capacity, in upstreams of normal speed.
func (q *Queue) Admit(now time.Time, j *Job, upstreams float64) (time.Duration, bool) {
	if upstreams == 0 {
		return q.Duration(q.cfg.MaxBatch), false
	}
	q.updateShares(now, upstreams)
	q.lanes.advance(now)
	need := q.expectedWait(now, j, upstreams) + q.serviceTime(j)
	if left := j.Deadline.Sub(now); need > left {
		return need - left, false
	}
	return 0, true
}

// Push adds a job.
func (q *Queue) Push(j *Job) {
	q.insert(j.Arrived, j)
	q.waiting += len(j.pending)
	q.demand.arrive(j.Arrived, j.Rank, len(j.pending))
}

func (q *Queue) insert(now time.Time, j *Job) {
	q.lanes.insert(now, j, q.accountOf(j))
	q.fair.insert(j)
}

// accountOf returns the account whose share the job counts for, the same for all if nothing
// is shared by account.
func (q *Queue) accountOf(j *Job) string {
	if !q.cfg.Fair {
		return ""
	}
	return j.Account
}

func (q *Queue) remove(j *Job) {
	q.fair.remove(j)
	q.lanes.remove(j)
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
	q.lanes.advance(now)
	n := min(q.cfg.MaxBatch, max(q.minBatch(), (q.waiting+u.IdleCount-1)/max(1, u.IdleCount)))
	b := &batch{queue: q, now: now, upstream: u, size: n, free: u.FreeBytes, extra: time.Duration((u.Slowness - 1) * float64(q.Duration(n)))}
	q.fair.aged(now, func(j *Job, limit int) int {
		n := b.reserve(j, min(limit, b.size-len(b.pieces)))
		b.take(j, n)
		return n
	})
	var next []pick
	left := n - len(b.pieces)
	q.lanes.walk(func(j *Job) bool {
		if left == 0 {
			return false
		}
		if n := b.reserve(j, left); n > 0 {
			next = append(next, pick{job: j, pieces: n})
			left -= n
		}
		return true
	})
	for _, p := range next {
		b.take(p.job, p.pieces)
	}
	q.fair.earn(len(b.pieces))
	return b.pieces
}

// pick is a job of which a number of pieces go into a batch.
type pick struct {
	job    *Job
	pieces int
}

// batch is a batch that is being filled.
type batch struct {
	queue    *Queue
	now      time.Time
	upstream Upstream
	// size is the number of pieces to fill the batch with.
	size int
	// free is the memory that is left for results.
	free int64
	// extra is how much longer the call takes than on the fastest upstream.
	extra  time.Duration
	pieces []Piece
}

// reserve returns how many pieces of a job may go into the batch, at most limit, and
// reserves memory for their results.
func (b *batch) reserve(j *Job, limit int) int {
	if j.inOtherZone(b.upstream.Zone) && b.now.Sub(j.Arrived) < j.zoneWait() {
		return 0
	}
	typical := b.queue.lanes.callTime
	if b.upstream.Slowness >= slowThreshold && !j.late(b.now, typical) && j.late(b.now, typical+b.extra) {
		return 0
	}
	n := min(limit, len(j.pending), j.resultsThatFit(b.free))
	b.free -= int64(n) * j.ResultBytes
	return n
}

// take moves n pieces of a job from the queue into the batch.
func (b *batch) take(j *Job, n int) {
	if n == 0 {
		return
	}
	q := b.queue
	for _, i := range j.pending[:n] {
		b.pieces = append(b.pieces, Piece{Job: j, Index: i})
	}
	j.pending = j.pending[n:]
	j.calls++
	q.waiting -= n
	q.fair.use(b.now, j.Account, time.Duration(n)*q.pieceWork())
	if len(j.pending) > 0 {
		j.lane.refresh(j)
		return
	}
	q.remove(j)
}

// pieceWork returns the time that a piece takes of an upstream of normal speed under
// load, its part of the overhead included.
func (q *Queue) pieceWork() time.Duration {
	return q.Duration(q.cfg.MaxBatch) / time.Duration(max(1, q.cfg.MaxBatch))
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
func (q *Queue) Requeue(now time.Time, p Piece) {
	j := p.Job
	queued := len(j.pending) > 0
	j.pending = append(j.pending, p.Index)
	q.waiting++
	if queued {
		j.lane.refresh(j)
		return
	}
	q.insert(now, j)
}

// Remove removes a job and its waiting pieces.
func (q *Queue) Remove(j *Job) {
	if j.lane != nil {
		q.remove(j)
		q.waiting -= len(j.pending)
	}
	j.pending = nil
}

// RemoveExpired removes and returns the jobs whose inputs expire before now+fetch, the
// time that an upstream takes to fetch them. Calls with them would be in vain.
func (q *Queue) RemoveExpired(now time.Time, fetch time.Duration) []*Job {
	var out []*Job
	q.lanes.walk(func(j *Job) bool {
		if j.expiresWithin(now, fetch) {
			out = append(out, j)
		}
		return true
	})
	for _, j := range out {
		q.Remove(j)
	}
	return out
}

// RemoveInfeasible removes and returns the jobs that can't be completed before
// their deadline, given the jobs that are served before them.
func (q *Queue) RemoveInfeasible(now time.Time, upstreams float64) []*Job {
	q.updateShares(now, upstreams)
	q.lanes.advance(now)
	var out []*Job
	ahead := 0
	q.lanes.walk(func(j *Job) bool {
		if q.timeToResponse(j, ahead, upstreams) > j.Deadline.Sub(now) {
			out = append(out, j)
		} else {
			ahead += len(j.pending)
		}
		return true
	})
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
		wait = q.wait(ahead, upstreams)
	}
	return wait + q.serviceTime(j)
}

// serviceTime returns the expected time from the first call with pieces of a job to the
// first event of the response.
func (q *Queue) serviceTime(j *Job) time.Duration {
	return q.Duration(min(len(j.pending), q.cfg.MaxBatch)) + j.Remaining
}
