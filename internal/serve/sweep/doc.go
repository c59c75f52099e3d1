// Package sweep settles what dead entries left behind, on the leader.
//
// # Usage
//
//	s := sweep.Start(sweep.Config{Replica: r, Ledger: client, Runner: runner})
//	err := s.Close()
package sweep
