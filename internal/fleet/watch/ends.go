package watch

import (
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// SetEndedStarts records the ended starts of upstreams that the log holds, unless their log
// index is at most that of the known ones, and tells the watchers of those that are new.
func (h *Hub) SetEndedStarts(e *statepb.EndedStarts) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.GetIndex() <= h.endedStarts.GetIndex() {
		return
	}
	now := time.Now()
	for _, u := range slices.Backward(e.GetUpstreams()) {
		if u.GetIndex() <= h.endedStarts.GetIndex() {
			break
		}
		if h.cfg.Table.NoteEnded(u.GetUpstream(), starts.FromProto(u), now) {
			h.publish(key{kind: upstreamChange, id: u.GetUpstream()})
		}
	}
	h.endedStarts = e
}

// NoteEnded records ended starts of an upstream that this instance has committed, and tells
// the watchers of them. It need not wait until the log tells of them.
func (h *Hub) NoteEnded(id string, ended starts.Ended) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cfg.Table.NoteEnded(id, ended, time.Now()) {
		h.publish(key{kind: upstreamChange, id: id})
	}
}

// EndedStarts returns the ended starts that the log holds, nil while they are not known.
// They must not be modified.
func (h *Hub) EndedStarts() *statepb.EndedStarts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedStarts
}

// EndRecorded reports whether the log is known to hold the end of a start.
func (h *Hub) EndRecorded(id string, bornMs int64) bool {
	for _, u := range h.EndedStarts().GetUpstreams() {
		if u.GetUpstream() == id {
			return starts.FromProto(u).Has(bornMs)
		}
	}
	return false
}

// Upstreams returns the table of upstreams.
func (h *Hub) Upstreams() *catalog.Table { return h.cfg.Table }
