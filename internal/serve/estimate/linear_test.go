package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestLinearModelFitsInterceptAndSlope(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	m := LinearModel{}
	for range 500 {
		size := float64(5 + rnd.IntN(100))
		m = m.WithSample(size, 10_000+2000*size+500*rnd.NormFloat64())
	}
	for _, size := range []float64{10, 60, 1000} {
		got, want := m.Predict(size), 10_000+2000*size
		if math.Abs(got-want) > 0.05*want {
			t.Errorf("size %.0f: %.0f us, want %.0f within 5%%", size, got, want)
		}
	}
}

// Samples of a single size carry no information about other sizes. A prediction
// in proportion to size would refuse large work permanently, since no large
// work would ever be measured.
func TestSamplesOfOneSizeDoNotRaisePredictions(t *testing.T) {
	m := LinearModel{}
	for range 300 {
		m = m.WithSample(1, 12_000)
	}
	if m.InRange(3000) {
		t.Error("a size 3000 times the largest sampled size is in range")
	}
	if got, most := m.Predict(3000), 24_000.0; got > most {
		t.Errorf("%.0f us from samples of one size, want at most %.0f", got, most)
	}
}

func TestQuantileConverges(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	q := Quantile{}
	for range 5000 {
		q = q.WithSample(0.95, 1+rnd.Float64())
	}
	if got := q.Value(); got < 1.85 || got > 2.05 {
		t.Errorf("0.95 quantile of 1 to 2 is %.2f, want about 1.95", got)
	}
}
