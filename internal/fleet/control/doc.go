// Package control is the client side of the control instances: proposals,
// confirmed reads, and the document with its freshness lease.
//
// Client finds the leader and repeats what was not answered; every command is
// safe to repeat, because claims name their owner and edits and orders carry
// ids. Follower keeps a process's copy of the document and the age of the
// quorum's confirmation of it, relayed from process to process.
//
// # Usage
//
//	c := control.NewClient(control.ClientConfig{Pool: pool, Peers: peers})
//	result, err := c.Propose(ctx, command)
//	f := control.NewFollower(control.FollowerConfig{Client: c})
//	held := f.Held() // the document and how fresh it is
package control
