// Package relay answers at the control address of an instance without a disk.
//
// Such an instance holds no part of the log. It sends upstreams and operators
// on to a control instance that it is connected to, and tells processes that
// were given its address where the control instances are.
//
// # Usage
//
//	r := relay.New(relay.Config{Self: self, Controls: follower.Controls, Found: follower.Add, Log: log})
//	host, ok := r.Next() // where the next call goes
//	r.Serve(ctx, stream, envelope)
package relay
