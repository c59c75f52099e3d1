// Package catalog keeps what upstreams last said of themselves. Words arrive
// late, twice, out of order and over several ways; merging them in any order
// gives the same table on every process.
//
// A word is placed by the upstream's id and the time of its start: a later
// start replaces an earlier one, and within one start an upstream only moves
// from ready to draining to left. An address belongs to the upstream that
// started last there. An upstream that has left is kept for a while, so that a
// late word does not bring it back.
//
// # Usage
//
//	t := catalog.New(catalog.Config{Changed: rebuild})
//	outcome := t.Merge(upstream)
//	for _, u := range t.Service("rerank") { ... }
package catalog
