package breaker

import (
	"fmt"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// State is the state of a breaker.
type State int

// States of a breaker, ordered by how little they let through.
const (
	Closed State = iota
	// Suspected lets all requests through. Entries are asked for responses.
	Suspected
	// HalfOpen lets a request through now and then, as a trial.
	HalfOpen
	Open
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Closed:
		return "closed"
	case Suspected:
		return "suspected"
	case HalfOpen:
		return "half-open"
	case Open:
		return "open"
	default:
		return "unknown"
	}
}

// Breaker is the state of one segment's breaker. It is immutable.
type Breaker struct {
	Segment string
	State   State
	// Since is when the first of the upstreams ended that the state is based on. That of
	// a closed breaker is when the last response began, zero if none did.
	Since time.Time
	// Last is when the last of them ended.
	Last time.Time
	// Until is when an open breaker becomes half-open, and a half-open one closed unless
	// it is renewed.
	Until time.Time
}

// at returns the breaker as it is at now for a process that is told nothing new.
func (b Breaker) at(now time.Time) Breaker {
	if b.State == Open && now.After(b.Until) {
		b.State, b.Last, b.Until = HalfOpen, b.Until, b.Until.Add(halfOpenTerm)
	}
	if b.State < Open && now.After(b.Until) {
		b.State = Closed
	}
	return b
}

// Proto returns the breaker as a protobuf message sent at now.
func (b Breaker) Proto(now time.Time) *fleetpb.Breaker {
	return &fleetpb.Breaker{
		Segment: b.Segment,
		State:   fleetpb.BreakerState(b.State + 1),
		SinceMs: milliseconds(now.Sub(b.Since)),
		LeftMs:  milliseconds(b.Until.Sub(now)),
		LastMs:  milliseconds(now.Sub(b.Last)),
	}
}

// fromProto returns the breaker described by a message received at now.
func fromProto(p *fleetpb.Breaker, now time.Time) Breaker {
	return Breaker{
		Segment: p.GetSegment(),
		State:   State(max(0, int(p.GetState())-1)),
		Since:   before(now, p.GetSinceMs()),
		Until:   now.Add(time.Duration(p.GetLeftMs()) * time.Millisecond),
		Last:    before(now, p.GetLastMs()),
	}
}

// maxAge is the longest time that a message can state. A longer one is not told from
// never.
const maxAge = time.Hour

// milliseconds returns d in whole milliseconds, between 0 and maxAge.
func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d, maxAge)).Milliseconds()) }

// before returns the time that lies the given milliseconds before now.
func before(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// OpenError reports that a request is not sent because the breaker of a segment of its
// prompt is not closed.
type OpenError struct {
	Breaker Breaker
	// RetryAfter is the time after which a request may be sent.
	RetryAfter time.Duration
}

// Error returns the reason together with a remedy.
func (e *OpenError) Error() string {
	if e.Breaker.State == Open {
		return fmt.Sprintf("upstreams end when they answer prompts with the segment %s; leave it out", e.Breaker.Segment)
	}
	return fmt.Sprintf("upstreams have ended under prompts with the segment %s, which is being tried; send the request again", e.Breaker.Segment)
}
