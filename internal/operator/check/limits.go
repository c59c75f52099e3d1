package check

import (
	"fmt"
	"math"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// minTokenBytes is the least size of a token in the body of a request.
const minTokenBytes = 1

// routeLimits reports limits of a route that contradict each other.
func (c *checker) routeLimits(r site.Route) {
	entry := routeEntry(r)
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.warn(RuleObjectiveAboveTimeout, entry, "objective", fmt.Sprintf("the objective of %v is above the timeout of %v", r.Objective, r.Timeout), "lower the objective or raise the timeout")
	}
	if r.Timeout > 0 && r.GapObjective > r.Timeout {
		c.warn(RuleObjectiveAboveTimeout, entry, "gap objective", fmt.Sprintf("the gap objective of %v is above the timeout of %v", r.GapObjective, r.Timeout), "lower the gap objective or raise the timeout")
	}
	if r.MaxAttempts < 1 {
		c.warn(RuleMaxAttemptsZero, entry, "max attempts", fmt.Sprintf("max attempts is %d, but a request is sent once", r.MaxAttempts), "set it to 1 or more")
	}
}

// stages reports stages that cannot run, or not in the time or memory that there is.
func (c *checker) stages(r site.Route) {
	ends := make([]time.Duration, len(r.Stages))
	var total time.Duration
	for i, s := range r.Stages {
		c.stage(r, i)
		start := c.inputsReady(r, i, ends)
		ends[i] = saturatingAdd(start, callTime(c.services[s.Service].Batching, 1))
		total = max(total, ends[i])
	}
	entry := routeEntry(r)
	problem := fmt.Sprintf("the stages take %v with one piece each, ", total)
	switch {
	case r.Timeout > 0 && total > r.Timeout:
		c.warn(RuleStagesTooLong, entry, "timeout", problem+fmt.Sprintf("longer than the timeout of %v", r.Timeout), "raise the timeout or remove stages")
	case r.AbandonAfter > 0 && total > r.AbandonAfter:
		c.warn(RuleCallersGone, entry, "objective", problem+fmt.Sprintf("and callers leave after %v without an event", r.AbandonAfter), "raise the objective or remove stages")
	case r.Objective > 0 && total > r.Objective:
		c.warn(RuleStagesTooLong, entry, "objective", problem+fmt.Sprintf("longer than the objective of %v", r.Objective), "raise the objective or remove stages")
	}
}

// inputsReady returns when the inputs of a stage are complete. It reports an input that expires
// before the others are there. ends holds the ends of the stages before it.
func (c *checker) inputsReady(r site.Route, i int, ends []time.Duration) time.Duration {
	var ready time.Duration
	for _, d := range r.Stages[i].DependsOn {
		if 0 <= d && d < i {
			ready = max(ready, ends[d])
		}
	}
	for _, d := range r.Stages[i].DependsOn {
		if d < 0 || d >= i {
			continue
		}
		b := c.services[r.Stages[d].Service].Batching
		if b != nil && b.ResultTTL > 0 && ready-ends[d] > b.ResultTTL {
			c.warn(RuleResultExpires, stageEntry(r, i), "inputs", fmt.Sprintf("the result of stage %d is kept for %v, but the other inputs take %v longer", d, b.ResultTTL, ready-ends[d]), "keep results longer or let the stage depend on the slower one")
		}
	}
	return ready
}

// stage reports a stage whose service cannot run it or has no room for its results.
func (c *checker) stage(r site.Route, i int) {
	s := r.Stages[i]
	entry := stageEntry(r, i)
	service, known := c.services[s.Service]
	b := service.Batching
	if b == nil {
		if known {
			c.warn(RuleStageNeverRuns, entry, "service", fmt.Sprintf("service %s does not process pieces", s.Service), "use another service or give it settings for pieces")
		}
		return
	}
	if b.ResultMemoryBytes <= 0 || s.ResultBytes <= 0 {
		return
	}
	if s.ResultBytes > b.ResultMemoryBytes {
		c.warn(RuleResultTooLarge, entry, "result size", fmt.Sprintf("a result of %d bytes exceeds the %d bytes that service %s has for results", s.ResultBytes, b.ResultMemoryBytes, s.Service), "lower the size or raise the memory for results")
		return
	}
	if fit := b.ResultMemoryBytes / s.ResultBytes; fit < int64(b.MaxBatch) {
		c.warn(RuleBatchTooLarge, entry, "result size", fmt.Sprintf("a batch of %d has results of %d bytes each, but service %s has room for %d", b.MaxBatch, s.ResultBytes, s.Service, fit), "lower the batch or raise the memory for results")
	}
}

