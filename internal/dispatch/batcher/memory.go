package batcher

import "time"

const (
	// fillShare is the share of an upstream's result memory that is filled.
	// Result sizes in the configuration are approximate.
	fillShare = 0.92
	// shortageFillShare replaces fillShare for shortageDuration after an upstream ran out
	// of memory that the results of this owner fill: they are larger than configured.
	shortageFillShare = 0.5
	shortageDuration  = 1500 * time.Millisecond
	// minForeignShare is the share of the memory that an upstream must lack beyond the
	// results of this owner to count as taken by those of another one.
	minForeignShare = 0.5
)

// resultMemory tracks the memory for results at one upstream.
type resultMemory struct {
	// reserved is the memory for the results of calls in progress.
	reserved int64
	held     map[string]heldResult
	// shortageAt is when the upstream last ran out of memory.
	shortageAt time.Time
	// foreign is the memory that results of other owners took then. These expire within
	// foreignTTL.
	foreign    int64
	foreignTTL time.Duration
}

// available returns how much of an upstream's memory of total bytes may still
// be filled.
func (m *resultMemory) available(now time.Time, total int64) int64 {
	share, foreign := fillShare, m.foreignAt(now)
	if m.foreign == 0 && now.Sub(m.shortageAt) < shortageDuration {
		share = shortageFillShare
	}
	return int64(share*float64(total)) - m.used(now) - foreign
}

// recordShortage notes that the upstream has no memory left. If the results of this owner
// take a small part of it, the rest is taken by those of another one, such as the owner
// before. They expire one after the other within ttl.
func (m *resultMemory) recordShortage(now time.Time, total int64, ttl time.Duration) {
	m.shortageAt, m.foreign, m.foreignTTL = now, total-m.used(now), ttl
	if m.foreign < int64(minForeignShare*float64(total)) {
		m.foreign = 0
	}
}

// foreignAt returns the memory that results of other owners are expected to take.
func (m *resultMemory) foreignAt(now time.Time) int64 {
	left := m.foreignTTL - now.Sub(m.shortageAt)
	if left <= 0 {
		return 0
	}
	return int64(float64(m.foreign) * left.Seconds() / m.foreignTTL.Seconds())
}

// short reports whether results of other owners are expected to take more than the part of
// the memory that is left free.
func (m *resultMemory) short(now time.Time, total int64) bool {
	return m.foreignAt(now) > total-int64(fillShare*float64(total))
}

// heldResult is one result that an upstream holds.
type heldResult struct {
	bytes int64
	// expires is when the upstream drops it unless it is released before.
	expires time.Time
}

// used returns the memory in use, and drops expired results.
func (m *resultMemory) used(now time.Time) int64 {
	total := m.reserved
	for handle, result := range m.held {
		if now.After(result.expires) {
			delete(m.held, handle)
			continue
		}
		total += result.bytes
	}
	return total
}

// add records a result that the upstream holds now.
func (m *resultMemory) add(handle string, result heldResult) {
	if m.held == nil {
		m.held = make(map[string]heldResult)
	}
	m.held[handle] = result
}

// remove drops released results.
func (m *resultMemory) remove(handles []string) {
	for _, h := range handles {
		delete(m.held, h)
	}
}
