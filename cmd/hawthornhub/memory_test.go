package main

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/membudget"
)

// Guards against a gauge for each account of a large document, and against one that stays
// after the account is within its share.
func TestMemoryGaugesAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	var r memoryReport
	b := membudget.New(1000)
	b.SetAccounts(1000)
	small := b.Hold("small")
	if err := small.Resize(1); err != nil {
		t.Fatal(err)
	}
	for i := range 3 * maxMemoryNames {
		h := b.Hold(fmt.Sprint("account-", i))
		if err := h.Resize(490); err != nil {
			t.Fatal(err)
		}
		extra := b.Hold("more")
		if err := extra.Resize(1); err != nil {
			t.Fatal(err)
		}
		r.update(b, scope, zap.NewNop())
		h.Close()
		extra.Close()
	}
	r.update(b, scope, zap.NewNop())
	names := 0
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() != "held_bytes_above_share" {
			continue
		}
		names++
		if g.Value() != 0 {
			t.Errorf("account %q has %v bytes above its share, want 0", g.Tags()["account"], g.Value())
		}
	}
	if want := maxMemoryNames + 1; names != want {
		t.Errorf("%d accounts have gauges, want %d", names, want)
	}
}
