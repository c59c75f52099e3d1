package capacity

import "math"

const (
	// growthPoints is the number of loads at which growth is learned: the powers of two
	// from 1 to 128.
	growthPoints = 8
	// growthDecay reduces the weight of earlier observations with each new one, so that a
	// point follows about the last 50.
	growthDecay = 0.98
	// growthPriorWeight is the weight of the prior growth, in observations.
	growthPriorWeight = 4
	// deviationPriorWeight is the weight of the service's growth against the deviation of
	// one upstream, in observations.
	deviationPriorWeight = 6
	// maxDeviation bounds the logarithm of the deviation.
	maxDeviation = 0.7
)

// curve holds averages of a logarithm at loads of powers of two.
type curve struct{ sum, weight [growthPoints]float64 }

// position returns the two points next to a load and the weight of the upper one.
func position(load float64) (lower int, upperWeight float64) {
	x := min(math.Log2(max(1, load)), growthPoints-1)
	lower = min(int(x), growthPoints-2)
	return lower, x - float64(lower)
}

// add records an observation at a load.
func (c *curve) add(load, value float64) {
	lower, share := position(load)
	for i, w := range [2]float64{1 - share, share} {
		if w < 0.1 {
			continue
		}
		k := lower + i
		keep := 1 - (1-growthDecay)*w
		c.sum[k] = c.sum[k]*keep + value*w
		c.weight[k] = c.weight[k]*keep + w
	}
}

// priorGrowth returns the logarithm of the growth at a point before anything is known: an
// upstream keeps its pace up to its slots, and shares its speed beyond.
func priorGrowth(point int, logSlots float64) float64 {
	return max(0, float64(point)*math.Ln2-logSlots)
}

// growth returns the logarithm of the growth at a load. Points without observations
// continue from the nearest lower point with observations as the prior does, or from the
// nearest higher one.
func (c *curve) growth(load, slots float64) float64 {
	logSlots := math.Log(max(1, slots))
	lower, share := position(load)
	value := c.growthAt(lower, logSlots)*(1-share) + c.growthAt(lower+1, logSlots)*share
	if beyond := load / (1 << (growthPoints - 1)); beyond > 1 {
		value += math.Log(beyond)
	}
	return value
}

func (c *curve) growthAt(point int, logSlots float64) float64 {
	prior := priorGrowth(point, logSlots)
	base := prior
	if k := c.nearestObserved(point); k >= 0 && k != point {
		base = c.sum[k]/c.weight[k] + prior - priorGrowth(k, logSlots)
	}
	return (c.sum[point] + growthPriorWeight*base) / (c.weight[point] + growthPriorWeight)
}

// nearestObserved returns the nearest point at or below the given one that has
// observations, or else the nearest above it, -1 if there is none.
func (c *curve) nearestObserved(point int) int {
	for k := point; k >= 0; k-- {
		if c.weight[k] >= 1 {
			return k
		}
	}
	for k := point + 1; k < growthPoints; k++ {
		if c.weight[k] >= 1 {
			return k
		}
	}
	return -1
}

// deviation returns the logarithm of the deviation at a load relative to the average over
// the loads that were observed. It is 0 where little is known: what an upstream has at all
// loads is its pace.
func (c *curve) deviation(load float64) float64 {
	sum, weight := 0.0, 0.0
	for k := range growthPoints {
		sum += c.sum[k]
		weight += c.weight[k]
	}
	if weight == 0 {
		return 0
	}
	average := sum / weight
	lower, share := position(load)
	at := func(k int) float64 {
		return (c.sum[k] - average*c.weight[k]) / (c.weight[k] + deviationPriorWeight)
	}
	return clamp(at(lower)*(1-share)+at(lower+1)*share, maxDeviation)
}
