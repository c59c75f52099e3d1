package capacity

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// paceSteps is the number of steps in which a record holds a doubling of the pace.
	paceSteps = 16
	// weightSteps is the number of steps in which a record holds a weight of 1.
	weightSteps = 4
	// maxRecordWeight bounds the weight in a record.
	maxRecordWeight = 64
)

// Record is what an entry tells another of one upstream.
type Record struct {
	// Upstream is the hash of the ID of the upstream.
	Upstream uint32
	// Pace is the binary logarithm of the pace in steps of 1/16.
	Pace int32
	// Weight is the number of observations in a report, and the weight of the pace in steps
	// of a quarter in news.
	Weight uint32
}

// newRecord returns a record of the natural logarithm of a pace.
func newRecord(hash uint32, logPace float64, weight uint32) Record {
	steps := math.Round(clamp(logPace, math.Log(maxPace)) / math.Ln2 * paceSteps)
	return Record{Upstream: hash, Pace: int32(steps), Weight: min(weight, maxRecordWeight)}
}

// logPace returns the natural logarithm of the pace, within bounds whatever was received.
func (r Record) logPace() float64 {
	return clamp(float64(r.Pace)/paceSteps*math.Ln2, math.Log(maxPace))
}

// hashOf returns the hash of the ID of an upstream in records.
func hashOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32()
}

// pooledPace is the logarithm of a pace that rests on the observations of several entries,
// and its weight as of a time.
type pooledPace struct {
	pace, evidence float64
	at             time.Time
}

// weight returns the weight of the pooled pace relative to own observations.
func (p pooledPace) weight(now time.Time) float64 {
	return pooledFactor * decayed(p.evidence, now.Sub(p.at))
}

// estimate returns the logarithm of the pace if nothing else is known.
func (p pooledPace) estimate(now time.Time) float64 {
	w := p.weight(now)
	return p.pace * w / (w + typicalEvidence)
}

// pooledRetention is how long a pooled pace is kept that is not renewed.
const pooledRetention = 10 * evidenceHalfLife

// deadZone is the logarithm of a pace, about 1.35, by which pooled paces count as closer to
// the typical one. Entries see small differences by themselves and each a little otherwise.
// If they shared them, all would turn to the same upstreams at once: near the capacity of a
// service, that served fewer callers in time than no pooling.
const deadZone = 0.3

// maxPooled bounds the number of pooled paces of a service.
const maxPooled = 4096

// Services returns the services of which anything was observed, in order.
func (m *Model) Services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name, s := range m.services {
		if s.line.HasSamples() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns at most limit records of what was observed since the last reports, of the
// upstreams first whose last report is oldest. The choice does not depend on the paces, so
// that the pooled ones are not biased.
func (m *Model) Report(now time.Time, service string, limit int) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return nil
	}
	var due []*upstream
	for _, u := range s.upstreams {
		if len(u.unreported) > 0 {
			due = append(due, u)
		}
	}
	slices.SortFunc(due, func(a, b *upstream) int { return a.reportedAt.Compare(b.reportedAt) })
	var out []Record
	for _, u := range due[:min(limit, len(due))] {
		out = append(out, newRecord(u.hash, median(u.unreported), uint32(len(u.unreported))))
		u.unreported, u.reportedAt = u.unreported[:0], now
	}
	return out
}

// Apply applies pooled paces that were received from the pooling entry.
func (m *Model) Apply(now time.Time, service string, records []Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	for hash, p := range s.pooled {
		if now.Sub(p.at) > pooledRetention {
			delete(s.pooled, hash)
		}
	}
	for _, r := range records {
		if _, known := s.pooled[r.Upstream]; known || len(s.pooled) < maxPooled {
			s.pooled[r.Upstream] = r.pooled(now)
		}
	}
}

// pooled returns the pooled pace that a record of news holds.
func (r Record) pooled(now time.Time) pooledPace {
	pace := r.logPace()
	pace -= clamp(pace, deadZone)
	return pooledPace{pace: pace, evidence: float64(min(r.Weight, maxRecordWeight)) / weightSteps, at: now}
}
