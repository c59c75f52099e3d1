package rendezvous

import "hash/fnv"

// Weight is the weight of a name for a key. The 64 bits are mixed, so that names
// that differ in their last bytes alone are spread as well.
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

// Best returns the item whose name has the greatest weight for a key, false
// where there is none. The order of the items does not matter.
func Best[T any](key string, items []T, name func(T) string) (T, bool) {
	var best T
	var most uint64
	for i, item := range items {
		if w := Weight(key, name(item)); i == 0 || w > most {
			best, most = item, w
		}
	}
	return best, len(items) > 0
}
