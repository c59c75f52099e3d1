// Package evacuation is the part of the replicated state that holds the evacuated
// availability zones.
//
// An operator's order evacuates a zone, so that its upstreams get no requests, or
// revokes that. The log orders the orders against each other. Each carries the log index
// of the zone's last change that its proposer knew of when the order arrived: a copy of
// an order that is proposed late must not undo a later one. A copy that asks for the
// present state changes nothing and succeeds, so that a command may be repeated.
//
// The package has no clock and does no I/O.
//
// # Usage
//
//	s := evacuation.Restore(snapshot.Evacuations)
//	result := s.Apply(index, &statepb.Evacuate{Zone: zone, Seen: evacuation.Seen(known, zone)})
//	zones := evacuation.Zones(s.Proto())
package evacuation
