package batcher

import "time"

// handleRetention is how long answered handles are remembered; it must exceed
// the time after which a duplicate answer may still arrive.
const handleRetention = 15 * time.Second

// handleHistory remembers the handles that an upstream has answered with, to
// detect duplicate answers. Answers to calls with pieces carry no call ID, so a
// second answer to an earlier call, received where the next answer is due, can
// be recognized only by its handles. The connection recognizes copies that come on it
// (transport.Answered.Identify), however late; the history also recognizes those that come
// on another connection.
type handleHistory struct {
	handles map[string]time.Time
	pruned  time.Time
}

// addNew records the handles of outputs and returns true, or returns false if
// one of them was answered before or comes twice.
func (h *handleHistory) addNew(now time.Time, outputs []Output) bool {
	h.prune(now)
	isNew := true
	for _, handle := range resultsOf(outputs) {
		if _, known := h.handles[handle]; known {
			isNew = false
		}
		h.handles[handle] = now
	}
	return isNew
}

// resultsOf returns the handles of the outputs that have one.
func resultsOf(outputs []Output) []string {
	var out []string
	for _, o := range outputs {
		if o.Handle != "" {
			out = append(out, o.Handle)
		}
	}
	return out
}

func (h *handleHistory) prune(now time.Time) {
	if h.handles == nil {
		h.handles = make(map[string]time.Time)
	}
	if now.Sub(h.pruned) < handleRetention/4 {
		return
	}
	h.pruned = now
	for handle, at := range h.handles {
		if now.Sub(at) > handleRetention {
			delete(h.handles, handle)
		}
	}
}
