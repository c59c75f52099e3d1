package capacity

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// changeThreshold is the change of the logarithm of a pace from which entries are told:
	// a sixth, which moves few requests.
	changeThreshold = 0.15
	// maxObservations is the number of observations of one upstream that count in a report,
	// so that one entry does not decide alone.
	maxObservations = 3
	// entryRetention is how long it is remembered what an entry was told.
	entryRetention = time.Minute
)

// The size of an exchange of a report and news.
const (
	// exchangeBytes is the size that an exchange is to have at most, with the heads of both
	// messages.
	exchangeBytes = 250
	// MaxReportRecords and MaxNewsRecords are the numbers of records in the messages. A
	// record has about 6 bytes, the heads of both messages together about 110.
	MaxReportRecords = 14
	MaxNewsRecords   = 8
	// poolBytesPerSecond is what a process may send and receive as a pooling entry, and
	// reportBytesPerSecond what it may for its own reports. Together with the heartbeats of
	// the links they stay below 8 kB, which leaves links of 7.5 Mbit/s to the callers.
	poolBytesPerSecond   = 5000
	reportBytesPerSecond = 1500
	// minInterval is the shortest time between two reports of a service, maxInterval the
	// longest.
	minInterval = time.Second
	maxInterval = 10 * time.Second
)

// PoolInterval returns the time between two reports of an entry, given the number of
// streams on which the pooling entry receives reports.
func PoolInterval(streams int) time.Duration {
	return interval(streams, poolBytesPerSecond)
}

// ReportInterval returns the shortest time between two reports on the same service, given
// the number of services that an entry reports on.
func ReportInterval(services int) time.Duration {
	return interval(services, reportBytesPerSecond)
}

func interval(exchanges, bytesPerSecond int) time.Duration {
	needed := time.Duration(exchanges*exchangeBytes) * time.Second / time.Duration(bytesPerSecond)
	return min(maxInterval, max(minInterval, needed))
}

// Pool merges the reports of entries into paces of the upstreams. It is safe for
// concurrent use.
type Pool struct {
	mu       sync.Mutex
	services map[string]*pooledService
}

// pooledService holds the reports on the upstreams of one service.
type pooledService struct {
	upstreams map[uint32]*paceWindows
	// told is what each entry was told last, by its name.
	told map[string]*toldEntry
	// median is the logarithm of the median pace as of medianAt.
	median   float64
	medianAt time.Time
}

// toldEntry is what an entry was told last.
type toldEntry struct {
	at    time.Time
	paces map[uint32]pooledPace
}

// NewPool returns a Pool without reports.
func NewPool() *Pool { return &Pool{services: make(map[string]*pooledService)} }

// Add adds the report of an entry, and returns at most limit records of the paces that
// have changed most since the entry was told of them.
func (p *Pool) Add(now time.Time, service, entry string, records []Record, limit int) []Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		s = &pooledService{upstreams: make(map[uint32]*paceWindows), told: make(map[string]*toldEntry)}
		p.services[service] = s
	}
	for _, r := range records {
		s.add(now, r)
	}
	return s.changes(now, entry, limit)
}

// Forget forgets what an entry was told, as it may have lost that.
func (p *Pool) Forget(service, entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.services[service]; s != nil {
		delete(s.told, entry)
	}
}

func (s *pooledService) add(now time.Time, r Record) {
	w := s.upstreams[r.Upstream]
	if w == nil {
		if len(s.upstreams) >= maxPooled {
			return
		}
		w = &paceWindows{}
		s.upstreams[r.Upstream] = w
	}
	for range min(r.Weight, maxObservations) {
		w.add(now, r.logPace())
	}
}

// change is a pace that an entry is to be told, and how much it differs from what the entry
// believes.
type change struct {
	record     Record
	difference float64
}

// changes returns the records that an entry is to be told.
func (s *pooledService) changes(now time.Time, entry string, limit int) []Record {
	s.expire(now)
	told := s.told[entry]
	if told == nil {
		told = &toldEntry{paces: make(map[uint32]pooledPace)}
		s.told[entry] = told
	}
	told.at = now
	typical := s.medianPace(now)
	var all []change
	for hash, w := range s.upstreams {
		r := newRecord(hash, w.value-typical, uint32(math.Round(w.weight(now)*weightSteps)))
		difference := math.Abs(r.pooled(now).estimate(now) - told.paces[hash].estimate(now))
		if difference >= changeThreshold {
			all = append(all, change{r, difference})
		}
	}
	slices.SortFunc(all, func(a, b change) int {
		return cmp.Or(cmp.Compare(b.difference, a.difference), cmp.Compare(a.record.Upstream, b.record.Upstream))
	})
	var out []Record
	for _, c := range all[:min(limit, len(all))] {
		told.paces[c.record.Upstream] = c.record.pooled(now)
		out = append(out, c.record)
	}
	return out
}

// medianPace returns the logarithm of the median pace of the upstreams with recent reports.
func (s *pooledService) medianPace(now time.Time) float64 {
	if !s.medianAt.IsZero() && now.Sub(s.medianAt) < medianInterval {
		return s.median
	}
	var values []float64
	for _, w := range s.upstreams {
		if w.weight(now) >= typicalEvidence {
			values = append(values, w.value)
		}
	}
	s.median, s.medianAt = 0, now
	if len(values) > 0 {
		s.median = median(values)
	}
	return s.median
}

// expire drops upstreams and entries that have not been heard of for long.
func (s *pooledService) expire(now time.Time) {
	for hash, w := range s.upstreams {
		if now.Sub(w.lastAt) > pooledRetention {
			delete(s.upstreams, hash)
		}
	}
	for name, t := range s.told {
		if now.Sub(t.at) > entryRetention {
			delete(s.told, name)
		}
	}
}
