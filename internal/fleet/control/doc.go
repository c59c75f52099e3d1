// Package control is the client side of the control instances: proposals,
// linearizable reads, and the shared configuration document (see package
// document) with its freshness lease.
//
// Client finds the leader and retries requests that were not answered. Every
// command is idempotent, because a claim of an idempotency key names its owner,
// and edits and orders carry IDs. Follower keeps a process's copy of the document up to date, with
// the age of its last confirmation by a quorum. It may get both from another
// process, which passes on its own copy.
//
// # Usage
//
//	c := control.NewClient(control.ClientConfig{Pool: pool, Peers: peers})
//	result, err := c.Propose(ctx, command)
//	f := control.NewFollower(control.FollowerConfig{Pool: pool, Peers: peers})
//	d := f.Document()
//	if d.Fresh(time.Now()) { ... }
package control
