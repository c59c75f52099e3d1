package fairshare

import "math"

// Level returns the max-min fair share of each account: the amount l at which the
// demands, each limited to l, add up to the capacity. It is infinite if the capacity
// suffices for all demands.
func Level(demands []float64, capacity float64) float64 {
	level, left, open := 0.0, capacity, len(demands)
	for open > 0 {
		next := left / float64(open)
		if next <= level {
			return level
		}
		// Demands between the old level and the new one are met in full and leave the
		// rest to the others, which raises the level again.
		met := 0
		for _, d := range demands {
			if d > level && d <= next || level == 0 && d <= 0 {
				left -= d
				met++
			}
		}
		if met == 0 {
			return next
		}
		level, open = next, open-met
	}
	return math.Inf(1)
}
