package catalog

import (
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/starts"
)

const (
	// MaxDelay is the longest time after which a message of an upstream still arrives.
	MaxDelay = time.Minute
	// maxRecentStarts is the number of starts of one upstream that are remembered. A clock
	// that goes back replaces so many at most, so that starts.MaxReplaced has room for two
	// that do.
	maxRecentStarts = starts.MaxReplaced / 2
)

// history is what is known of the starts of one upstream besides the last announcement.
type history struct {
	// ended are the starts that take no calls any more, as the log says or because others
	// have replaced them. endedAt is when the last one became known.
	ended   starts.Ended
	endedAt time.Time
	// recent are the starts that have stood in the table, the last one at the end. An
	// announcement of an earlier one is late, whatever it says of its start. switchedAt is
	// when the last one replaced another.
	recent     []int64
	switchedAt time.Time
}

// joinEnded adds ended starts and reports whether any of them was not known.
func (h *history) joinEnded(e starts.Ended, now time.Time) bool {
	joined := h.ended.Join(e)
	if joined == h.ended {
		return false
	}
	h.ended, h.endedAt = joined, now
	return true
}

// noteStart records that a start stands in the table.
func (h *history) noteStart(bornMs int64, now time.Time) {
	if n := len(h.recent); n > 0 {
		if h.recent[n-1] == bornMs {
			return
		}
		h.switchedAt = now
	}
	h.recent = slices.DeleteFunc(h.recent, func(b int64) bool { return b == bornMs })
	h.recent = append(h.recent, bornMs)
	if len(h.recent) > maxRecentStarts {
		h.recent = h.recent[1:]
	}
}

// after returns the recent starts that were born at a time or later and have not ended.
func (h *history) after(bornMs int64) []int64 {
	return slices.DeleteFunc(slices.Clone(h.recent), func(b int64) bool { return b < bornMs || h.ended.Has(b) })
}

// historyOf returns the history of an upstream, which it creates. The caller holds mu.
func (t *Table) historyOf(id string) *history {
	h := t.histories[id]
	if h == nil {
		h = &history{}
		t.histories[id] = h
	}
	return h
}

// outranks reports whether another start of an upstream is a later one than the known
// start: the one that was born later, unless just one of them is known to be replaced by
// a later one. The caller holds mu.
func (t *Table) outranks(u, current Upstream) bool {
	ended := t.historyOf(u.ID).ended
	if replaced := ended.Replaced(u.StartTimeMs); replaced != ended.Replaced(current.StartTimeMs) {
		return !replaced
	}
	return u.StartTimeMs > current.StartTimeMs
}

// learnReplaced takes over what an announcement says of replaced starts, and reports
// whether any of them was not known. The caller holds mu.
func (t *Table) learnReplaced(u Upstream) bool {
	return t.historyOf(u.ID).joinEnded(u.ended.OnlyReplaced(), u.LastSeen)
}

// NoteEnded records which starts of an upstream have ended, as the log says at now, and
// reports whether that is new. An upstream that is not known is entered as one that has
// left, so that other processes learn of it.
func (t *Table) NoteEnded(id string, ended starts.Ended, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.historyOf(id).joinEnded(ended, now) {
		return false
	}
	t.retire(id)
	if _, known := t.byID[id]; !known {
		t.put(Upstream{}, Upstream{ID: id, State: Left, StartTimeMs: ended.Last(), LastSeen: now})
	}
	return true
}

// retire lets an upstream drain if its start has ended, and reports whether it was ready.
// The caller holds mu.
func (t *Table) retire(id string) bool {
	current, known := t.byID[id]
	if !known {
		return false
	}
	if current.State != Ready || !t.historyOf(id).ended.Has(current.StartTimeMs) {
		t.put(current, current)
		return false
	}
	retired := current.WithState(Draining)
	t.put(current, retired)
	t.notify(current, retired)
	return true
}

// Standing is what an announcement of an upstream means beside what a table knows.
type Standing int

// Standings.
const (
	// Known announcements are of the start that is in the table.
	Known Standing = iota
	// Newcomer announcements are of a later start than the known one, if any.
	Newcomer
	// Ended announcements are of a start that takes no calls any more.
	Ended
	// Disputed announcements are of a start that has not been seen and says that it was
	// born earlier than the known one: they are late, or the clock of the upstream's
	// machine has gone back. Those for the address of another upstream are disputed too.
	Disputed
)

// Judgement is the Standing of an announcement.
type Judgement struct {
	Standing Standing
	// Other is what a Disputed announcement is disputed by. It has stopped if it is
	// silent; Replaced are its starts that have ended then.
	Other    Upstream
	Replaced []int64
}

// Judge returns the standing of an announcement that an upstream makes to this process.
func (t *Table) Judge(u Upstream) Judgement {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byID[u.ID]
	h := t.historyOf(u.ID)
	same := known && current.StartTimeMs == u.StartTimeMs
	earlier := known && !same && !t.outranks(u, current)
	switch {
	case h.ended.Has(u.StartTimeMs), (same || earlier) && current.State != Ready, earlier && slices.Contains(h.recent, u.StartTimeMs):
		return Judgement{Standing: Ended}
	case earlier:
		return Judgement{Standing: Disputed, Other: current, Replaced: h.after(u.StartTimeMs)}
	}
	if holder, held := t.byID[t.byAddr[u.Address]]; held && holder.ID != u.ID && holder.State != Left {
		later := holder.StartTimeMs > u.StartTimeMs && !t.historyOf(holder.ID).ended.Replaced(holder.StartTimeMs)
		if holder.State == Ready && !holder.Silent || later {
			return Judgement{Standing: Disputed, Other: holder, Replaced: []int64{holder.StartTimeMs}}
		}
	}
	if same {
		return Judgement{Standing: Known}
	}
	return Judgement{Standing: Newcomer}
}

// Heeds reports whether the table is in accordance with an announcement: an upstream that
// says that it is ready may be called, and a start that takes no calls gets none.
func (t *Table) Heeds(u Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byID[u.ID]
	same := known && current.StartTimeMs == u.StartTimeMs
	if u.State == Ready {
		return same && current.State == Ready
	}
	return same && current.State != Ready || t.historyOf(u.ID).ended.Has(u.StartTimeMs)
}

// LeavingStart returns the start of an upstream that a message without a start means at
// now: the one that stands in the table. It returns false if that is not certain: there is
// none, or it takes calls and an earlier one may have sent the message.
func (t *Table) LeavingStart(id string, now time.Time) (bornMs int64, certain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byID[id]
	if !known {
		return 0, false
	}
	h := t.historyOf(id)
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < MaxDelay }
	return current.StartTimeMs, current.State != Ready || !recent(h.endedAt) && !recent(h.switchedAt)
}

// expireHistories forgets what no message can refer to any more. A process that was cut off
// for longer may still hold replaced starts: these are remembered as long as the upstream
// takes calls. The caller holds mu.
func (t *Table) expireHistories(now time.Time) {
	for id, h := range t.histories {
		u, known := t.byID[id]
		if now.Sub(h.endedAt) > tombstoneTTL {
			h.ended = h.ended.OnlyReplaced()
			if u.State != Ready || u.Silent {
				h.ended = starts.Ended{}
			}
		}
		if now.Sub(h.switchedAt) > tombstoneTTL && len(h.recent) > 1 {
			h.recent = h.recent[len(h.recent)-1:]
		}
		if !known && h.ended == (starts.Ended{}) {
			delete(t.histories, id)
		}
	}
}
