// Package registry implements the API of a control instance with which upstreams
// announce themselves and operators replace the whole site document.
//
// A site document is validated before it is proposed to the Raft log, and
// accepted only once a quorum has committed it. It is read back byte for byte,
// with a linearizable read. An announcement that changes what is known of an
// upstream, such as that it drains, is acknowledged once all reachable entries
// know of it, or after a timeout.
//
// # Usage
//
//	s := registry.New(registry.Config{Hub: hub, Replica: r, Pool: pool, Decode: decode})
//	err := s.PutDocument(ctx, text) // an *InvalidDocumentError if the text is invalid
package registry
