package rendezvous

// The offset and the prime of FNV-1a with 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Key is a key for which the weights of many names are wanted.
type Key uint64

// NewKey returns the Key of a string.
func NewKey(key string) Key { return Key(fnvAdd(fnvOffset, key) * fnvPrime) }

// fnvAdd adds a string to an FNV-1a hash.
func fnvAdd(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// Weight returns the pseudorandom weight of a name for the key. FNV alone spreads
// names that differ only in their last bytes poorly, so a finalizer mixes the 64
// bits of the hash.
func (k Key) Weight(name string) uint64 {
	x := fnvAdd(uint64(k), name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Weight returns the pseudorandom weight of a name for a key.
func Weight(key, name string) uint64 { return NewKey(key).Weight(name) }

// Rank returns the number of items whose names have a higher weight for a key than the
// given name.
func Rank[T any](key, name string, items []T, nameOf func(T) string) int {
	own, n := Weight(key, name), 0
	for _, item := range items {
		if Weight(key, nameOf(item)) > own {
			n++
		}
	}
	return n
}

// Best returns the item whose name has the highest weight for a key, regardless
// of the order of the items. It returns false if there are no items.
func Best[T any](key string, items []T, name func(T) string) (T, bool) {
	var best T
	var bestWeight uint64
	for i, item := range items {
		if w := Weight(key, name(item)); i == 0 || w > bestWeight {
			best, bestWeight = item, w
		}
	}
	return best, len(items) > 0
}
