package catalog

import (
	"time"

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
	// LastSeen is when the announcement was received from the upstream.
	LastSeen time.Time
}

// unresponsiveAfter is the time without an announcement after which an upstream
// is considered unresponsive. A live upstream stays below it: its announcements
// are propagated every few tenths of a second.
const unresponsiveAfter = 2200 * time.Millisecond

// Unresponsive reports whether the upstream has not been seen for so long that
// it should be called only if there is no other.
func (u Upstream) Unresponsive(now time.Time) bool { return now.Sub(u.LastSeen) > unresponsiveAfter }

// WithState returns a copy of the upstream in state s.
func (u Upstream) WithState(s State) Upstream {
	u.State = s
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
	}
}

// FromProto returns the upstream described by a message received at now.
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
	}
}
