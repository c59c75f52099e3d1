package gateway

import "sync/atomic"

const (
	// freeHeldBytes is what each answer may hold in any case; more is taken from the
	// memory that all share.
	freeHeldBytes = 16 << 10
	// defaultHeldBytes is the shared memory if Config.HeldBytes is 0.
	defaultHeldBytes = 32 << 20
)

// heldMemory limits what all answers hold together before it can be forwarded, and all
// requests that wait for an upstream. It is safe for concurrent use.
type heldMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes, and reports false if there are not as many left.
func (m *heldMemory) reserve(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// release gives n bytes back.
func (m *heldMemory) release(n int64) { m.used.Add(-n) }

// reservation is the share of one answer. Its zero value holds nothing.
type reservation struct {
	memory *heldMemory
	bytes  int64
}

// resize makes the share large enough for a buffer of n bytes, which may take twice as much
// while it grows. It reports false if there is no room for that.
func (r *reservation) resize(n int) bool {
	want := int64(0)
	if n > freeHeldBytes {
		want = 2 * int64(n)
	}
	if want > r.bytes && !r.memory.reserve(want-r.bytes) {
		return false
	}
	if want < r.bytes {
		r.memory.release(r.bytes - want)
	}
	r.bytes = want
	return true
}
