// Package fsm is the replicated state: ledger, document, quota, orders and
// the counts that the insurer's conditions are checked against.
//
// Apply takes the committed commands in the order of the log and is a pure
// function of them, so that every replica holds the same state.
//
// # Usage
//
//	m, err := fsm.New(documentText)
//	result := m.Apply(index, command)
//	state, err := m.Snapshot()
package fsm
