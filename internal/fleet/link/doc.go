// Package link carries protobuf messages between the processes over yamux.
//
// A connection begins with a mutual proof of the fleet's key, inside TLS where
// it is configured. Each request opens one stream; a stream carries length-
// delimited Envelopes in both directions, and each Envelope carries the
// sender's name, clock and document index. The dialling side of a session
// sends heartbeats; a session whose heartbeat is not answered in time is
// dropped and dialled anew, because its connection may be silent for good
// while the peer lives.
//
// # Usage
//
//	srv, err := link.Listen(link.ServerConfig{Address: addr, Local: local, Auth: auth, Handle: handle})
//	pool := link.NewPool(link.PoolConfig{Local: local, Auth: auth})
//	reply, err := pool.Ask(ctx, addr, envelope)
//	stream, err := pool.Open(ctx, addr)
package link
