// Package transport sends HTTP requests to upstreams that run without an agent.
//
// A request is written at most once, on one connection: the package never
// retries. How a send ended is an Outcome; a request that may not be repeated
// may be sent to another upstream only after NotSent and Rejected. Connections
// are pooled by the ID of the upstream, so that a new upstream at the address of
// an earlier one gets new connections. A connection is closed instead of reused
// if data arrived on it while idle, if its answer came before the request was
// fully written, or if data followed the answer. A request that is sent again gets a
// connection that has not carried it: on another one, a late second copy of its first
// answer would bear its ID.
//
// Config.Permit and Request.Permit are asked right before a request is written, when the
// time that the choice of the upstream and a new connection took has passed.
//
// Config.Admit is asked before a connection is taken. Config.OnSignal is told what each
// matching answer says of its upstream, in this one place for all exchanges.
//
// # Usage
//
//	pool := transport.NewPool(transport.Config{Classify: classify, Log: log})
//	defer pool.Close()
//	switch o := pool.Send(ctx, target, request).(type) {
//	case *transport.Answered:
//		defer o.Close()
//		io.Copy(w, o.Body)
//	case transport.NotSent, transport.Rejected, transport.Unknown:
//	}
package transport
