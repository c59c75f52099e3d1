package warmup

import (
	"slices"
	"time"
)

// goneRetention is how long an entry counts after it is no longer listed. It may have
// lost its contact only, and goes on with its share for contactRetention.
const goneRetention = 10 * time.Second

// members are the entries that count for the shares.
type members struct {
	self string
	// names are the listed entries, this one and those that have been gone for less than
	// goneRetention, sorted.
	names  []string
	listed map[string]bool
	// goneAt holds when each entry was first missing that is not listed any more.
	goneAt map[string]time.Duration
	// version changes with names.
	version int
}

func newMembers(self string) members {
	return members{self: self, names: []string{self}, listed: make(map[string]bool), goneAt: make(map[string]time.Duration), version: 1}
}

// update replaces the list of entries.
func (m *members) update(now time.Duration, names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		delete(m.goneAt, name)
	}
	for name := range m.listed {
		if !listed[name] {
			m.goneAt[name] = now
		}
	}
	m.listed = listed
	m.rebuild()
}

// expire removes the entries that have been gone for goneRetention. It is called while
// there is contact with a majority of the control instances: others do not list all
// entries. If that contact was regained just now, the missing entries may have been listed
// until now.
func (m *members) expire(now time.Duration, regained bool) {
	removed := false
	if regained {
		for name := range m.goneAt {
			m.goneAt[name] = now
		}
	}
	for name, at := range m.goneAt {
		if now-at >= goneRetention {
			delete(m.goneAt, name)
			removed = true
		}
	}
	if removed {
		m.rebuild()
	}
}

func (m *members) rebuild() {
	names := make([]string, 0, len(m.listed)+len(m.goneAt)+1)
	for name := range m.listed {
		names = append(names, name)
	}
	for name := range m.goneAt {
		names = append(names, name)
	}
	if !m.listed[m.self] {
		names = append(names, m.self)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if !slices.Equal(names, m.names) {
		m.names = names
		m.version++
	}
}
