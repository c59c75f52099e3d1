package main

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornhub.example/hawthornhub/internal/api/gateway"
	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
)

const (
	// maxAccountMetrics is the number of accounts with metrics of their own in one process.
	// All others are added up under otherAccounts.
	maxAccountMetrics = 32
	otherAccounts     = "(other)"
	// maxListedAccounts is the number of accounts in the status of a process, for each
	// service.
	maxListedAccounts = 32
)

// shownAccount returns the name of an account in metrics and tables, also of that of requests
// without a key.
func shownAccount(account string) string { return cmp.Or(account, anonymousAccount) }

// accountMetrics updates the metrics by account.
type accountMetrics struct {
	names map[string]bool
	// usage holds the values of the last update, so that those of an account that asks for
	// nothing any more fall to 0.
	usage   map[usageLabels]usageValues
	refused map[refusalLabels]int
}

type usageLabels struct{ service, account string }

type usageValues struct{ used, share, borrowed float64 }

type refusalLabels struct{ account, cause string }

func newAccountMetrics() accountMetrics {
	return accountMetrics{names: make(map[string]bool), usage: make(map[usageLabels]usageValues), refused: make(map[refusalLabels]int)}
}

// name returns the account in metrics.
func (m *accountMetrics) name(account string) string {
	account = shownAccount(account)
	if !m.names[account] {
		if len(m.names) >= maxAccountMetrics {
			return otherAccounts
		}
		m.names[account] = true
	}
	return account
}

// updateUsage updates the gauges of what accounts use of the services that this process owns.
func (m *accountMetrics) updateUsage(scope tally.Scope, usages []batcher.ServiceUsage) {
	for labels := range m.usage {
		m.usage[labels] = usageValues{}
	}
	for _, u := range usages {
		labels := usageLabels{service: u.Service, account: m.name(u.Account)}
		v := m.usage[labels]
		m.usage[labels] = usageValues{used: v.used + u.Used, share: v.share + u.Share, borrowed: v.borrowed + u.Borrowed}
	}
	for labels, v := range m.usage {
		tagged := scope.Tagged(map[string]string{"service": labels.service, "account": labels.account})
		tagged.Gauge("account_used").Update(v.used)
		tagged.Gauge("account_share").Update(v.share)
		tagged.Gauge("account_borrowed").Update(v.borrowed)
		if v == (usageValues{}) {
			delete(m.usage, labels)
		}
	}
}

// updateAccounts updates the metrics by account.
func (g *gatewayProcess) updateAccounts(scope tally.Scope) {
	if !g.sharesByAccount() {
		return
	}
	g.accounts.updateUsage(scope, g.batchOwner.Usages(time.Now(), maxAccountMetrics))
	for _, r := range g.server.Refusals(maxAccountMetrics) {
		key := refusalLabels{account: r.Account, cause: r.Cause}
		scope.Tagged(map[string]string{"account": g.accounts.name(r.Account), "cause": r.Cause}).Counter("account_refused").Inc(int64(r.Count - g.accounts.refused[key]))
		g.accounts.refused[key] = r.Count
	}
}

// writeStatus writes the tables of accounts, or why there are none.
func (g *gatewayProcess) writeStatus(out io.Writer) {
	if !g.sharesByAccount() {
		fmt.Fprintln(out, "capacity is not shared by account; see [fair] in the settings and the accounts of the document")
		return
	}
	writeAccounts(out, g.batchOwner.Usages(time.Now(), maxListedAccounts), g.server.Refusals(maxListedAccounts))
}

// writeAccounts writes what accounts use and how often they were refused as tables.
func writeAccounts(out io.Writer, usages []batcher.ServiceUsage, refusals []gateway.Refusals) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "SERVICE\tACCOUNT\tSTANDING\tASKED\tUSED\tSHARE\tBORROWED")
	for _, u := range usages {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\n", u.Service, shownAccount(u.Account), u.Standing, u.Asked, u.Used, u.Share, u.Borrowed)
	}
	fmt.Fprintln(w, "ACCOUNT\tCAUSE\tREFUSED")
	for _, r := range refusals {
		fmt.Fprintf(w, "%s\t%s\t%d\n", shownAccount(r.Account), r.Cause, r.Count)
	}
}
