package breaker

import "time"

const (
	// suspectRounds is the number of separate ends that make a breaker half-open.
	suspectRounds = 2
	// togetherEnds is the number of upstreams that make a breaker half-open although
	// they ended together.
	togetherEnds = 3
	// openRounds is the number of separate ends that open the breaker of a segment that
	// no response is known to have begun for, if they are openShare of all ends. It makes
	// a breaker half-open where upstreams respond to no prompt at all.
	openRounds = 3
	openShare  = 0.25
	// certainRounds is the number of separate ends that open any breaker.
	certainRounds = 5
	// sameTime is how far apart upstreams that end together end at most.
	sameTime = 100 * time.Millisecond
)

// upstreamEnd is the end of one start of an upstream.
type upstreamEnd struct {
	at time.Time
	// segments are those that were waited for.
	segments map[string]bool
}

// wait is that requests with a segment waited on an upstream when it ended.
type wait struct {
	end *upstreamEnd
	// sentAt is when the last of the requests was sent.
	sentAt time.Time
}

// streak is a series of ends, in the order of time, at which a segment was waited for
// and between which no response to it began.
type streak []wait

// without returns the ends that none of the blamed segments explains.
func (s streak) without(blamed []*segment) streak {
	if len(blamed) == 0 {
		return s
	}
	var out streak
	for _, w := range s {
		if !w.end.explainedBy(blamed) {
			out = append(out, w)
		}
	}
	return out
}

// until returns the part of the streak up to a time.
func (s streak) until(t time.Time) streak {
	n := 0
	for n < len(s) && !s[n].end.at.After(t) {
		n++
	}
	return s[:n]
}

// separate returns the indexes of the largest number of ends that are separate: the last
// request that waited on an upstream was sent when the end before was over by sameTime.
func (s streak) separate() []int {
	var out []int
	var last time.Time
	for i, w := range s {
		if i == 0 || w.sentAt.Sub(last) > sameTime {
			out = append(out, i)
			last = w.end.at
		}
	}
	return out
}

// suspicious returns the part of the streak up to the separate end that makes a breaker
// half-open, nil if there is none.
func (s streak) suspicious() streak {
	ends := s.separate()
	if len(ends) < suspectRounds {
		return nil
	}
	return s[:ends[suspectRounds-1]+1]
}

// large returns the part of the streak that makes a breaker half-open although the
// upstreams ended together, nil if there is none.
func (s streak) large() streak {
	if len(s) < togetherEnds {
		return nil
	}
	return s[:togetherEnds]
}

// opening returns the part of the streak up to the separate end that opens the breaker of
// a segment, nil if there is none. responded is set if a response to the segment ever
// began, and unexplained are the times of all ends that no open breaker explains.
func (s streak) opening(responded bool, unexplained []time.Time) streak {
	for i, end := range s.separate() {
		rounds, part := i+1, s[:end+1]
		if rounds >= certainRounds || !responded && rounds >= openRounds && part.share(unexplained) >= openShare {
			return part
		}
	}
	return nil
}

// share returns the share of the streak's ends in all unexplained ends of its time.
// Upstreams that end together count once.
func (s streak) share(unexplained []time.Time) float64 {
	first, last := s[0].end.at, s[len(s)-1].end.at
	var own, all []time.Time
	for _, w := range s {
		own = append(own, w.end.at)
	}
	for _, t := range unexplained {
		if !t.Before(first) && !t.After(last) {
			all = append(all, t)
		}
	}
	return float64(moments(own)) / float64(max(1, moments(all)))
}

// moments returns the number of times, given in order, that are not the same as the one
// before.
func moments(times []time.Time) int {
	n := 0
	for i, t := range times {
		if i == 0 || t.Sub(times[i-1]) > sameTime {
			n++
		}
	}
	return n
}
