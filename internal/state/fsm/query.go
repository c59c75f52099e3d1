package fsm

import (
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Applied returns the log index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.applied }

// DocumentIndex returns the log index of the last edit that changed the
// document.
func (m *Machine) DocumentIndex() uint64 { return m.document.Index() }

// Document returns the current document.
func (m *Machine) Document() *statepb.Document { return m.document.Document() }

// Schema returns the decoded current document.
func (m *Machine) Schema() document.Schema { return m.document.Schema() }

// EditHistory returns the kept outcomes of edits, oldest first.
func (m *Machine) EditHistory() []*statepb.EditOutcome { return m.document.Outcomes() }

// Claim returns the claim of a key, or nil if there is none.
func (m *Machine) Claim(account, key string) *statepb.ClaimState { return m.ledger.Get(account, key) }

// ClaimCount returns the number of claims in the ledger.
func (m *Machine) ClaimCount() int { return m.ledger.Len() }

// UnresolvedClaims returns the claims without an outcome that were made more than
// ageMs milliseconds ago.
func (m *Machine) UnresolvedClaims(ageMs int64) []*statepb.ClaimState {
	var out []*statepb.ClaimState
	for _, c := range m.ledger.All() {
		if c.Outcome == statepb.Outcome_OUTCOME_CLAIMED && c.ClaimedMs < m.nowMs-ageMs {
			out = append(out, c)
		}
	}
	return out
}

// Orders returns the kept orders, oldest first.
func (m *Machine) Orders() []*statepb.OrderState { return m.orders.All() }

// Evacuations returns the evacuated availability zones. The caller must not modify them.
func (m *Machine) Evacuations() *statepb.Evacuations { return m.evacuations.Proto() }

// EndedStarts returns the ended starts of upstreams. The caller must not modify them.
func (m *Machine) EndedStarts() *statepb.EndedStarts { return m.endedStarts.Proto() }
