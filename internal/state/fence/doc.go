// Package fence issues and checks the numbers that order commands to engines.
//
// The Register is replicated and gives each order the log index at which it
// was committed. The Gate stands before an engine that does not check the
// numbers itself: it lets no number pass that is not above the last, and after
// a start it takes no order before a quorum has told it the present number.
//
// # Usage
//
//	g := fence.Gate{}
//	g = g.WithFloor(number) // from a confirmed read
//	g, err := g.Pass(order)
package fence
