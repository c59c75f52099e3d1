// Package transport sends HTTP requests to upstreams that run without an agent.
//
// A request is written at most once, on one connection: the package never
// retries. How a send ended is an Outcome; a request that may not be repeated
// may be sent to another upstream only after NotSent and Rejected. Connections
// are pooled by the ID of the upstream, so that a new upstream at the address of
// an earlier one gets new connections. A connection is closed instead of reused
// if data arrived on it while idle, if its answer came before the request was
// fully written, or if data followed the answer.
//
// No answer is matched to the wrong request, although an upstream may send a second copy of
// an answer on its connection, seconds later and where another answer is due. Answers are
// told apart by the ID of the request, or by marks in the answer that no other one has
// (Request.Marked, Answered.Identify). Requests of the two kinds share no connection. A
// connection knows all IDs and marks that it has carried, and is given up at maxCarried. A
// request that is sent again gets a connection that has not carried its ID. To a request with
// an ID, one without is no answer, but for a rejection of the first request on a connection.
// An answer without an ID and without marks is the last one on its connection, and a
// request whose answer has neither gets a connection of its own.
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
