package estimate

const (
	// keep is the weight that older samples keep at each new one.
	keep = 0.998
	// leastWeight is the weight of samples below which a Line only knows the
	// mean.
	leastWeight = 8
	// leastSpread is the share of the squared sizes that must differ from their
	// mean before a slope is taken from them.
	leastSpread = 1e-3
)

// Line is a weighted least-squares line through samples of size and time. The
// zero Line predicts 0. It is immutable.
type Line struct{ w, x, y, xx, xy, most float64 }

// WithSample returns the Line after a sample; older ones lose weight.
func (l Line) WithSample(size, us float64) Line {
	return Line{
		w:  l.w*keep + 1,
		x:  l.x*keep + size,
		y:  l.y*keep + us,
		xx: l.xx*keep + size*size,
		xy: l.xy*keep + size*us,

		most: max(l.most, size),
	}
}

// farther is how many times the largest size seen a size may be for its
// prediction to count as knowledge.
const farther = 4

// Knows reports whether the prediction for a size rests on samples of like
// sizes.
func (l Line) Knows(size float64) bool { return l.w > 0 && size <= farther*l.most }

// Known reports whether there were any samples.
func (l Line) Known() bool { return l.w > 0 }

// Predict returns the expected time in microseconds for a size. While the
// samples are few or of one size it is their mean: a guess too low is corrected
// by the next call, but one too high could refuse the calls that would correct
// it.
func (l Line) Predict(size float64) float64 {
	if l.w == 0 {
		return 0
	}
	mean := l.y / l.w
	spread := l.xx - l.x*l.x/l.w
	if l.w < leastWeight || spread < leastSpread*(l.xx+1) {
		return mean
	}
	slope := (l.xy - l.x*l.y/l.w) / spread
	if slope < 0 {
		return mean
	}
	base := mean - slope*l.x/l.w
	return max(base+slope*size, mean/100)
}

// Quantile follows a quantile of a series by small steps. The zero value
// starts at the first sample. It is immutable.
type Quantile struct{ value float64 }

// step is the share of the value that a sample moves a Quantile by.
const step = 0.02

// WithSample returns the Quantile p after a sample.
func (q Quantile) WithSample(p, v float64) Quantile {
	if q.value == 0 {
		return Quantile{value: v}
	}
	move := q.value * step
	if v > q.value {
		return Quantile{value: q.value + move*p}
	}
	return Quantile{value: q.value - move*(1-p)}
}

// Value returns the present estimate, 0 before the first sample.
func (q Quantile) Value() float64 { return q.value }
