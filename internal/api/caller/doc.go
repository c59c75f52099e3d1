// Package caller serves the clients' requests over HTTP.
//
// POST /v1/pipelines/{name} runs a pipeline. The account and its key are in
// the headers X-Account and X-Account-Key, the deadline in milliseconds in
// X-Deadline-Ms, and the key of a call that may not be repeated in
// Idempotency-Key. The body is JSON. The answer is JSON, or a stream of
// server-sent events with numbered chunks and an explicit end. Every refusal is
// a JSON body that says whether anything ran. GET /v1/requests/{id} tells how a
// request of this entry went.
//
// # Usage
//
//	s := caller.NewServer(caller.Config{Executor: x, Limiter: l, Follower: f})
//	mux.Handle("/v1/", s)
package caller
