package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hawthornhub.example/hawthornhub/internal/api/gateway"
	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

// Guards against metrics that grow without bound with the accounts, and against gauges that
// keep the last value of an account that asks for nothing any more.
func TestAccountMetricsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newAccountMetrics()
	var usages []batcher.ServiceUsage
	for i := range 3 * maxAccountMetrics {
		usages = append(usages, batcher.ServiceUsage{Service: "scan", Usage: fairshare.Usage{Account: fmt.Sprint(i), Used: 1}})
	}
	m.updateUsage(scope, usages)
	used := func() (names int, sum float64) {
		for _, g := range scope.Snapshot().Gauges() {
			if g.Name() == "account_used" {
				names++
				sum += g.Value()
			}
		}
		return names, sum
	}
	if names, sum := used(); names != maxAccountMetrics+1 || sum != 3*maxAccountMetrics {
		t.Errorf("gauges of %d names with a sum of %v, want %d and %d", names, sum, maxAccountMetrics+1, 3*maxAccountMetrics)
	}
	m.updateUsage(scope, nil)
	if _, sum := used(); sum != 0 {
		t.Errorf("the accounts use %v after they have stopped, want 0", sum)
	}
}

// Guards against requests without a key that have an empty name in tables and metrics.
func TestRequestsWithoutKeyHaveAName(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newAccountMetrics()
	m.updateUsage(scope, []batcher.ServiceUsage{{Service: "scan", Usage: fairshare.Usage{Used: 1}}})
	for _, g := range scope.Snapshot().Gauges() {
		if got, want := g.Tags()["account"], anonymousAccount; got != want {
			t.Errorf("gauge %s of account %q, want %q", g.Name(), got, want)
		}
	}
	var table strings.Builder
	writeAccounts(&table, []batcher.ServiceUsage{{Service: "scan", Usage: fairshare.Usage{Used: 1}}}, []gateway.Refusals{{Cause: "capacity", Count: 2}})
	for i, line := range strings.Split(strings.TrimSpace(table.String()), "\n") {
		if (i == 1 || i == 3) && !strings.Contains(line, anonymousAccount) {
			t.Errorf("line %d is %q, want the account %s", i, line, anonymousAccount)
		}
	}
}
