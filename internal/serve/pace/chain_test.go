package pace

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// twoStages returns a chain of two stages of 300 ms with an engine of 150 ms.
func twoStages() Chain {
	return Chain{
		Stages:         []Stage{{CallTime: 300 * time.Millisecond, ResultTTL: 4 * time.Second}, {DependsOn: []int{0}, CallTime: 300 * time.Millisecond, ResultTTL: 4 * time.Second}},
		Engine:         150 * time.Millisecond,
		Fetch:          70 * time.Millisecond,
		UntilObjective: 2 * time.Second,
		UntilDeadline:  8 * time.Second,
	}
}

// Guards against chains that start although a later stage has no capacity, and against ones
// that are held although its queue is worked off while the earlier stages run.
func TestDecideChain(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	backlogs := func(c Chain, waits ...int) Chain {
		for i, w := range waits {
			c.Stages[i].Backlog, c.Stages[i].TotalBacklog = ms(w), ms(w)
		}
		return c
	}
	hold := Hold{For: recheckInterval}
	tests := []struct {
		name   string
		chain  Chain
		change func(c *Chain)
		want   Decision
	}{
		{"empty queues", twoStages(), nil, Start{}},
		{"later queue is worked off in time", backlogs(twoStages(), 0, 300), nil, Start{}},
		{"sum of the waits would be late", backlogs(twoStages(), 1000, 1300), nil, Start{}},
		{"later queue is too long", backlogs(twoStages(), 0, 1600), nil, hold},
		{"first queue is too long", backlogs(twoStages(), 1300, 0), nil, hold},
		{"the same, less urgent", backlogs(twoStages(), 0, 1200), func(c *Chain) { c.Rank = 5 }, hold},
		{"the same, returned on time", backlogs(twoStages(), 0, 1500), func(c *Chain) { c.Rank, c.Returned = 5, true }, Start{}},
		{"late, and nobody waits", twoStages(), func(c *Chain) { c.UntilObjective = -ms(500) }, Start{}},
		{"late, behind others", backlogs(twoStages(), 0, 900), func(c *Chain) { c.UntilObjective = -ms(500) }, hold},
		{"end after the deadline", backlogs(twoStages(), 0, 1600), func(c *Chain) { c.UntilDeadline = ms(2000) }, Refuse{RetryAfter: ms(1300)}},
		{"deadline too close even with empty queues", twoStages(), func(c *Chain) { c.UntilObjective, c.UntilDeadline = -ms(500), ms(500) }, Refuse{}},
		{"results would expire", backlogs(twoStages(), 0, 4000), func(c *Chain) { c.UntilObjective, c.UntilDeadline = ms(8000), ms(9000) }, hold},
		{"results would expire, and a later start is too late for another stage", backlogs(twoStages(), 0, 4000), func(c *Chain) {
			c.Stages = append(c.Stages, Stage{DependsOn: []int{0}, CallTime: ms(3500)})
			c.UntilObjective, c.UntilDeadline = ms(8000), ms(4600)
		}, Refuse{RetryAfter: ms(770)}},
		{"results of unknown lifetime", backlogs(twoStages(), 0, 4000), func(c *Chain) {
			c.UntilObjective, c.UntilDeadline, c.Stages[0].ResultTTL = ms(8000), ms(9000), 0
		}, Start{}},
		{"a stage without pieces passes its inputs on", backlogs(twoStages(), 0, 4000), func(c *Chain) {
			c.UntilObjective, c.UntilDeadline = ms(8000), ms(9000)
			c.Stages = append(c.Stages[:1:1], Stage{DependsOn: []int{0}}, Stage{DependsOn: []int{1}, CallTime: ms(300), Backlog: ms(4000), TotalBacklog: ms(4000)})
		}, hold},
		{"the engine waits for another stage", backlogs(twoStages(), 0, 4000), func(c *Chain) {
			c.UntilObjective, c.UntilDeadline = ms(8000), ms(9000)
			c.Stages[1].DependsOn = nil
		}, hold},
		{"no stages", Chain{Engine: ms(100), UntilObjective: ms(1000), UntilDeadline: ms(1000)}, nil, Start{}},
	}
	for _, tt := range tests {
		if tt.change != nil {
			tt.change(&tt.chain)
		}
		if got := DecideChain(tt.chain); got.Decision != tt.want {
			t.Errorf("%s: got %#v, want %#v; forecast %+v", tt.name, got.Decision, tt.want, got.OnTime)
		}
	}
}

