// Package batcher runs pipeline stages that are split into pieces, and batches
// the pieces of many requests into shared calls to upstreams.
//
// A piece is one unit of a stage's work. An upstream that runs a piece keeps
// the result and answers with a handle to it; results that are no longer needed
// are released, or expire at the upstream.
//
// Each service that runs pieces has one owner among the entries, the processes
// that accept client requests, or one in each availability zone if the zones have
// enough upstreams of it. The owner queues the pieces of all entries and
// fills whole batches from that queue; package batching decides what goes into a
// batch. A Router finds the owner by rendezvous hashing over the live entries and
// keeps one stream to each owner. When an owner is lost, its jobs are sent again
// to the next one. This is safe because a piece may run more than once.
//
// # Usage
//
//	owner := batcher.NewOwner(batcher.Config{Send: pool.Send, Codec: codec, ...})
//	router := batcher.NewRouter(batcher.RouterConfig{Owner: owner, Pool: links, ...})
//	result := router.Do(ctx, job)
//	switch r := result.(type) {
//	case batcher.Completed:
//		defer router.Release(service, r.Handles)
//	case batcher.Refused, batcher.Failed:
//	}
//
// A request that will send jobs later tells their owners with Commit, and ends that with
// Sent or Withdraw:
//
//	c := router.Commit(job)
//	c.Sent() // as job is sent
package batcher
