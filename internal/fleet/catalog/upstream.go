package catalog

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// State is an upstream's own state. It only rises within one start.
type State int

// The states.
const (
	Ready State = iota + 1
	Draining
	Left
)

// String names the state.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Upstream is what an upstream last said of itself. It is immutable.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Version is the version of its software.
	Version string
	Slots   int
	State   State
	// Born is the Unix millisecond of its start, 0 where it is not known.
	Born int64
	// Seq rises with each word of one start.
	Seq uint64
	// Heard is when the word was received from the upstream.
	Heard time.Time
}

// silentAfter is the silence from which an upstream is doubtful. One that lives
// is never older: its words are spread every few tenths of a second.
const silentAfter = 2200 * time.Millisecond

// Silent reports whether nothing was heard of the upstream for so long that it
// should be called only where there is no other.
func (u Upstream) Silent(now time.Time) bool { return now.Sub(u.Heard) > silentAfter }

// WithState returns the upstream in another state.
func (u Upstream) WithState(s State) Upstream {
	u.State = s
	return u
}

// Word returns the wire form of the upstream.
func (u Upstream) Word(now time.Time) *fleetpb.UpstreamWord {
	return &fleetpb.UpstreamWord{
		Id:      u.ID,
		Service: u.Service,
		Address: u.Address,
		Zone:    u.Zone,
		Slots:   uint32(u.Slots),
		State:   fleetpb.UpstreamState(u.State),
		BornMs:  u.Born,
		Seq:     u.Seq,
		Version: u.Version,
		AgeMs:   now.Sub(u.Heard).Milliseconds(),
	}
}

// FromWord returns the upstream of a wire form that was received at now.
func FromWord(w *fleetpb.UpstreamWord, now time.Time) Upstream {
	return Upstream{
		ID:      w.Id,
		Service: w.Service,
		Address: w.Address,
		Zone:    w.Zone,
		Version: w.Version,
		Slots:   int(w.Slots),
		State:   State(w.State),
		Born:    w.BornMs,
		Seq:     w.Seq,
		Heard:   now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
	}
}
