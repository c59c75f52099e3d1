package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// windowLength is the time over which observations are merged into one value. A
	// disturbance of 600 ms touches at most three windows.
	windowLength = 500 * time.Millisecond
	// windowCount is the number of windows whose values are kept.
	windowCount = 8
	// windowSamples is the number of observations of one window that count.
	windowSamples = 8
	// windowMaxAge is the age from which the value of a window no longer counts once newer
	// observations arrive.
	windowMaxAge = 15 * time.Second
	// windowDecay is the weight of a window relative to that of the next newer one. Four of
	// eight windows in a row decide, which three disturbed ones do not.
	windowDecay = 0.9
	// typicalWeight is the weight of the typical pace beside the windows, which keeps one
	// observation alone from being believed.
	typicalWeight = 0.8
	// evidenceHalfLife is the time in which the weight of the windows halves while nothing
	// is observed.
	evidenceHalfLife = 4 * time.Second
)

// paceWindows estimates the logarithm of a pace by a weighted median over short windows.
// The zero value knows nothing.
type paceWindows struct {
	// samples are the observations of the window that began at since.
	samples []float64
	since   time.Time
	// closed are the medians of earlier windows, the newest first.
	closed []closedWindow
	// value is the estimate and evidence its weight, as of lastAt.
	value, evidence float64
	lastAt          time.Time
}

// closedWindow is a window that has ended.
type closedWindow struct {
	median float64
	at     time.Time
	// count is the number of observations.
	count int
}

// windowWeight is the weight of a window, lower if it has few observations.
func windowWeight(count int) float64 { return float64(count) / float64(count+1) }

// add records an observation of the logarithm of the pace.
func (w *paceWindows) add(now time.Time, logPace float64) {
	if len(w.samples) > 0 && now.Sub(w.since) >= windowLength {
		w.closed = slices.Insert(w.closed, 0, closedWindow{median: median(w.samples), at: w.since, count: len(w.samples)})
		w.samples = w.samples[:0]
	}
	if len(w.samples) == 0 {
		w.since = now
	}
	if len(w.samples) < windowSamples {
		w.samples = append(w.samples, logPace)
	}
	keep := 0
	for keep < min(len(w.closed), windowCount-1) && now.Sub(w.closed[keep].at) < windowMaxAge {
		keep++
	}
	w.closed = w.closed[:keep]
	w.lastAt = now
	w.value, w.evidence = w.estimate(now)
}

// estimate returns the weighted median of the windows, and their total weight, to which old
// ones add less: few and old observations are weak evidence.
func (w *paceWindows) estimate(now time.Time) (value, evidence float64) {
	points := make([]weighted, 0, windowCount+1)
	evidence = windowWeight(len(w.samples))
	next := 1.0
	points = append(points, weighted{median(w.samples), evidence})
	for _, c := range w.closed {
		next *= windowDecay
		weight := next * windowWeight(c.count)
		evidence += decayed(weight, now.Sub(c.at))
		points = append(points, weighted{c.median, weight})
	}
	if len(w.closed) < 3 {
		points = append(points, weighted{0, typicalWeight})
	}
	return weightedMedian(points), evidence
}

// weight returns the weight of the estimate, which halves with evidenceHalfLife.
func (w *paceWindows) weight(now time.Time) float64 { return decayed(w.evidence, now.Sub(w.lastAt)) }

// decayed returns a weight after a time without observations.
func decayed(weight float64, age time.Duration) float64 {
	return weight * math.Exp2(-max(0, age.Seconds())/evidenceHalfLife.Seconds())
}

type weighted struct{ value, weight float64 }

func weightedMedian(points []weighted) float64 {
	slices.SortFunc(points, func(a, b weighted) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	total := 0.0
	for _, p := range points {
		total += p.weight
	}
	sum := 0.0
	for _, p := range points {
		sum += p.weight
		if sum >= total/2 {
			return p.value
		}
	}
	return points[len(points)-1].value
}

// median returns the median of the values, which must not be empty. It does not modify
// them.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
