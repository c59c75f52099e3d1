// Package watch propagates the state that control instances hold to the
// processes that act on it: announcements of upstreams, the site document (see
// package site), the evacuated availability zones (see package evacuation) and the list of
// processes.
//
// A Hub runs on each control instance; a Follower keeps one stream to every control
// instance it knows of. The hub numbers its changes and remembers the number of the
// last change of each upstream, process and document, not the changes themselves. A
// watcher has one message at a time: what changes until it acknowledges shares the
// next one, which holds the newest state of each. So a slow watcher gets fewer
// messages instead of a longer queue, and a watcher that returns gets what changed
// while it was away.
//
// Messages may arrive in any order and more than once, as both ends merge them:
// upstreams as package catalog does, site documents by version, evacuated zones by log
// index. A hub passes on what upstreams announce to it, and other hubs are watchers too.
// What a watcher lacks all the same, it finds by comparing the digest in each message with
// its own.
//
// Only hubs tell each other which upstreams are alive. Other watchers are told when one
// falls silent and when it is heard again, and take an upstream for silent if no
// control instance that they are connected to hears it.
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
