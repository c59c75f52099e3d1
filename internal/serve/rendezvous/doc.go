// Package rendezvous chooses one of several names for a key, so that all
// processes that know the same names choose the same one, and that only the
// keys of a name move when it goes.
//
// # Usage
//
//	u, ok := rendezvous.Best(prompt, upstreams, func(u Upstream) string { return u.ID })
package rendezvous
