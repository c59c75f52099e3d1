// Package catalog keeps the last announcement of each upstream. Announcements
// arrive late, more than once, out of order and over several paths; merging
// them in any order gives the same table on every process.
//
// Announcements are ordered by the upstream's ID and start time: a later start
// replaces an earlier one, and within one start an upstream only moves from
// ready to draining to left. An address belongs to the upstream that started
// last there. An upstream that has left is kept as a tombstone for a while, so
// that a delayed announcement does not bring it back.
//
// # Usage
//
//	t := catalog.New(catalog.Config{OnChange: rebuild})
//	outcome := t.Merge(upstream)
//	for _, u := range t.Ready("rerank") { ... }
package catalog
