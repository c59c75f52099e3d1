package rendezvous

import "hash/fnv"

// Weight returns the pseudorandom weight of a name for a key. FNV alone spreads
// names that differ only in their last bytes poorly, so a finalizer mixes the 64
// bits of the hash.
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

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
