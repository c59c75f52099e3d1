// Package caller is the HTTP API of an entry, a process that runs pipelines for
// client accounts, for its clients, the callers.
//
// POST /v1/pipelines/{name} runs a pipeline. The account and its key are in the
// headers X-Account and X-Account-Key, the time until the deadline in
// milliseconds in X-Deadline-Ms, and the key of an at-most-once call in
// Idempotency-Key. The body is JSON. The response is JSON, or a stream of
// server-sent events with numbered chunks and an explicit end. Every refusal is
// a JSON body that says whether anything ran. GET /v1/requests/{id} returns the
// status of a recent request to this entry.
//
// # Usage
//
//	s := caller.NewServer(caller.Config{Executor: x, Limiter: l, Follower: f})
//	mux.Handle("/v1/", s)
package caller
