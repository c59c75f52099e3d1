package fsm

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// adopt replaces the site document if the version is higher than the one that
// stands. A lower or equal version succeeds and changes nothing.
func (m *Machine) adopt(index uint64, a *statepb.Adopt) *statepb.Result {
	if a.Version > m.adopted.GetVersion() {
		m.adopted = &statepb.Adopted{Version: a.Version, Text: a.Text, Index: index}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Version: m.adopted.GetVersion(), Index: m.adopted.GetIndex()}
}

// Adopted returns the site document that stands, nil for none. It must not be
// changed.
func (m *Machine) Adopted() *statepb.Adopted { return m.adopted }
