package main

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

const (
	// maxMemoryNames is the number of accounts that get a gauge of their own in the life of
	// the process. Gauges are never removed, and a document may have thousands of accounts.
	// All further ones are reported as otherAccounts.
	maxMemoryNames = 32
	// anonymousAccount is the name for requests without a key.
	anonymousAccount = "(none)"
)

// memoryReport remembers which accounts were above their share of the memory at the last
// update of the gauges.
type memoryReport struct {
	// above holds each account that was ever above its share and has a gauge, and whether
	// it was so at the last update.
	above map[string]bool
}

// update sets the gauges and logs which accounts have come above their share, and which are
// below it again.
func (r *memoryReport) update(b *membudget.Budget, scope tally.Scope, log *zap.Logger) {
	if r.above == nil {
		r.above = make(map[string]bool)
	}
	scope.Gauge("held_bytes").Update(float64(b.Used()))
	scope.Gauge("held_bytes_limit").Update(float64(b.Limit()))
	bytes := make(map[string]int64)
	for _, e := range b.Above(maxMemoryNames) {
		name := shownAccount(e.Account)
		if _, known := r.above[name]; !known && len(r.above) >= maxMemoryNames {
			name = otherAccounts
		}
		bytes[name] += e.Bytes
		if !r.above[name] {
			log.Info("account holds more than its share of memory", zap.String("account", name), zap.Int64("above", e.Bytes), zap.Int64("held", b.Used()))
			r.above[name] = true
		}
	}
	for name, was := range r.above {
		if was && bytes[name] == 0 {
			log.Info("account is within its share of memory again", zap.String("account", name))
			r.above[name] = false
		}
		scope.Tagged(map[string]string{"account": name}).Gauge("held_bytes_above_share").Update(float64(bytes[name]))
	}
}
