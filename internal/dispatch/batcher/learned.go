package batcher

import (
	"math"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
)

const (
	// minScale and maxScale bound the learned duration of a call as a multiple of the
	// configured one, so that a few odd calls neither refuse all jobs nor accept any.
	minScale = 0.5
	maxScale = 4
	// minFactor and maxFactor bound the learned time of a call at one upstream as a multiple
	// of the expected one.
	minFactor = 0.25
	maxFactor = 50
	// factorTTL is how long a factor is kept, because each dispatch needs those of all
	// upstreams several times. Paces follow changes within seconds.
	factorTTL = 50 * time.Millisecond
)

// callsOf returns the name under which the model holds the calls of a service, whose work
// is counted in pieces. Whole requests to the same service are held under its own name.
func callsOf(service string) string { return service + "/calls" }

// scaleSteps is the number of steps between a scale of 1 and 2. Each change of the scale
// makes the queue order all its jobs anew.
const scaleSteps = 8

// scaled returns a configuration with the learned duration of a call, the configured one
// if nothing is learned.
func (o *Owner) scaled(now time.Time, service string, cfg batching.Config) batching.Config {
	if o.cfg.Model == nil {
		return cfg
	}
	typical, known := o.cfg.Model.Typical(now, callsOf(service), typicalPieces(cfg))
	if !known || cfg.TypicalDuration() <= 0 {
		return cfg
	}
	scale := min(maxScale, max(minScale, typical.Seconds()/cfg.TypicalDuration().Seconds()))
	scale = math.Round(scale*scaleSteps) / scaleSteps
	cfg.CallOverhead = time.Duration(scale * float64(cfg.CallOverhead))
	cfg.PieceTime = time.Duration(scale * float64(cfg.PieceTime))
	return cfg
}

// typicalPieces returns the number of pieces of a call that takes the typical duration.
func typicalPieces(cfg batching.Config) float64 {
	if cfg.PieceTime <= 0 {
		return float64(cfg.MaxBatch)
	}
	return float64(cfg.TypicalDuration()-cfg.CallOverhead) / float64(cfg.PieceTime)
}

// factor returns the time of a call at an upstream as a multiple of the expected duration.
// The caller holds mu.
func (d *dispatcher) factor(now time.Time, id string) float64 {
	m := d.owner.cfg.Model
	if m == nil {
		return d.upstream(id).slowness.factor(now)
	}
	s := d.upstream(id)
	if age := now.Sub(s.learnedAt); age >= 0 && age < factorTTL {
		return s.learned
	}
	s.learned, s.learnedAt = 1, now
	p, known := m.Predict(now, d.query(id, typicalPieces(d.cfg)))
	if expected := d.cfg.TypicalDuration(); known && expected > 0 {
		s.learned = min(maxFactor, max(minFactor, p.Took.Seconds()/expected.Seconds()))
	}
	return s.learned
}

// query returns the query for a call with a number of pieces. An upstream gets one call at
// a time.
func (d *dispatcher) query(id string, pieces float64) capacity.Query {
	return capacity.Query{Service: callsOf(d.shard.service), Upstream: id, Work: pieces, Load: 1, Slots: 1}
}

// observeCall records a call that took as long as it did. The model learns nothing from a
// call of which pieces were not run, as it was short. The caller holds mu.
func (d *dispatcher) observeCall(now time.Time, id string, outputs []Output, took, expected time.Duration) {
	m := d.owner.cfg.Model
	if m == nil {
		d.upstream(id).slowness.observe(now, float64(took)/float64(expected))
		return
	}
	if !slices.ContainsFunc(outputs, func(o Output) bool { return o.Reason != ReasonNone }) {
		m.Observe(now, capacity.Observation{Query: d.query(id, float64(len(outputs))), Took: took})
	}
}

// observeTimeout records a call that was given up after a time. The caller holds mu.
func (d *dispatcher) observeTimeout(now time.Time, id string, pieces int, took, expected time.Duration) {
	if m := d.owner.cfg.Model; m != nil {
		m.Observe(now, capacity.Observation{Query: d.query(id, float64(pieces)), Took: took, AtLeast: true})
		return
	}
	d.upstream(id).slowness.observeTimeout(now, float64(took)/float64(expected))
}
