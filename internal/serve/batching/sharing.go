package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

const (
	// agedShare is the fraction of the pieces that aged jobs may take before all others
	// while capacity is scarce. Most aged jobs miss their objective anyway, and each makes
	// another one late: with 1/16, 4 % fewer requests were on time in the load test of
	// package fairshare.
	agedShare = 1.0 / 128
	// maxReported is the number of accounts over their share that a Backlog names. The
	// others count as below their share at admission, and only there.
	maxReported = 64
	// overTTL is how long the choice of the accounts that a Backlog names is kept where owners
	// are asked for one with each message with commitments. With 400 accounts it takes 20 us.
	overTTL = 50 * time.Millisecond
)

// sharing holds what a queue needs to share scarce capacity between accounts.
type sharing struct {
	on    bool
	meter *fairshare.Meter
	// byAge holds the jobs in the order in which they become aged.
	byAge tree
	// credit is the number of pieces that aged jobs may take now.
	credit float64
	over   overAccounts
}

// overAccounts are the accounts over their share that a Backlog names.
type overAccounts struct {
	version  uint64
	at       time.Time
	accounts map[string]fairshare.Standing
}

func newSharing(on bool) sharing { return sharing{on: on, meter: fairshare.NewMeter()} }

// Ask records that an account asks for a number of pieces, whether they are admitted
// or not. Nothing else tells the queue what an account asks for.
func (q *Queue) Ask(now time.Time, account string, pieces int) {
	if q.fair.on {
		q.fair.meter.Ask(now, account, time.Duration(pieces)*q.pieceWork())
	}
}

// Scarce reports whether the accounts ask for more than the capacity.
func (q *Queue) Scarce() bool { return q.fair.meter.Scarce() }

// Usages returns what accounts use at most, see fairshare.Meter.
func (q *Queue) Usages(now time.Time, limit int) []fairshare.Usage {
	return q.fair.meter.Usages(now, limit)
}

// updateShares recomputes the shares for a capacity in upstreams of normal speed.
func (q *Queue) updateShares(now time.Time, upstreams float64) {
	if q.fair.on {
		queued := upstreams > 0 && q.wait(q.waiting, upstreams) > q.lanes.callTime
		q.fair.meter.Update(now, upstreams, queued)
	}
}

// over returns the accounts that ask for more than their share, none if nothing is scarce.
// The caller must not modify the map.
func (q *Queue) over(now time.Time) map[string]fairshare.Standing {
	if !q.fair.on || !q.fair.meter.Scarce() {
		return nil
	}
	o := &q.fair.over
	if age := now.Sub(o.at); !q.demand.used || o.version != q.fair.meter.Version() || age < 0 || age > overTTL {
		*o = overAccounts{version: q.fair.meter.Version(), at: now, accounts: q.fair.meter.Over(maxReported)}
	}
	return o.accounts
}

// overWaits returns the delays of the accounts that ask for more than their share. total is
// the delay behind all jobs.
func (q *Queue) overWaits(over map[string]fairshare.Standing, total time.Duration, upstreams float64) map[string]AccountWait {
	if over == nil {
		return nil
	}
	out := make(map[string]AccountWait, len(over))
	waiting, piece := q.wait(q.lanes.onTimePieces()+q.demand.pieces, upstreams), q.wait(1, upstreams)
	for account, standing := range over {
		own, pieceWork := time.Duration(q.lanes.own(account)[onTime]+q.demand.own(account))*q.pieceWork(), q.pieceWork()
		if q.mayFill(standing, waiting) {
			own, pieceWork = 0, 0
		}
		out[account] = AccountWait{
			Standing: standing,
			OnTime:   q.fair.meter.Wait(waiting, own),
			Total:    total,
			Piece:    q.fair.meter.Wait(piece, pieceWork),
		}
	}
	return out
}

// expectedWait returns the expected wait of a job that is not in the queue yet.
func (q *Queue) expectedWait(now time.Time, j *Job, upstreams float64) time.Duration {
	account := q.accountOf(j)
	ahead := q.wait(q.lanes.ahead(now, j, account), upstreams)
	standing := q.fair.meter.Standing(account)
	switch {
	case standing == fairshare.Below:
		return ahead
	case q.mayFill(standing, ahead):
		return q.fair.meter.Wait(ahead, 0)
	}
	waiting := q.lanes.own(account)
	own := waiting[onTime]
	if j.late(now, q.lanes.callTime) {
		own += waiting[late]
	}
	return q.fair.meter.Wait(ahead, time.Duration(own)*q.pieceWork())
}

// mayFill reports whether an account over its share may fill a queue up, because it has not
// had its share yet and the queue is shorter than half a call. Held back by its share then,
// it would leave upstreams without full batches. An account that has had its share would
// take the place of others: it asks most often, and so is the first to see a short queue.
func (q *Queue) mayFill(standing fairshare.Standing, wait time.Duration) bool {
	return standing == fairshare.Unmet && wait <= q.lanes.callTime/2
}

// ageKey returns the key of a job in byAge. A job is aged once it has waited for half of
// the time that its caller gives it.
func ageKey(j *Job) orderKey {
	return keyOf(j.Arrived.Add(j.Deadline.Sub(j.Arrived)/2), j.seq)
}

func (s *sharing) insert(j *Job) {
	if s.on {
		s.byAge.insert(ageKey(j), j)
	}
}

func (s *sharing) remove(j *Job) {
	if s.on {
		s.byAge.remove(ageKey(j))
	}
}

func (s *sharing) use(now time.Time, account string, work time.Duration) {
	if s.on {
		s.meter.Use(now, account, work)
	}
}

// earn adds the credit for pieces that have been dispatched. What nobody used does not
// add up beyond a piece, so that aged jobs never fill a batch.
func (s *sharing) earn(pieces int) {
	if s.on {
		s.credit = min(s.credit+agedShare*float64(pieces), 1+agedShare*float64(pieces))
	}
}

// aged offers the jobs that are aged, the longest aged first, to take, which returns how
// many pieces it took, at most limit.
func (s *sharing) aged(now time.Time, take func(j *Job, limit int) int) {
	if !s.on || !s.meter.Scarce() {
		return
	}
	for n := s.byAge.first; n != nil && s.credit >= 1 && n.key.at <= now.UnixNano(); {
		key := n.key
		s.credit -= float64(take(n.job, int(s.credit)))
		n = s.byAge.after(key)
	}
}
