// Package refuse defines the error that a caller gets if its request is refused
// or ends without a result.
//
// # Usage
//
//	return refuse.New(refuse.Deadline, refuse.RanNo, "the deadline has passed", "allow more time")
package refuse