// drawChain returns a chain of up to five stages, some without pieces.
func drawChain(t *rapid.T) Chain {
	duration := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
	}
	c := Chain{
		Engine:         duration("engine", 0, 500),
		Fetch:          duration("fetch", 0, 100),
		UntilObjective: duration("objective", -1000, 9000),
		UntilDeadline:  duration("deadline", 0, 12_000),
		Rank:           rapid.IntRange(0, 9).Draw(t, "rank"),
		Returned:       rapid.Bool().Draw(t, "returned"),
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "stages") {
		s := Stage{ResultTTL: duration("ttl", 0, 5000), Backlog: duration("backlog", 0, 6000)}
		s.TotalBacklog = s.Backlog + duration("more", 0, 2000)
		if rapid.IntRange(0, 3).Draw(t, "pieces") > 0 {
			s.CallTime = duration("call", 1, 800)
		}
		for dep := range i {
			if rapid.Bool().Draw(t, "depends") {
				s.DependsOn = append(s.DependsOn, dep)
			}
		}
		c.Stages = append(c.Stages, s)
	}
	return c
}

// Guards against a forecast in which a stage starts without its inputs or ahead of its
// queue, and against decisions that contradict the forecast.
func TestForecastHoldsForAnyChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawChain(t)
		out := DecideChain(c)
		for i, s := range c.Stages {
			span := out.OnTime.Stages[i]
			if s.CallTime > 0 && span.Start < s.Backlog {
				t.Errorf("stage %d starts after %v, before its backlog of %v is worked off", i, span.Start, s.Backlog)
			}
			for _, dep := range s.DependsOn {
				if end := out.OnTime.Stages[dep].End; span.Start < end {
					t.Errorf("stage %d starts after %v, before stage %d ends after %v", i, span.Start, dep, end)
				}
			}
			if got, want := out.OnTime.End, span.End+c.Engine; got < want {
				t.Errorf("end after %v, want %v at least", got, want)
			}
		}
		switch d := out.Decision.(type) {
		case Start:
			if out.OnTime.Excess > 0 && out.Late.Excess > 0 {
				t.Errorf("started although results expire %v too early", out.OnTime.Excess)
			}
			if out.OnTime.End > c.UntilObjective && out.Late.End > c.UntilDeadline {
				t.Error("started although it is neither on time nor in time")
			}
		case Hold:
			if out.Late.End > c.UntilDeadline {
				t.Errorf("held although it ends after %v, want a refusal at once after %v", out.Late.End, c.UntilDeadline)
			}
		case Refuse:
			if d.RetryAfter < 0 {
				t.Errorf("retry after %v, want 0 at least", d.RetryAfter)
			}
			if idle := c.forecast(noQueues, 0); d.RetryAfter == 0 && idle.End <= c.UntilDeadline {
				t.Error("refused without a time to retry although only queues are in the way")
			}
		}
	})
}

// Guards against requests that start because a queue is longer. A longer queue may start one
// whose results would have expired while it waited for those of another stage.
func TestLongerQueueStartsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawChain(t)
		if len(c.Stages) == 0 {
			return
		}
		for i := range c.Stages {
			c.Stages[i].ResultTTL = 0
		}
		if _, start := DecideChain(c).Decision.(Start); start {
			return
		}
		last := len(c.Stages) - 1
		more := time.Duration(rapid.IntRange(0, 5000).Draw(t, "longer")) * time.Millisecond
		c.Stages = append(c.Stages[:last:last], c.Stages[last])
		c.Stages[last].Backlog += more
		c.Stages[last].TotalBacklog += more
		if _, start := DecideChain(c).Decision.(Start); start {
			t.Errorf("a queue that is %v longer at the last stage starts the request", more)
		}
	})
}

func BenchmarkDecideChain(b *testing.B) {
	c := Chain{UntilObjective: 2 * time.Second, UntilDeadline: 8 * time.Second}
	for i := range 6 {
		s := Stage{CallTime: 300 * time.Millisecond, Backlog: time.Second, TotalBacklog: time.Second, ResultTTL: 4 * time.Second}
		for dep := range i {
			s.DependsOn = append(s.DependsOn, dep)
		}
		c.Stages = append(c.Stages, s)
	}
	for b.Loop() {
		DecideChain(c)
	}
}
