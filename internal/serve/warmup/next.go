package warmup

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

// nextSteps is the number of steps into which a window is divided to count the shares
// that become free, so that the cost does not depend on how many wait.
const nextSteps = 64

// Next returns how long after now a share in one of the upstreams, all of one service,
// becomes free for a request that has a number of others ahead of it, each of which takes
// one. It is eligible.Unknown if that is not known, and 0 if a request may be sent now.
func (l *Limiter) Next(now time.Duration, upstreams []Upstream, ahead int) time.Duration {
	var steps [nextSteps]int
	total, first, warm := 0, eligible.Unknown, eligible.Unknown
	length := time.Duration(0)
	for _, u := range upstreams {
		if !l.Limits(u) {
			return 0
		}
		length = rateOf(u.PerSecond).window
		warm = min(warm, l.coldFor(u))
		s := l.state(u.ID)
		share := l.share(u, s)
		last := s.window.last(share)
		steps[0] += share - len(last)
		total += share
		if len(last) < share {
			first = 0
		}
		for _, sent := range last {
			free := max(0, sent+length-now)
			first = min(first, free)
			steps[min(nextSteps-1, int(free*nextSteps/length))]++
		}
	}
	if total == 0 || ahead == 0 {
		return min(first, warm)
	}
	round := time.Duration(ahead/total) * length
	ahead %= total
	for i, n := range steps {
		if ahead < n {
			return min(warm, round+max(first, time.Duration(i+1)*length/nextSteps))
		}
		ahead -= n
	}
	return min(warm, round+length)
}
