// Package refuse defines the one typed refusal that callers are given.
//
// # Usage
//
//	return refuse.New(refuse.Deadline, refuse.RanNo, "the deadline has passed", "allow more time")
package refuse
