// Package timeline records the decisions of a process as events and merges the
// events of several processes into one causal order.
//
// Each process timestamps its events with a hybrid logical clock. Every message
// between processes carries the sender's clock, so that the timestamp of an event
// is always before those of the events that it causes.
//
// The clock follows S. Kulkarni et al., "Logical Physical Clocks" (2014).
//
// # Usage
//
//	rec := timeline.NewRecorder(timeline.Config{Process: "entry-1", Log: log})
//	rec.Add("dispatch", requestID, "agent agent-3 attempt 1")
//	merged := timeline.Merge(eventsOfEachProcess...)
package timeline
