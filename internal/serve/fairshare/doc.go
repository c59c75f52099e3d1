// Package fairshare decides how accounts share the scarce capacity of a service.
//
// Capacity is shared max-min fairly: an account that asks for less than an equal share
// gets all that it asks for, and what it leaves is divided among the others in the same
// way. A Meter measures the work that each account asks for and the work that it has
// used, both decaying over some seconds, and derives from them the standing of each
// account: Below its share, Unmet, if it asks for more but has used less, or Above. Only
// the order of waiting work depends on the standing, so that an account may use more
// than its share whenever nobody else wants the capacity.
//
// Work is measured in seconds of an upstream of normal speed, capacity therefore in
// upstreams. The package reads no clock and does no I/O.
//
// # Usage
//
//	m := fairshare.NewMeter()
//	m.Ask(now, account, work)  // for each request, also a refused one
//	m.Update(now, upstreams, wait)
//	switch m.Standing(account) { ... }
//	m.Use(now, account, work)  // when the work starts
package fairshare
