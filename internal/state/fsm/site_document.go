package fsm

import "hawthornhub.example/hawthornhub/internal/wire/statepb"

// adopt replaces the site document if there is none or the new version is higher
// than the current one. A lower or equal version changes nothing and succeeds, so that a
// command may be repeated.
func (m *Machine) adopt(index uint64, a *statepb.Adopt) *statepb.Result {
	if m.siteDocument == nil || a.Version > m.siteDocument.GetVersion() {
		m.siteDocument = &statepb.Adopted{Version: a.Version, Text: a.Text, Encoding: a.Encoding, Index: index}
	}
	return m.AdoptResult()
}

// AdoptResult returns the result of a command whose site document is not newer than the
// current one.
func (m *Machine) AdoptResult() *statepb.Result {
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Version: m.siteDocument.GetVersion(), Index: m.siteDocument.GetIndex()}
}

// SiteDocument returns the current site document, or nil if there is none. The
// caller must not modify it.
func (m *Machine) SiteDocument() *statepb.Adopted { return m.siteDocument }
