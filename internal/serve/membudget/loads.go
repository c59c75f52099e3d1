package membudget

import "sync"

// Loads counts the bytes of requests that each upstream holds from an entry. It is safe for
// concurrent use.
//
// An upstream that holds its equal share of the entry's budget gets no further bodies. Since
// all bodies together stay within the budget, one upstream is always below its share, and
// the rule refuses nothing by itself. One upstream holds its share and one body at most.
type Loads struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// NewLoads returns Loads of no bytes.
func NewLoads() *Loads { return &Loads{bytes: make(map[string]int64)} }

// Add counts n more bytes at an upstream, fewer if n is negative.
func (l *Loads) Add(upstream string, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes[upstream] += n; l.bytes[upstream] == 0 {
		delete(l.bytes, upstream)
	}
}

// Bytes returns the number of bytes at an upstream.
func (l *Loads) Bytes(upstream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes[upstream]
}

// BelowShare returns those of a list of upstreams that hold less than an equal share of
// limit bytes. It returns the list itself if none is left out.
func BelowShare[T any](l *Loads, limit int64, list []T, id func(T) string) []T {
	if len(list) < 2 {
		return list
	}
	share := limit / int64(len(list))
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.anyAbove(share) {
		return list
	}
	out := make([]T, 0, len(list))
	for _, u := range list {
		if l.bytes[id(u)] < share {
			out = append(out, u)
		}
	}
	return out
}

// anyAbove reports whether an upstream holds share bytes or more.
func (l *Loads) anyAbove(share int64) bool {
	for _, n := range l.bytes {
		if n >= share {
			return true
		}
	}
	return false
}
