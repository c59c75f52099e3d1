package fsm

import (
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// DocumentIndex returns the index of the document in force.
func (m *Machine) DocumentIndex() uint64 { return m.book.Index() }

// Document returns the document in force.
func (m *Machine) Document() *statepb.Document { return m.book.Document() }

// Schema returns the decoded document in force.
func (m *Machine) Schema() document.Schema { return m.book.Schema() }

// History returns the remembered edits, oldest first.
func (m *Machine) History() []*statepb.EditOutcome { return m.book.Outcomes() }

// Claim returns the ledger's record of a key, or nil.
func (m *Machine) Claim(account, key string) *statepb.ClaimState { return m.ledger.Get(account, key) }

// Claims returns the number of remembered keys.
func (m *Machine) Claims() int { return m.ledger.Len() }

// Unfinished returns the claims without an outcome that are older than ageMs.
func (m *Machine) Unfinished(ageMs int64) []*statepb.ClaimState {
	var out []*statepb.ClaimState
	for _, c := range m.ledger.All() {
		if c.Outcome == statepb.Outcome_OUTCOME_CLAIMED && c.ClaimedMs < m.nowMs-ageMs {
			out = append(out, c)
		}
	}
	return out
}

// Orders returns the remembered orders, oldest first.
func (m *Machine) Orders() []*statepb.OrderState { return m.orders.All() }
