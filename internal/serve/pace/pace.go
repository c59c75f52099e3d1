package pace

import "time"

const (
	// margin is the multiple of the expected time that must be left for a
	// request to count as on time.
	margin = 1.1
	// marginRank is added to it for each rank of less urgent requests.
	marginRank = 0.1
	// calm is the wait in all queues up to which late requests begin.
	calm = 150 * time.Millisecond
	// holdFor is the time after which a held request is decided on again.
	holdFor = 80 * time.Millisecond
)

// Request is what decides about one request.
type Request struct {
	// Work is the expected time of its stages and the upstream without any
	// wait, on the longest way through them.
	Work time.Duration
	// Wait is the expected wait in the queues on that way while the request is
	// on time, Last the wait behind all others, as late ones have it.
	Wait, Last time.Duration
	// Objective is the time until the answer is late, negative where it is.
	Objective time.Duration
	// Patience is the time until the caller gives up.
	Patience time.Duration
	// Rank is the priority among requests that queue together, 0 first.
	Rank int
}

// Decision is what becomes of a request: Begin, Hold or Refuse.
type Decision interface{ isDecision() }

// Begin starts the work.
type Begin struct{}

// Hold decides again later.
type Hold struct{ For time.Duration }

// Refuse tells the caller to come back.
type Refuse struct{ Retry time.Duration }

func (Begin) isDecision()  {}
func (Hold) isDecision()   {}
func (Refuse) isDecision() {}

// Decide decides about a request.
func Decide(r Request) Decision {
	need := time.Duration(float64(r.Work+r.Wait) * (margin + marginRank*float64(max(0, r.Rank))))
	if need <= r.Objective || r.Last <= calm && r.Work+r.Last <= r.Patience {
		return Begin{}
	}
	if r.Work+r.Last > r.Patience {
		return Refuse{Retry: r.Last}
	}
	return Hold{For: holdFor}
}
