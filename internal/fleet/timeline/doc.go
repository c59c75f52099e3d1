// Package timeline records the decisions of a process and merges those of all
// processes into one order.
//
// Each process stamps its events with a hybrid logical clock, which rides on
// every message, so that an event which caused another never comes after it.
// The clock follows S. Kulkarni et al., "Logical Physical Clocks" (2014).
//
// # Usage
//
//	rec := timeline.NewRecorder(timeline.Config{Process: "entry-1", Log: log})
//	rec.Add("dispatch", requestID, "agent agent-3 attempt 1")
//	merged := timeline.Merge(eventsOfEachProcess...)
package timeline
