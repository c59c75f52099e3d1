// Package watch spreads what the control instances know to the processes that
// act on it: words of upstreams, the site document and the list of processes.
//
// A Hub runs on each control instance and tells its watchers of each change at
// once; a Follower keeps one stream to every control instance it knows of. All
// of it may arrive in any order and twice, as both ends merge: upstreams as
// package catalog does, site documents by their version. Control instances
// watch each other too, so that a word given to one reaches the watchers of
// all.
//
// # Usage
//
//	hub := watch.NewHub(watch.HubConfig{Self: self, Table: table, Log: log})
//	hub.Serve(ctx, stream, envelope.GetWatch())
//	hub.Announce(ctx, upstream) // returns once the watchers have seen it
//
//	f := watch.NewFollower(watch.FollowerConfig{Pool: pool, Seeds: links, Self: self, Take: take})
//	defer f.Close()
package watch
