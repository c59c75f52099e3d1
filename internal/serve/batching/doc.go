// Package batching decides which pieces of work go into the next call to an
// upstream that works on pieces in batches.
//
// A call takes a fixed time and a little more for each piece, and an upstream
// runs one call at a time. The load it answers is many requests with a few
// pieces each, from all entries: batches that are filled from one queue finish
// several times the pieces that each entry's own calls would. The queue holds
// the pieces of all requests and hands them out when an upstream is free, those
// first that can still be on time.
//
// The package has no clock and no socket; package batcher is its shell.
//
// # Usage
//
//	q := batching.NewQueue(batching.Config{Batch: 18, Call: call, Item: item})
//	if wait, ok := q.Admit(now, group, free); !ok { ... } // come back after wait
//	q.Push(group)
//	batch := q.Batch(now, upstream)
//	done := q.Done(batch[0], handle)
package batching
