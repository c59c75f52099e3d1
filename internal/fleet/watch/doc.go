// Package watch propagates the state that control instances hold to the
// processes that act on it: announcements of upstreams, the site document (see
// package site) and the list of processes.
//
// A Hub runs on each control instance and pushes each change to its watchers at
// once; a Follower keeps one stream to every control instance it knows of.
// Updates may arrive in any order and more than once, as both ends merge them:
// upstreams as package catalog does, site documents by version. Control
// instances follow each other too, so that an announcement made to one reaches
// the watchers of all.
//
// # Usage
//
//	hub := watch.NewHub(watch.HubConfig{Self: self, Table: table, Voters: voters, Log: log})
//	hub.Serve(ctx, stream, envelope.GetWatch())
//	hub.Announce(ctx, upstream) // returns once the watchers have acknowledged it
//
//	f := watch.NewFollower(watch.FollowerConfig{Pool: pool, Seeds: links, WatchRequest: request, OnNews: apply, Log: log})
//	defer f.Close()
package watch
