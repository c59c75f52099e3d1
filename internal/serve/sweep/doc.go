// Package sweep runs on the leader of the control instances: it resolves the
// claims that entries left unresolved and removes idempotency keys that are past
// retention.
//
// # Usage
//
//	s := sweep.Start(sweep.Config{Replica: r, Ledger: client, Runner: runner, ...})
//	err := s.Close()
package sweep
