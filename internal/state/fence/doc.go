// Package fence issues and checks fencing tokens for orders to upstreams.
//
// An order is a command to an upstream, and its number is the fencing token.
// The replicated Issuer numbers each order with the log index at which it was
// committed. The Checker protects an upstream that does not check order numbers
// itself: it rejects an order whose number is not higher than the last, and
// after a start it accepts none until a quorum has confirmed the highest number
// issued so far.
//
// # Usage
//
//	c := fence.Checker{}
//	c = c.WithFloor(number) // from a confirmed read
//	c, err := c.Accept(order)
package fence
