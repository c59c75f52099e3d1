// Package registry implements the API of a control instance with which upstreams
// announce themselves, and operators replace the whole site document and evacuate
// availability zones.
//
// A site document is validated before it is proposed to the Raft log, and
// accepted only once a quorum has committed it. It is read back byte for byte,
// with a linearizable read. An announcement that changes what is known of an
// upstream, such as that it drains, is acknowledged once all reachable entries
// know of it, or after a timeout. An order to evacuate a zone, or to restore it, is
// committed to the log and acknowledged once the entries act on it; it is dropped if it
// cannot be proposed soon after its arrival, as a later one may then have been
// acknowledged.
//
// # Usage
//
//	s := registry.New(registry.Config{Hub: hub, Replica: r, Pool: pool, Decode: decode, DecodeStored: decodeStored})
//	defer s.Close()
//	err := s.PutDocument(ctx, text) // an *InvalidDocumentError if the text is invalid
//	err = s.Evacuate(ctx, zone)
package registry
