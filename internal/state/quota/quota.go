package quota

import (
	"sort"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Window is the length of the fixed windows over which limits are enforced.
const Window = 5 * time.Second

// window counts the units granted to one account in one window.
type window struct {
	startMs int64
	granted uint64
}

// Quota tracks the granted units by account. It is not safe for concurrent use.
type Quota struct{ windows map[string]window }

// New returns a Quota with nothing granted.
func New() *Quota { return &Quota{windows: make(map[string]window)} }

// Restore returns a Quota with the windows of a snapshot.
func Restore(windows []*statepb.Window) *Quota {
	q := New()
	for _, w := range windows {
		q.windows[w.Account] = window{startMs: w.StartMs, granted: w.Granted}
	}
	return q
}

// Grant grants up to units of an account's limit, which is rate units per
// second, and returns the milliseconds until the grant expires with the window.
func (q *Quota) Grant(nowMs int64, account string, rate, units uint64) (granted uint64, expiresInMs int64) {
	windowMs := Window.Milliseconds()
	startMs := nowMs - nowMs%windowMs
	w := q.windows[account]
	if w.startMs != startMs {
		w = window{startMs: startMs}
	}
	limit := rate * uint64(windowMs) / uint64(time.Second.Milliseconds())
	remaining := uint64(0)
	if limit > w.granted {
		remaining = limit - w.granted
	}
	granted = min(units, remaining)
	w.granted += granted
	q.windows[account] = w
	return granted, startMs + windowMs - nowMs
}

// Windows returns the newest window of each account, sorted by account.
func (q *Quota) Windows() []*statepb.Window {
	out := make([]*statepb.Window, 0, len(q.windows))
	for account, w := range q.windows {
		out = append(out, &statepb.Window{Account: account, StartMs: w.startMs, Granted: w.granted})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}
