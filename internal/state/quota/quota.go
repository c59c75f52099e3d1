package quota

import (
	"sort"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Window is the length of the windows in which a limit is counted.
const Window = 5 * time.Second

type window struct {
	start   int64
	granted uint64
}

// Quota counts what was granted. It is not safe for concurrent use.
type Quota struct{ windows map[string]window }

// New returns a Quota with nothing granted.
func New() *Quota { return &Quota{windows: make(map[string]window)} }

// Restore returns the Quota that a snapshot holds.
func Restore(windows []*statepb.Window) *Quota {
	q := New()
	for _, w := range windows {
		q.windows[w.Account] = window{start: w.StartMs, granted: w.Granted}
	}
	return q
}

// Grant gives up to units of an account's limit, rate a second, and the
// milliseconds until they expire.
func (q *Quota) Grant(nowMs int64, account string, rate, units uint64) (granted uint64, expiresMs int64) {
	length := Window.Milliseconds()
	start := nowMs - nowMs%length
	w := q.windows[account]
	if w.start != start {
		w = window{start: start}
	}
	limit := rate * uint64(length) / uint64(time.Second.Milliseconds())
	left := uint64(0)
	if limit > w.granted {
		left = limit - w.granted
	}
	granted = min(units, left)
	w.granted += granted
	q.windows[account] = w
	return granted, start + length - nowMs
}

// All returns the windows in the order of the accounts.
func (q *Quota) All() []*statepb.Window {
	out := make([]*statepb.Window, 0, len(q.windows))
	for account, w := range q.windows {
		out = append(out, &statepb.Window{Account: account, StartMs: w.start, Granted: w.granted})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}
