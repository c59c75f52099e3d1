package main

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

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
