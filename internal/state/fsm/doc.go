// Package fsm is the replicated state machine: the ledger of at-most-once
// calls, the document, the quota grants, the orders, the site document, the evacuated
// availability zones, the ended starts of upstreams, and the call counts that the
// insurer's conditions limit.
//
// Apply processes the committed commands in log order. The state depends only
// on them and on no clock or other input, so it is the same on every replica.
//
// # Usage
//
//	m, err := fsm.New(documentText)
//	result := m.Apply(index, command)
//	state, err := m.Snapshot()
package fsm
