// Package relay serves the control address of an instance that has no disk.
//
// Such an instance holds no copy of the Raft log. It redirects the calls of
// upstreams and operators to a control instance that it is connected to, and it
// tells processes that are configured with its address where the control
// instances are.
//
// # Usage
//
//	r := relay.New(relay.Config{Self: self, Controls: follower.Controls, AddControls: follower.Add, Log: log})
//	host, ok := r.NextHost() // the target of the next redirect
//	r.Serve(ctx, stream, envelope)
package relay
