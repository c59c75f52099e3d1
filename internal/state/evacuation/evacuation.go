package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// MaxZones is the number of zones that are kept. A fleet has a handful; the limit
	// bounds the state against orders with made-up names.
	MaxZones = 64
	// MaxNameBytes is the maximum length of the name of a zone.
	MaxNameBytes = 128
	// initialIndex is the log index of the first snapshot, at which no zone is evacuated.
	initialIndex = 1
)

// InvalidZoneError reports a name that no availability zone can have.
type InvalidZoneError struct{ Reason string }

// Error returns the reason together with a remedy.
func (e *InvalidZoneError) Error() string {
	return fmt.Sprintf("the name of the zone %s; send the name that the upstreams of the zone announce", e.Reason)
}

// ValidateZone returns an *InvalidZoneError if no zone can have the name.
func ValidateZone(zone string) error {
	switch {
	case zone == "":
		return &InvalidZoneError{Reason: "is empty"}
	case len(zone) > MaxNameBytes:
		return &InvalidZoneError{Reason: fmt.Sprintf("is longer than %d bytes", MaxNameBytes)}
	case !utf8.ValidString(zone):
		return &InvalidZoneError{Reason: "is not UTF-8"}
	default:
		return nil
	}
}

// State holds the evacuated zones. It is part of the replicated state and not safe for
// concurrent use.
type State struct {
	// current is replaced and never modified, so that it can be shared.
	current *statepb.Evacuations
}

// Restore returns the State of a snapshot. nil stands for no evacuation.
func Restore(e *statepb.Evacuations) *State {
	if e.GetIndex() == 0 {
		e = &statepb.Evacuations{Index: initialIndex}
	}
	return &State{current: e}
}

// Proto returns the present state, which must not be modified.
func (s *State) Proto() *statepb.Evacuations { return s.current }

// Apply applies the order that was committed at a log index. The result has the index of
// the last change of any zone, or after a conflict that of the zone.
func (s *State) Apply(index uint64, o *statepb.Evacuate) *statepb.Result {
	if err := ValidateZone(o.Zone); err != nil {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: err.Error()}
	}
	i, known := find(s.current, o.Zone)
	evacuated := known && !s.current.Zones[i].Revoked
	if evacuated == !o.Revoke {
		return s.accepted()
	}
	if last := Seen(s.current, o.Zone); o.Seen < last {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_CONFLICT,
			Index:  last,
			Detail: fmt.Sprintf("another order has changed zone %s since this one arrived", o.Zone),
			Remedy: "send the order again if it is still meant",
		}
	}
	next := &statepb.Evacuations{Index: index, Zones: slices.Clone(s.current.Zones)}
	change := &statepb.ZoneEvacuation{Zone: o.Zone, Index: index, Revoked: o.Revoke}
	if known {
		next.Zones[i] = change
	} else {
		next.Zones = slices.Insert(next.Zones, i, change)
	}
	if len(next.Zones) > MaxZones && !dropOldestRevoked(next) {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_INVALID,
			Detail: fmt.Sprintf("%d zones are evacuated, which is the limit", MaxZones),
			Remedy: "restore one first",
		}
	}
	s.current = next
	return s.accepted()
}

func (s *State) accepted() *statepb.Result {
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Index: s.current.Index}
}

// dropOldestRevoked removes the zone whose evacuation was revoked first, and reports
// whether there was one.
func dropOldestRevoked(e *statepb.Evacuations) bool {
	oldest := -1
	for i, z := range e.Zones {
		if z.Revoked && (oldest < 0 || z.Index < e.Zones[oldest].Index) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	e.Zones = slices.Delete(e.Zones, oldest, oldest+1)
	return true
}

// find returns the position of a zone, or where it belongs, and whether it is there.
func find(e *statepb.Evacuations, zone string) (int, bool) {
	return slices.BinarySearchFunc(e.GetZones(), zone, func(z *statepb.ZoneEvacuation, name string) int {
		return strings.Compare(z.GetZone(), name)
	})
}

// Seen returns the log index of the last change of a zone, 0 if there was none. nil
// stands for an unknown state.
func Seen(e *statepb.Evacuations, zone string) uint64 {
	if i, known := find(e, zone); known {
		return e.Zones[i].Index
	}
	return 0
}

// MarkRevoked calls mark with each zone whose evacuation was revoked and the log index of
// that.
func MarkRevoked(e *statepb.Evacuations, mark func(zone string, index uint64)) {
	for _, z := range e.GetZones() {
		if z.Revoked {
			mark(z.Zone, z.Index)
		}
	}
}

// Zones returns the names of the evacuated zones, sorted.
func Zones(e *statepb.Evacuations) []string {
	var out []string
	for _, z := range e.GetZones() {
		if !z.Revoked {
			out = append(out, z.Zone)
		}
	}
	return out
}
