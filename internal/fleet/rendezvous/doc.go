// Package rendezvous implements rendezvous hashing (highest random weight): it
// assigns a key to one of several names. All processes that know the same names
// choose the same one, and when a name is removed, only its own keys move.
//
// # Usage
//
//	u, ok := rendezvous.Best(prompt, upstreams, func(u Upstream) string { return u.ID })
package rendezvous
