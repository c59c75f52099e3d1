// Package backoff decides which upstreams a process may send requests to, by what the
// upstreams say of themselves in their answers: that they leave, or that they want no
// requests for a while.
//
// Leaving belongs to one start of an upstream, its ID and start time, and ends only with a
// later start. A time without requests closes the start for this process alone. When it
// is over, a random part is added so that not all processes return at one moment, and
// requests are then let through one by one at a rate that doubles every returnHalving,
// until returnTime has passed. An answer to a request of an earlier start says nothing
// about a later one.
//
// The package has no clock and no socket. Callers pass the time as a duration on a clock
// that also counts while the machine is suspended.
//
// # Usage
//
//	t := backoff.NewTable(backoff.Config{Random: rand.Float64})
//	for _, e := range t.Observe(now, start, backoff.Signal{RetryAfter: 3 * time.Second}) {
//		log(e)
//	}
//	switch d := t.Decide(now, start); d.State {
//	case backoff.Open, backoff.Leaving:
//	case backoff.Closed, backoff.Returning: // a request may be sent after d.Wait
//	}
//	if err := t.Admit(now, start); err == nil {
//		send()
//	}
package backoff
