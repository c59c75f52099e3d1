package catalog

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// State is the state that an upstream reports of itself. It only increases
// within one start.
type State int

// States of an upstream.
const (
	Ready State = iota + 1
	Draining
	Left
)

// String returns the state's name.
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

// Upstream is the last announcement of an upstream. It is immutable.
type Upstream struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Version is the upstream's software version.
	Version string
	Slots   int
	State   State
	// StartTimeMs is the upstream's start in Unix milliseconds, or 0 if unknown.
	StartTimeMs int64
	// Seq increases with each announcement of one start.
	Seq uint64
	// LastSeen is when the announcement was received from the upstream. A process
	// that upstreams do not announce themselves to learns only of announcements that
	// change something, and sets it anew when the upstream falls silent.
	LastSeen time.Time
	// Silent is set if the upstream has not been heard for so long that it should be
	// called only if there is no other.
	Silent bool
	// ColdSeq is the Seq of the announcement that began or last extended the cold
	// period of this start, 0 if there was none.
	ColdSeq uint64
	// ColdUntil is the end of the cold period: the time of receipt plus the time that
	// was left.
	ColdUntil time.Time
	// ColdMark is the highest mark on the upstream's zone, see Table.MarkCold, that the
	// upstream has announced itself after.
	ColdMark uint64
	// ended are the replaced starts of the upstream, see package starts.
	ended starts.Ended
	// zoneMark is the mark on the upstream's zone in this process.
	zoneMark uint64
}

// silentAfter is the time without an announcement after which an upstream is
// silent. A live upstream stays below it: control instances exchange what they hear
// every few tenths of a second.
const silentAfter = 2 * time.Second

// WithState returns a copy of the upstream in state s.
func (u Upstream) WithState(s State) Upstream {
	u.State = s
	return u
}

// withSilent returns a copy of the upstream with the given silence.
func (u Upstream) withSilent(silent bool) Upstream {
	u.Silent = silent
	return u
}

// Proto returns the upstream as a protobuf message sent at now.
func (u Upstream) Proto(now time.Time) *fleetpb.UpstreamWord {
	return &fleetpb.UpstreamWord{
		Id:      u.ID,
		Service: u.Service,
		Address: u.Address,
		Zone:    u.Zone,
		Slots:   uint32(u.Slots),
		State:   fleetpb.UpstreamState(u.State),
		BornMs:  u.StartTimeMs,
		Seq:     u.Seq,
		Version: u.Version,
		AgeMs:   now.Sub(u.LastSeen).Milliseconds(),
		Silent:  u.Silent,

		ColdSeq:    u.ColdSeq,
		ColdLeftMs: ceilMilliseconds(u.ColdUntil.Sub(now)),
		ColdMark:   u.ColdMark,

		ReplacedMs: u.ended.ReplacedMs(),
	}
}

// FromProto returns the upstream described by a message received at now. It leaves
// Silent unset: each process judges silence for itself.
func FromProto(w *fleetpb.UpstreamWord, now time.Time) Upstream {
	return Upstream{
		ID:          w.Id,
		Service:     w.Service,
		Address:     w.Address,
		Zone:        w.Zone,
		Version:     w.Version,
		Slots:       int(w.Slots),
		State:       State(w.State),
		StartTimeMs: w.BornMs,
		Seq:         w.Seq,
		LastSeen:    now.Add(-time.Duration(w.AgeMs) * time.Millisecond),
		ColdSeq:     w.ColdSeq,
		ColdUntil:   coldUntil(w, now),
		ColdMark:    w.ColdMark,
		ended:       starts.Ended{}.WithReplaced(w.ReplacedMs...),
	}
}
