package catalog

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// ColdMargin is how much later than the known end of a cold period an announcement must
// put it to count as an extension. Announcements of one period take different times to
// arrive, so that its end seems to move; each extension is told to every process. An
// upstream counts as cold for that much longer, so that a shorter extension is safe
// without being told.
const ColdMargin = 250 * time.Millisecond

// Cold returns how long after now the upstream stays cold, and whether it is cold. The
// time is 0 if the end is not known: the zone was marked, and the upstream has not
// announced itself since.
func (u Upstream) Cold(now time.Time) (left time.Duration, cold bool) {
	if u.zoneMark > u.ColdMark {
		return 0, true
	}
	if u.ColdSeq == 0 {
		return 0, false
	}
	left = u.ColdUntil.Add(ColdMargin).Sub(now)
	return max(0, left), left > 0
}

// withoutCold returns a copy of the upstream without what is known of cold periods.
func (u Upstream) withoutCold() Upstream {
	u.ColdSeq, u.ColdUntil, u.ColdMark = 0, time.Time{}, 0
	return u
}

// joinCold returns a copy of the upstream with what either of two announcements of one
// start says of cold periods: the period that was told last, and the highest mark. Of
// two ends of the same period the earlier one is the better estimate, as both add the
// time of the transfer to the true one.
func (u Upstream) joinCold(other Upstream) Upstream {
	if other.ColdSeq > u.ColdSeq || other.ColdSeq == u.ColdSeq && other.ColdUntil.Before(u.ColdUntil) {
		u.ColdSeq, u.ColdUntil = other.ColdSeq, other.ColdUntil
	}
	u.ColdMark = max(u.ColdMark, other.ColdMark)
	return u
}

// mergeCold applies what an announcement that is older than the known one says of cold
// periods. The caller holds mu.
func (t *Table) mergeCold(current, u Upstream) Outcome {
	if current.State == Left || current.StartTimeMs != u.StartTimeMs {
		return Stale
	}
	joined := current.joinCold(u)
	if joined == current {
		return Stale
	}
	t.put(current, joined)
	if equalExceptLiveness(current, joined) {
		return Stale
	}
	t.notify(current, joined)
	return Changed
}

// Announce applies an announcement that the upstream made to this process, with the end
// of its cold period in ColdUntil, zero if it is not cold. It counts as a change if a
// period begins or is extended, or if it is the first announcement after a mark.
func (t *Table) Announce(u Upstream) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.byID[u.ID]
	if u.State == Left || known && !t.isNewer(current, u) {
		return t.merge(u.withoutCold())
	}
	end := u.ColdUntil
	sameStart := known && current.StartTimeMs == u.StartTimeMs
	told := sameStart && current.ColdSeq > 0 && !end.After(current.ColdUntil.Add(ColdMargin))
	u = u.withoutCold()
	if !end.IsZero() && !told {
		u.ColdSeq, u.ColdUntil = max(1, u.Seq), end
	}
	u.ColdMark = t.marks[u.Zone]
	return t.merge(u)
}

// MarkCold marks all upstreams of an availability zone as cold until they have announced
// themselves to a process with the same or a higher mark. Marks are numbers that rise,
// such as log indices; a mark below the known one changes nothing. Each process has to
// be given the mark: it is not part of announcements.
func (t *Table) MarkCold(zone string, mark uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mark <= t.marks[zone] {
		return
	}
	t.marks[zone] = mark
	for id, u := range t.byID {
		if u.Zone == zone {
			u.zoneMark = mark
			t.byID[id] = u
		}
	}
	t.ready = nil
}

// coldLacks reports whether an announcement lacks what is known of cold periods of the
// same start.
func coldLacks(w *fleetpb.UpstreamWord, u Upstream) bool {
	return u.State != Left && (w.ColdSeq < u.ColdSeq || w.ColdMark < u.ColdMark)
}

// ceilMilliseconds returns a time in milliseconds, rounded up, and 0 if it is negative:
// an end that is told must not lie before the one that is known.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((max(0, d) + time.Millisecond - 1) / time.Millisecond)
}

// coldUntil returns the end of the cold period in a message received at now, zero if it
// tells of none.
func coldUntil(w *fleetpb.UpstreamWord, now time.Time) time.Time {
	if w.ColdSeq == 0 && w.ColdLeftMs <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(min(max(0, w.ColdLeftMs), maxColdLeftMs)) * time.Millisecond)
}

// maxColdLeftMs bounds what another process tells to be left of a cold period, so that
// the end stays within the range of times.
const maxColdLeftMs = int64(24 * time.Hour / time.Millisecond)
