// Package link carries protobuf messages between processes as yamux streams
// over TCP.
//
// A connection starts with a challenge-response handshake in which both sides
// prove that they hold the fleet key, inside mutual TLS where it is configured.
// Each request opens one stream. A stream carries length-delimited Envelopes in
// both directions, and each Envelope carries the sender's name, its hybrid
// logical clock and its document index.
//
// The dialling side of a session sends heartbeats. A session on which nothing arrives
// for a while is closed and replaced, because a connection can stop delivering data
// permanently while the peer is still alive. Any data counts: the answer to a heartbeat
// may have to wait behind a large message.
//
// # Usage
//
//	srv, err := link.Listen(link.ServerConfig{Address: addr, Local: local, Auth: auth, Handle: handle})
//	pool := link.NewPool(link.PoolConfig{Local: local, Auth: auth})
//	reply, err := pool.RoundTrip(ctx, addr, envelope)
//	stream, err := pool.OpenStream(ctx, addr)
package link
