package starts

import (
	"slices"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// MaxReplaced is the number of replaced starts of one upstream that are kept. Each was
// followed by a clock that went back within the time for which records are kept.
const MaxReplaced = 8

// Ended tells which starts of one upstream have ended. The zero value stands for none. It
// is comparable: equal values stand for the same starts.
type Ended struct {
	// beforeMs is the time before which all starts were born that have ended, in Unix
	// milliseconds; 0 stands for none.
	beforeMs int64
	// replaced are starts that were not born before beforeMs and have ended all the same,
	// the latest first. Unused elements are 0.
	replaced [MaxReplaced]int64
}

// Has reports whether a start has ended.
func (e Ended) Has(bornMs int64) bool { return bornMs < e.beforeMs || e.Replaced(bornMs) }

// Replaced reports whether a start has ended because another one has replaced it that says
// that it was born earlier.
func (e Ended) Replaced(bornMs int64) bool {
	return bornMs != 0 && slices.Contains(e.replaced[:], bornMs)
}

// Last returns the latest start that has ended, 0 if there is none.
func (e Ended) Last() int64 { return max(e.beforeMs-1, e.replaced[0], 0) }

// WithEnd returns e with the end of a start and of all that were born before it. The end of
// a replaced start says nothing of the others.
func (e Ended) WithEnd(bornMs int64) Ended {
	if e.Replaced(bornMs) {
		return e
	}
	return e.Join(Ended{beforeMs: bornMs + 1})
}

// WithReplaced returns e with starts that another one has replaced. Starts that do not fit
// are left out, the earliest first.
func (e Ended) WithReplaced(bornMs ...int64) Ended {
	all := append(slices.Clone(e.replaced[:]), bornMs...)
	slices.Sort(all)
	all = slices.Compact(all)
	all = slices.DeleteFunc(all, func(b int64) bool { return b < e.beforeMs || b <= 0 })
	slices.Reverse(all)
	e.replaced = [MaxReplaced]int64{}
	copy(e.replaced[:], all)
	return e
}

// Join returns the starts that have ended according to either of two values.
func (e Ended) Join(other Ended) Ended {
	e.beforeMs = max(e.beforeMs, other.beforeMs)
	return e.WithReplaced(other.replaced[:]...)
}

// OnlyReplaced returns the ended starts without those that the time of their birth shows.
func (e Ended) OnlyReplaced() Ended { return Ended{replaced: e.replaced} }

// ReplacedMs returns the replaced starts, the latest first.
func (e Ended) ReplacedMs() []int64 {
	n := 0
	for n < MaxReplaced && e.replaced[n] > 0 {
		n++
	}
	return slices.Clone(e.replaced[:n])
}

// FromProto returns the ended starts of a record.
func FromProto(u *statepb.UpstreamEnds) Ended {
	return Ended{beforeMs: u.GetBeforeMs()}.WithReplaced(u.GetReplacedMs()...)
}

// ofCommand returns the ended starts that a command adds to the known ones.
func ofCommand(known Ended, c *statepb.EndStart) Ended {
	if len(c.ReplacedMs) > 0 {
		return known.WithReplaced(c.ReplacedMs...)
	}
	return known.WithEnd(c.BornMs)
}
