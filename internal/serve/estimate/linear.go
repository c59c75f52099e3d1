package estimate

const (
	// decay is the factor by which each new sample reduces the weight of older ones.
	decay = 0.998
	// minWeight is the total weight of samples below which the prediction is their
	// mean.
	minWeight = 8
	// minSpread is the minimum variation of the sizes for which a slope is
	// computed, as a share of the sum of their squares.
	minSpread = 1e-3
)

// LinearModel predicts a time from a size by weighted least-squares regression.
// The zero LinearModel predicts 0. It is immutable.
type LinearModel struct {
	// w is the total weight of the samples. x, y, xx and xy are the weighted sums
	// of the sizes, the times, the squared sizes and the products of size and
	// time. maxSize is the largest size.
	w, x, y, xx, xy, maxSize float64
}

// WithSample returns the model with a sample added and the weight of older samples
// reduced. us is the measured time in microseconds.
func (m LinearModel) WithSample(size, us float64) LinearModel {
	return LinearModel{
		w:  m.w*decay + 1,
		x:  m.x*decay + size,
		y:  m.y*decay + us,
		xx: m.xx*decay + size*size,
		xy: m.xy*decay + size*us,

		maxSize: max(m.maxSize, size),
	}
}

// maxExtrapolation limits extrapolation: sizes up to this multiple of the largest
// sampled size are in range.
const maxExtrapolation = 4

// InRange reports whether the samples cover sizes close enough to the given one
// for its prediction to be used.
func (m LinearModel) InRange(size float64) bool { return m.w > 0 && size <= maxExtrapolation*m.maxSize }

// HasSamples reports whether the model has any samples.
func (m LinearModel) HasSamples() bool { return m.w > 0 }

// Predict returns the expected time in microseconds for a size. If the samples
// are few or of one size, it is their mean. Such a prediction may be too low,
// which the next call corrects; one that is too high could cause the very calls
// to be refused that would correct it.
func (m LinearModel) Predict(size float64) float64 {
	if m.w == 0 {
		return 0
	}
	mean := m.y / m.w
	spread := m.xx - m.x*m.x/m.w
	if m.w < minWeight || spread < minSpread*(m.xx+1) {
		return mean
	}
	slope := (m.xy - m.x*m.y/m.w) / spread
	if slope < 0 {
		return mean
	}
	intercept := mean - slope*m.x/m.w
	return max(intercept+slope*size, mean/100)
}

// Quantile estimates a quantile of a series by stochastic approximation, in small
// steps. The zero value starts at the first sample. It is immutable.
type Quantile struct{ value float64 }

// quantileStep scales the step of a Quantile with each sample, as a share of the
// estimate.
const quantileStep = 0.02

// WithSample returns the estimate of the quantile p after a sample v.
func (q Quantile) WithSample(p, v float64) Quantile {
	if q.value == 0 {
		return Quantile{value: v}
	}
	delta := q.value * quantileStep
	if v > q.value {
		return Quantile{value: q.value + delta*p}
	}
	return Quantile{value: q.value - delta*(1-p)}
}

// Value returns the current estimate, 0 before the first sample.
func (q Quantile) Value() float64 { return q.value }
