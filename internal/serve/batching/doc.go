// Package batching forms the batches of work that are sent to the upstreams of
// a batched service.
//
// A job is the work of one stage of one request. It consists of pieces, which
// are independent of each other, so that one call to an upstream can carry
// pieces of several jobs. A call has a fixed overhead plus a time for each
// piece, and an upstream runs one call at a time. Requests have only a few
// pieces each, and all entries serve such requests: batches that are formed
// from one shared queue reach several times the throughput of calls that each
// entry makes on its own. The queue holds the pieces of all requests. When an
// upstream is idle, it forms the next batch, giving preference to jobs that can
// still meet their latency objective.
//
// If Config.Fair is set, accounts share scarce capacity: while they ask for more
// than the upstreams do, jobs of accounts that ask for less than their share go
// first within their rank; package fairshare decides which accounts these are.
// Jobs that have waited for half of their time may take a small part of each batch
// before all others, so that none starves.
//
// A queue can be told what admitted requests will still send to it once their earlier stages
// have ended. Backlog counts these commitments, and allows for more urgent work that will
// arrive; what happens to jobs does not depend on them.
//
// The package reads no clock and does no I/O; package batcher drives it.
//
// # Usage
//
//	q := batching.NewQueue(batching.Config{MaxBatch: 18, CallOverhead: overhead, PieceTime: pieceTime})
//	q.Ask(now, account, pieces) // also for what is refused elsewhere
//	if wait, ok := q.Admit(now, job, upstreams); !ok { ... } // retry after wait
//	q.Commit(batching.Commitment{Rank: rank, Account: account, Pieces: pieces}) // -pieces at the end
//	q.Push(job)
//	batch := q.NextBatch(now, upstream)
//	done := q.Complete(batch[0], handle)
package batching
