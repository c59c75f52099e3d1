package batcher

import "time"

const (
	// fillShare is the share of an upstream's result memory that is filled.
	// Result sizes in the configuration are approximate.
	fillShare = 0.92
	// shortageFillShare replaces fillShare for shortageDuration after an
	// upstream ran out of memory: it then also holds results of a previous
	// owner, which are not accounted for here.
	shortageFillShare = 0.5
	shortageDuration  = 1500 * time.Millisecond
)

// resultMemory tracks the memory for results at one upstream.
type resultMemory struct {
	// reserved is the memory for the results of calls in progress.
	reserved int64
	held     map[string]heldResult
	// shortageUntil is when shortageFillShare stops applying.
	shortageUntil time.Time
}

// available returns how much of an upstream's memory of total bytes may still
// be filled.
func (m *resultMemory) available(now time.Time, total int64) int64 {
	share := fillShare
	if now.Before(m.shortageUntil) {
		share = shortageFillShare
	}
	return int64(share*float64(total)) - m.used(now)
}

// recordShortage notes that the upstream had less memory free than available
// returned.
func (m *resultMemory) recordShortage(now time.Time) { m.shortageUntil = now.Add(shortageDuration) }

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
