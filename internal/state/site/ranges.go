package site

import (
	"fmt"
	"time"
)

const (
	// maxDuration is the longest duration in a document. A longer one is a wrong unit, and
	// sums of durations must not overflow.
	maxDuration = 24 * time.Hour
	// maxSize is the largest size or count in a document, 2^40.
	maxSize = 1 << 40
	// maxWeight is the largest weight of a service. The sum of the weights must be finite.
	maxWeight = 1e12
)

// ranges checks that all numbers of a document are in the range for which the rest of the
// program is written.
func (v *validator) ranges(d *Document) {
	for _, s := range d.Services {
		v.serviceRanges(s)
	}
	for _, r := range d.Routes {
		v.routeRanges(r)
	}
	v.size("limits", "header size", int64(d.Limits.HeaderBytes))
	v.size("limits", "body size", d.Limits.BodyBytes)
	v.duration("limits", "header timeout", d.Limits.HeaderTimeout)
	v.duration("limits", "idle timeout", d.Limits.IdleTimeout)
}

func (v *validator) serviceRanges(s Service) {
	entry := "service " + s.Name
	v.size(entry, "max connections", int64(s.MaxConnections))
	if e := s.Engine; e != nil {
		v.size(entry, "engine slots", int64(e.Slots))
		v.size(entry, "engine cache tokens", e.KVCacheTokens)
	}
	if b := s.Batching; b != nil {
		v.size(entry, "slots", max(0, int64(b.Slots)))
		v.size(entry, "queue", int64(b.Queue))
		v.size(entry, "batch", max(0, int64(b.MaxBatch)))
		v.duration(entry, "call overhead", b.CallOverhead)
		v.duration(entry, "piece time", b.PieceTime)
		v.size(entry, "result memory", b.ResultMemoryBytes)
		v.duration(entry, "result lifetime", b.ResultTTL)
	}
}

func (v *validator) routeRanges(r Route) {
	entry := "route " + r.Name
	v.duration(entry, "timeout", max(0, r.Timeout))
	v.duration(entry, "objective", r.Objective)
	v.duration(entry, "gap objective", r.GapObjective)
	v.size(entry, "max attempts", int64(r.MaxAttempts))
	for _, s := range r.Split {
		if s.Weight > maxWeight {
			v.add(entry, "weight", fmt.Sprintf("the weight of %s is %v", s.Service, s.Weight), fmt.Sprintf("set it to at most %v", maxWeight))
		}
	}
	for i, s := range r.Stages {
		v.size(fmt.Sprintf("%s, stage %d", entry, i), "result size", s.ResultBytes)
	}
}

func (v *validator) duration(entry, field string, d time.Duration) {
	if d < 0 || d > maxDuration {
		v.add(entry, field, fmt.Sprintf("the %s is %v", field, d), fmt.Sprintf("give one from 0 to %v", maxDuration))
	}
}

func (v *validator) size(entry, field string, n int64) {
	if n < 0 || n > maxSize {
		v.add(entry, field, fmt.Sprintf("the %s is %d", field, n), fmt.Sprintf("give a number from 0 to %d", int64(maxSize)))
	}
}
