package batcher

import (
	"errors"
	"math"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

// usable returns the upstreams that may be called and are neither silent nor in backoff,
// or all that may be called if none qualifies.
func (d *dispatcher) usable(now time.Time) []catalog.Upstream {
	all, _ := d.owner.cfg.Rules.Filter(now, d.shard.includes(d.owner.cfg.Upstreams(d.shard.service)))
	var out []catalog.Upstream
	for _, u := range all {
		if !u.Silent && !now.Before(d.upstream(u.ID).backoffUntil) {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// minSlowness returns the slowness of the fastest upstream. The slowness of the
// others is measured relative to it, so that pieces do not wait for a faster
// upstream if all are slow.
func (d *dispatcher) minSlowness(now time.Time, upstreams []catalog.Upstream) float64 {
	lowest := math.Inf(1)
	for _, u := range upstreams {
		lowest = min(lowest, d.factor(now, u.ID))
	}
	return lowest
}

// capacity returns the total speed of the usable upstreams, where an upstream whose
// calls take their expected duration counts as 1. One that may not be called for a while
// counts as if each of its calls took that much longer: a cold upstream, for one, may be
// called again a second after the last call.
func (d *dispatcher) capacity(now time.Time) float64 {
	sum := 0.0
	for _, u := range d.usable(now) {
		sum += 1 / d.factor(now, u.ID)
	}
	call := float64(d.queue.FullDuration())
	for _, u := range d.shard.includes(d.owner.cfg.Upstreams(d.shard.service)) {
		if wait := d.owner.cfg.Rules.Wait(now, u); wait > 0 && wait != eligible.Unknown {
			sum += call / (call*d.factor(now, u.ID) + float64(wait))
		}
	}
	return sum
}

// discoveryTime is how long after the start of the process the upstreams of a service may
// still be unknown. After the loss of all processes, entries have the document some hundred
// milliseconds before control instances accept the announcements of upstreams.
const discoveryTime = 3 * time.Second

// expectedCapacity returns the capacity by which a new job is admitted. While the upstreams
// are not known yet, that is one: the job waits for them instead of being refused.
func (d *dispatcher) expectedCapacity(now time.Time) float64 {
	if now.Sub(d.owner.started) < discoveryTime && len(d.owner.cfg.Upstreams(d.shard.service)) == 0 {
		return 1
	}
	return d.capacity(now)
}

// blocked returns how long none of the upstreams may be called, 0 if one may be called
// or there is none.
func (d *dispatcher) blocked(now time.Time) time.Duration {
	callable, wait := d.owner.cfg.Rules.Filter(now, d.shard.includes(d.owner.cfg.Upstreams(d.shard.service)))
	if len(callable) > 0 {
		return 0
	}
	return wait
}

// fitsAfter reports whether a job that waits for a time before its first call can meet its
// deadline.
func (d *dispatcher) fitsAfter(now time.Time, wait time.Duration, j *batching.Job) bool {
	return wait == 0 || wait != eligible.Unknown && wait <= j.Deadline.Sub(now)-j.Remaining-d.queue.Duration(1)
}

// deferred reports whether a call was not sent because its upstream may not be called now.
// The rules tell when it may be.
func deferred(err error) bool {
	var wait *eligible.WaitError
	var closed *backoff.ClosedError
	return errors.As(err, &wait) || errors.As(err, &closed)
}
