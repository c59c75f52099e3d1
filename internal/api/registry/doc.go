// Package registry serves upstreams that announce themselves and operators who
// replace the site document as a whole, on a control instance.
//
// A site document is checked before it goes into the log, and accepted only
// once a quorum holds it. It is read back byte for byte, and only after the
// leader has been confirmed. An announcement that upstreams leave is accepted
// only once the entries that can be reached know of it.
//
// # Usage
//
//	s := registry.New(registry.Config{Hub: hub, Replica: r, Pool: pool, Decode: decode})
//	err := s.Adopt(ctx, text) // an *InvalidError where the text is at fault
package registry
