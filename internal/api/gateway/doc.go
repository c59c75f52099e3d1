// Package gateway serves callers who send plain HTTP requests that are passed
// on to upstreams byte for byte, under a site document.
//
// A request is matched to a route by host and path, its stages are worked on
// by pieces, and it is sent to an upstream of the route's service. What may be
// sent a second time follows from the kind of the route and from how the first
// send ended: a request that may have run is answered 502 unless it is
// idempotent, and 429 and 503 promise that it has not run and will not. An
// answer that breaks off is never ended as if it were whole. A stream of a
// resumable route goes on at another upstream after its last whole event.
//
// How headers are spelled is not known here: a Wire reads and writes them.
//
// # Usage
//
//	s := gateway.NewServer(gateway.Config{Wire: wire, Send: pool.Send, Stages: router.Do, ...})
//	s.Configure(index)
//	http.Serve(ln, s)
//	s.Drain(end) // answers close their connections, long streams go elsewhere
package gateway
