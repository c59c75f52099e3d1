package transport

import "hash/maphash"

// maxCarried is the number of request IDs and marks after which a connection is given up
// instead of reused, so that it can remember all of them for as long as it is open.
const maxCarried = 1024

// carriedSeed makes the hashes differ between processes.
var carriedSeed = maphash.MakeSeed()

// carried holds the IDs of all requests on a connection and the marks of all answers on it,
// as hashes. A late second copy of an answer comes on the connection of the answer: it bears
// an ID or marks that the connection has carried. Two IDs with one hash cost a connection,
// and two marks with one hash a call.
type carried map[uint64]struct{}

// add records an ID or a mark, and reports whether it is new. An empty one is not recorded.
func (c *carried) add(text string) bool {
	if text == "" || c.has(text) {
		return false
	}
	if *c == nil {
		*c = make(carried)
	}
	(*c)[maphash.String(carriedSeed, text)] = struct{}{}
	return true
}

// has reports whether an ID or a mark was carried.
func (c *carried) has(text string) bool {
	if text == "" {
		return false
	}
	_, ok := (*c)[maphash.String(carriedSeed, text)]
	return ok
}

// full reports whether the connection has to be given up.
func (c *carried) full() bool { return len(*c) >= maxCarried }
