package pace

import "time"

const (
	// onTimeMargin is the multiple of the expected time that must remain until
	// the objective for a request to count as on time.
	onTimeMargin = 1.1
	// marginPerRank is added to onTimeMargin for each rank of lower priority.
	marginPerRank = 0.1
	// shortWait is the total wait in the queues up to which late requests start.
	shortWait = 150 * time.Millisecond
	// recheckInterval is the time after which to decide again on a held request.
	recheckInterval = 80 * time.Millisecond
)

// Request holds the facts that the decision on a request depends on.
type Request struct {
	// Work is the expected time of the stages and the upstream without any
	// queueing, along the critical path.
	Work time.Duration
	// Wait is the expected wait in the queues along that path for a request on
	// time, TotalWait the wait behind all other requests, as for a late one.
	Wait, TotalWait time.Duration
	// UntilObjective is the time until the response counts as late; negative if
	// it is late already.
	UntilObjective time.Duration
	// UntilDeadline is the time until the caller gives up.
	UntilDeadline time.Duration
	// Rank is the priority among requests in the same queue; 0 is the most
	// urgent.
	Rank int
	// Returned is set for a caller that was refused before and has come back on time. It
	// starts without the margins that newcomers need, at queues that keep them out.
	Returned bool
}

// Decision is the result of Decide: Start, Hold or Refuse.
type Decision interface{ isDecision() }

// Start starts the work.
type Start struct{}

// Hold keeps the request waiting; decide again after For.
type Hold struct{ For time.Duration }

// Refuse rejects the request; the caller may retry after RetryAfter.
type Refuse struct{ RetryAfter time.Duration }

func (Start) isDecision()  {}
func (Hold) isDecision()   {}
func (Refuse) isDecision() {}

// Decide decides whether a request starts now, is held or is refused.
func Decide(r Request) Decision {
	need := time.Duration(float64(r.Work+r.Wait) * margin(r.Rank, r.Returned))
	if need <= r.UntilObjective || r.TotalWait <= shortWait && r.Work+r.TotalWait <= r.UntilDeadline {
		return Start{}
	}
	if r.Work+r.TotalWait > r.UntilDeadline {
		return Refuse{RetryAfter: r.TotalWait}
	}
	return Hold{For: recheckInterval}
}

// margin returns the multiple of the expected time that must remain until the objective.
func margin(rank int, returned bool) float64 {
	if returned {
		return 1
	}
	return onTimeMargin + marginPerRank*float64(max(0, rank))
}
