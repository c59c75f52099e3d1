package estimate

import (
	"math"
	"math/rand/v2"
	"testing"
)

func TestLineFindsBaseAndSlope(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	l := Line{}
	for range 500 {
		size := float64(5 + rnd.IntN(100))
		l = l.WithSample(size, 10_000+2000*size+500*rnd.NormFloat64())
	}
	for _, size := range []float64{10, 60, 1000} {
		got, want := l.Predict(size), 10_000+2000*size
		if math.Abs(got-want) > 0.05*want {
			t.Errorf("size %.0f: %.0f us, want %.0f within 5%%", size, got, want)
		}
	}
}

// Samples of one size say nothing of others. A prediction in proportion would
// refuse large work for good, as no large work would ever be measured.
func TestOneSizeDoesNotRefuseAnother(t *testing.T) {
	l := Line{}
	for range 300 {
		l = l.WithSample(1, 12_000)
	}
	if l.Knows(3000) {
		t.Error("a size 3000 times the largest seen counts as known")
	}
	if got, most := l.Predict(3000), 24_000.0; got > most {
		t.Errorf("%.0f us from samples of one size, want at most %.0f", got, most)
	}
}

func TestQuantileFollows(t *testing.T) {
	rnd := rand.New(rand.NewPCG(2, 2))
	q := Quantile{}
	for range 5000 {
		q = q.WithSample(0.95, 1+rnd.Float64())
	}
	if got := q.Value(); got < 1.85 || got > 2.05 {
		t.Errorf("0.95 quantile of 1 to 2 is %.2f, want about 1.95", got)
	}
}