func stageEntry(r site.Route, i int) string { return fmt.Sprintf("route %s, stage %d", r.Name, i) }

// batching reports a queue or a lifetime of results that does not fit the time of a call.
// timeout is the longest timeout of the routes with a stage of the service, 0 if there is none.
func (c *checker) batching(s site.Service, timeout time.Duration) {
	b := s.Batching
	if b == nil || b.Slots < 1 || b.MaxBatch < 1 || timeout == 0 {
		return
	}
	call := callTime(b, b.MaxBatch)
	if b.ResultTTL > 0 && call > b.ResultTTL {
		c.warn(RuleResultExpires, serviceEntry(s.Name), "result lifetime", fmt.Sprintf("a call with a full batch takes %v, but a result is kept for %v and expires while the next stage waits for one call", call, b.ResultTTL), "keep results longer or lower the batch")
	}
	if b.Queue < 1 {
		return
	}
	rounds := (b.Queue-1)/b.Slots + 1
	if wait := saturatingMultiply(call, rounds); wait > timeout {
		c.warn(RuleQueueTooLong, serviceEntry(s.Name), "queue", fmt.Sprintf("a full queue of %d calls takes %v, longer than the longest timeout of %v", b.Queue, wait, timeout), "shorten the queue or lower the batch")
	}
}

// cold reports a cold rate without a cold period, and the other way round.
func (c *checker) cold(s site.Service) {
	entry := serviceEntry(s.Name)
	if s.ColdPerSecond > 0 && s.ColdStartSeconds == 0 {
		c.warn(RuleColdIncomplete, entry, "cold period", fmt.Sprintf("the cold rate is %v a second, but an upstream is not cold after a start", s.ColdPerSecond), "set the cold period or remove the rate")
	}
	if s.ColdStartSeconds > 0 && s.ColdPerSecond == 0 {
		c.warn(RuleColdIncomplete, entry, "cold rate", fmt.Sprintf("the cold period is %v s, but without a cold rate it has no effect", s.ColdStartSeconds), "set the cold rate or remove the period")
	}
}

// longestTimeouts returns, for each service with stages, the longest timeout of the routes that
// the stages belong to.
func longestTimeouts(d *site.Document) map[string]time.Duration {
	longest := make(map[string]time.Duration)
	for _, r := range d.Routes {
		for _, s := range r.Stages {
			longest[s.Service] = max(longest[s.Service], r.Timeout)
		}
	}
	return longest
}

// limits reports limits on requests that are missing or too low for the services.
func (c *checker) limits() {
	const entry = "limits"
	l := c.document.Limits
	if l.HeaderBytes <= 0 {
		c.warn(RuleHeaderLimit, entry, "header size", fmt.Sprintf("the limit is %d, so only the gateways' own limit counts", l.HeaderBytes), "set the size of the largest header")
	}
	if l.HeaderTimeout <= 0 {
		c.warn(RuleHeaderLimit, entry, "header timeout", fmt.Sprintf("the limit is %v, so only the gateways' own limit counts", l.HeaderTimeout), "set the time in which callers send the header")
	}
	if l.BodyBytes <= 0 {
		c.warn(RuleBodyLimit, entry, "body size", fmt.Sprintf("the limit is %d, so only the gateways' own limit counts", l.BodyBytes), "set the size of the largest body")
		return
	}
	for _, s := range c.document.Services {
		if s.Engine == nil || s.Engine.Slots < 1 {
			continue
		}
		if prompt := s.Engine.KVCacheTokens / int64(s.Engine.Slots) * minTokenBytes; l.BodyBytes < prompt {
			c.warn(RuleBodyLimit, entry, "body size", fmt.Sprintf("the limit of %d bytes is below the %d bytes of a prompt that fills the share of a slot of service %s", l.BodyBytes, prompt, s.Name), "raise the limit")
		}
	}
}

// callTime returns the expected duration of a call with a number of pieces, 0 if it is not
// known.
func callTime(b *site.Batching, pieces int) time.Duration {
	if b == nil {
		return 0
	}
	return saturatingAdd(max(0, b.CallOverhead), saturatingMultiply(max(0, b.PieceTime), pieces))
}

// saturatingAdd adds durations that are not negative.
func saturatingAdd(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// saturatingMultiply multiplies a duration that is not negative by a positive number.
func saturatingMultiply(d time.Duration, n int) time.Duration {
	if n > 0 && d > math.MaxInt64/time.Duration(n) {
		return math.MaxInt64
	}
	return d * time.Duration(n)
}
