package batcher

import (
	"testing"
	"time"
)

// Guards against calls whose pieces find no room because results of a lost owner, which this
// one does not know, fill an upstream until they expire.
func TestShortageShowsResultsOfOtherOwners(t *testing.T) {
	const total, ttl = 1000, 4 * time.Second
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var m resultMemory
	m.add("own", heldResult{bytes: 100, expires: at(time.Hour)})
	if got, want := m.available(now, total), int64(920-100); got != want {
		t.Fatalf("available before the shortage: %d, want %d", got, want)
	}
	m.recordShortage(now, total, ttl)
	for _, tt := range []struct {
		after time.Duration
		want  int64
		short bool
	}{
		{0, 920 - 100 - 900, true},
		{ttl / 2, 920 - 100 - 450, true},
		{ttl * 95 / 100, 920 - 100 - 45, false},
		{ttl, 920 - 100, false},
	} {
		if got := m.available(at(tt.after), total); got != tt.want {
			t.Errorf("available %v after the shortage: %d, want %d", tt.after, got, tt.want)
		}
		if got := m.short(at(tt.after), total); got != tt.short {
			t.Errorf("short of memory after %v: %v, want %v", tt.after, got, tt.short)
		}
	}
}

// Guards against the results of this owner, which are larger than configured, being taken for
// those of another one, which stay for their whole lifetime: the memory would be used less.
func TestOwnResultsAreNoForeignOnes(t *testing.T) {
	const total = 1000
	now := time.Now()
	at := func(d time.Duration) time.Time { return now.Add(d) }
	var m resultMemory
	for _, handle := range []string{"a", "b"} {
		m.add(handle, heldResult{bytes: 400, expires: at(time.Hour)})
	}
	m.recordShortage(now, total, 4*time.Second)
	m.remove([]string{"a"})
	if got, want := m.available(now, total), int64(500-400); got != want {
		t.Errorf("available after a release: %d, want %d", got, want)
	}
	if got, want := m.available(at(shortageDuration), total), int64(920-400); got != want {
		t.Errorf("available after the shortage: %d, want %d", got, want)
	}
	if m.short(now, total) {
		t.Error("results of other owners are expected, want none")
	}
}
