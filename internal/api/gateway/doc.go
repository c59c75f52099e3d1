// Package gateway is a reverse proxy for callers who send plain HTTP requests.
// It forwards them byte for byte to upstreams, as configured by a site document.
//
// A request is matched to a route by host and path. The pipeline stages of the
// route run first, each as a number of pieces that are batched with those of
// other requests; then the request is sent to an upstream of the route's
// service. Whether it may be retried depends on the kind of the route and on
// how the previous attempt ended. A request that may have run is answered with
// 502 unless it is idempotent, and 429 and 503 guarantee that it has not run
// and will not. A response that is interrupted is never terminated as if it
// were complete. A stream of a resumable route continues at another upstream
// after its last complete event.
//
// The package does not know the names and formats of headers: a HeaderCodec
// parses and writes them.
//
// # Usage
//
//	s := gateway.NewServer(gateway.Config{Headers: codec, Send: pool.Send, RunStage: router.Do, ...})
//	s.Configure(index)
//	http.Serve(ln, s)
//	s.Drain(end) // closes connections after the response, rejects long streams
package gateway
