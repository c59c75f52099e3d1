// Package batcher runs the stages that are worked on in pieces.
//
// Every service of this kind has one owner among the entries, which holds the
// queue of all entries' pieces and fills whole batches from it; package batching
// decides what goes into them. A Router finds the owner by rendezvous hashing
// over the living entries and keeps one stream to each. When an owner is lost,
// its pieces are asked for again at the next one, which is safe: a piece may be
// made twice.
//
// # Usage
//
//	owner := batcher.NewOwner(batcher.Config{Send: pool.Send, Wire: wire, ...})
//	router := batcher.NewRouter(batcher.RouterConfig{Owner: owner, Pool: links, ...})
//	result := router.Do(ctx, order)
//	switch r := result.(type) {
//	case batcher.Made:
//		defer router.Release(service, r.Handles)
//	case batcher.Refused, batcher.Failed:
//	}
package batcher
