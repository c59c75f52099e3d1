package pace

import "time"

// lifetimeShare is the part of the lifetime of a result in which the next stage must be
// expected to fetch it. The rest is for what the prediction does not know: jobs that arrive
// in the later queue meanwhile and go first.
const lifetimeShare = 0.75

// Stage is one stage of a Chain.
type Stage struct {
	// DependsOn are the indices of the stages whose results are the inputs, all lower than
	// that of the stage itself.
	DependsOn []int
	// CallTime is the expected time from the dispatch of the stage to its results, 0 if the
	// stage has no pieces. Its inputs are then those of the stages that depend on it.
	CallTime time.Duration
	// Backlog is the time until its service has worked off what goes before a request on
	// time, TotalBacklog until it has worked off everything.
	Backlog, TotalBacklog time.Duration
	// ResultTTL is how long a result is kept, 0 if it is not known.
	ResultTTL time.Duration
}

// Chain holds the facts that the decision on a request with stages depends on. Backlogs
// include the pieces that admitted requests will still send.
type Chain struct {
	// Stages are in an order in which each comes after those that it depends on.
	Stages []Stage
	// Engine is the expected time from the end of the last stage to the response.
	Engine time.Duration
	// Fetch is the time in which the inputs of a call are fetched.
	Fetch time.Duration
	// UntilObjective, UntilDeadline, Rank and Returned are those of Request.
	UntilObjective, UntilDeadline time.Duration
	Rank                          int
	Returned                      bool
}

// Span is the predicted start and end of a stage, from now.
type Span struct{ Start, End time.Duration }

// Forecast is the predicted course of a chain that starts now.
type Forecast struct {
	// Stages holds the span of each stage. Stages without pieces take no time.
	Stages []Span
	// End is when the response is expected.
	End time.Duration
	// Excess is by how much results would be fetched too late, 0 if none expire.
	Excess time.Duration
	// startAt is when the stage whose results expire would have to start.
	startAt time.Duration
}

// fetch records that a call that starts at a time fetches results with an expiry.
func (f *Forecast) fetch(start time.Duration, e expiry) {
	if excess := start - e.at; e.known && excess > 0 {
		f.Excess = max(f.Excess, excess)
		f.startAt = max(f.startAt, e.start+excess)
	}
}

// expiry is when the first of some results must be fetched, if that is known, and when the
// stage that makes it starts.
type expiry struct {
	known     bool
	at, start time.Duration
}

func (e expiry) first(other expiry) expiry {
	if !e.known || other.known && other.at < e.at {
		return other
	}
	return e
}

// queues selects the backlogs that a forecast counts.
type queues int

const (
	noQueues queues = iota
	// queuesOnTime are those in front of a request on time.
	queuesOnTime
	// queuesLate are those in front of a late request: everything at its first stages. At
	// later ones its jobs have the place of jobs on time, because their inputs expire.
	queuesLate
)

// forecast predicts the course of the chain that starts after a delay: a stage starts when
// its inputs exist and the backlog of its service has been worked off, whichever is later.
func (c Chain) forecast(which queues, delay time.Duration) Forecast {
	f := Forecast{Stages: make([]Span, len(c.Stages)), End: delay}
	expiries, hasDependent := make([]expiry, len(c.Stages)), make([]bool, len(c.Stages))
	for i, s := range c.Stages {
		start := delay
		var inputs expiry
		for _, dep := range s.DependsOn {
			start, inputs = max(start, f.Stages[dep].End), inputs.first(expiries[dep])
			hasDependent[dep] = true
		}
		expiries[i] = inputs
		if s.CallTime > 0 {
			start = max(start, s.backlog(which))
			f.fetch(start+c.Fetch, inputs)
			expiries[i] = s.expiry(start)
		}
		f.Stages[i] = Span{Start: start, End: start + s.CallTime}
		f.End = max(f.End, f.Stages[i].End)
	}
	var final expiry
	for i, e := range expiries {
		if !hasDependent[i] {
			final = final.first(e)
		}
	}
	f.fetch(f.End+c.Fetch, final)
	f.End += c.Engine
	return f
}

func (s Stage) backlog(which queues) time.Duration {
	switch {
	case which == noQueues:
		return 0
	case which == queuesLate && len(s.DependsOn) == 0:
		return s.TotalBacklog
	default:
		return s.Backlog
	}
}

// expiry returns when the results of the stage must be fetched if it starts at a time.
func (s Stage) expiry(start time.Duration) expiry {
	return expiry{known: s.ResultTTL > 0, at: start + s.CallTime + time.Duration(lifetimeShare*float64(s.ResultTTL)), start: start}
}

// Outcome is a Decision with the forecasts that it rests on.
type Outcome struct {
	Decision Decision
	// Work is the time until the response without queues.
	Work time.Duration
	// OnTime is the course of the chain if it goes before late requests, Late if it does not.
	OnTime, Late Forecast
}

// DecideChain decides whether a request with stages starts now, is held or is refused. A
// chain whose results would expire before they are fetched does not start.
func DecideChain(c Chain) Outcome {
	work := c.forecast(noQueues, 0).End
	out := Outcome{Work: work, OnTime: c.forecast(queuesOnTime, 0), Late: c.forecast(queuesLate, 0)}
	behind := out.Late.End - work
	soon := behind <= shortWait && out.Late.End <= c.UntilDeadline
	switch {
	case out.OnTime.Excess == 0 && (soon || c.onTime(out.OnTime.End)):
		out.Decision = Start{}
	case out.Late.End > c.UntilDeadline:
		out.Decision = Refuse{RetryAfter: behind}
	default:
		out.Decision = c.hold(out.OnTime)
	}
	return out
}

// onTime reports whether a response at a time meets the objective with the margin that the
// rank of the request asks for.
func (c Chain) onTime(end time.Duration) bool {
	return time.Duration(float64(end)*margin(c.Rank, c.Returned)) <= c.UntilObjective
}

// hold holds the chain, or refuses it if it cannot be in time any more once no result
// expires.
func (c Chain) hold(f Forecast) Decision {
	// Each round gives the results of one more stage the time that they need.
	for range c.Stages {
		if f.Excess == 0 {
			break
		}
		delay := f.startAt
		if f = c.forecast(queuesOnTime, delay); f.End > c.UntilDeadline {
			return Refuse{RetryAfter: delay}
		}
	}
	return Hold{For: recheckInterval}
}
