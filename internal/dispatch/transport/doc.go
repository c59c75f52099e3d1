// Package transport sends HTTP requests to upstreams that have no agent beside
// them.
//
// A request is written at most once, on one connection: nothing is ever sent
// again behind the caller's back. How a send ended is an Outcome, and only
// NotSent and Rejected allow another upstream to be tried for a request that
// may not be repeated. Connections are kept for each upstream by its identity,
// so that an address which another upstream has taken over is dialled anew.
// A connection is closed instead of kept if it held bytes while idle, if its
// answer came before the request was wholly written, or if bytes followed the
// answer.
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
