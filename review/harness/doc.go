// Command harness plays the scripted cases of the review: it starts the project's own
// programs as processes on loopback addresses, beside stand-ins, and writes what was
// sent, answered and run to a record.
package main
