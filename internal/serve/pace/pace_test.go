package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	tests := []struct {
		name string
		r    Request
		want Decision
	}{
		{"empty queues", Request{Work: ms(1000), UntilObjective: ms(2000), UntilDeadline: ms(8000)}, Start{}},
		{"on time behind a queue", Request{Work: ms(1000), Wait: ms(800), TotalWait: ms(800), UntilObjective: ms(2000), UntilDeadline: ms(8000)}, Start{}},
		{"the same, less urgent", Request{Work: ms(1000), Wait: ms(800), TotalWait: ms(800), UntilObjective: ms(2000), UntilDeadline: ms(8000), Rank: 2}, Hold{For: recheckInterval}},
		{"late behind a queue", Request{Work: ms(1000), Wait: ms(1500), TotalWait: ms(1500), UntilObjective: ms(2000), UntilDeadline: ms(8000)}, Hold{For: recheckInterval}},
		{"on time ahead of less urgent requests", Request{Work: ms(1000), Wait: ms(100), TotalWait: ms(1500), UntilObjective: ms(2000), UntilDeadline: ms(8000)}, Start{}},
		{"late behind less urgent requests", Request{Work: ms(1000), Wait: ms(100), TotalWait: ms(1500), UntilObjective: ms(-500), UntilDeadline: ms(8000)}, Hold{For: recheckInterval}},
		{"late with short queues", Request{Work: ms(1000), Wait: ms(100), TotalWait: ms(100), UntilObjective: ms(-500), UntilDeadline: ms(4000)}, Start{}},
		{"returned on time, behind a queue that holds newcomers", Request{Work: ms(1000), Wait: ms(900), TotalWait: ms(900), UntilObjective: ms(2000), UntilDeadline: ms(8000), Rank: 2, Returned: true}, Start{}},
		{"returned on time, but late", Request{Work: ms(1000), Wait: ms(1100), TotalWait: ms(1100), UntilObjective: ms(2000), UntilDeadline: ms(8000), Returned: true}, Hold{For: recheckInterval}},
		{"end after the deadline", Request{Work: ms(1000), Wait: ms(1500), TotalWait: ms(1500), UntilObjective: ms(-500), UntilDeadline: ms(2000)}, Refuse{RetryAfter: ms(1500)}},
		{"deadline too close even with empty queues", Request{Work: ms(1000), UntilObjective: ms(-500), UntilDeadline: ms(500)}, Refuse{}},
	}
	for _, tt := range tests {
		if got := Decide(tt.r); got != tt.want {
			t.Errorf("%s: got %#v, want %#v", tt.name, got, tt.want)
		}
	}
}

const (
	stages    = 3
	stageWork = 0.35 // seconds per stage
	perSecond = 40.0 // requests per second that each stage can serve
	objective = 2.5  // seconds
	deadline  = 10.0 // seconds
)

type job struct {
	arrived float64
	stage   int
	ready   float64
}

// simulate simulates three stages in a row, each a server with a fixed rate.
// Load peaks of twice their capacity last three seconds out of every nine. It
// returns the share of requests on time and the share served before their
// deadline.
func simulate(seed uint64, paced bool) (onTime, served float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var queues [stages][]job
	var held []job
	total, onTimeCount, done := 0, 0, 0
	credit := [stages]float64{}
	const step = 0.01
	for now := 0.0; now < 45; now += step {
		rate := 0.4 * perSecond
		if int(now)%9 < 3 {
			rate = 2 * perSecond
		}
		if now < 36 && rnd.Float64() < rate*step {
			total++
			held = append(held, job{arrived: now})
		}
		wait := 0.0
		for _, q := range queues {
			for _, j := range q {
				if j.ready <= now {
					wait += 1 / perSecond
				}
			}
		}
		var stillHeld []job
		for _, j := range held {
			d := Decide(Request{
				Work:           time.Duration(stages * stageWork * float64(time.Second)),
				Wait:           time.Duration(wait * float64(time.Second)),
				TotalWait:      time.Duration(wait * float64(time.Second)),
				UntilObjective: time.Duration((j.arrived + objective - now) * float64(time.Second)),
				UntilDeadline:  time.Duration((j.arrived + deadline - now) * float64(time.Second)),
			})
			switch {
			case !paced || d == Start{}:
				queues[0] = append(queues[0], j)
				wait += 1 / perSecond
			case d == Hold{For: recheckInterval}:
				stillHeld = append(stillHeld, j)
			}
		}
		held = stillHeld
		for i := range queues {
			credit[i] = min(2, credit[i]+perSecond*step)
			for credit[i] >= 1 && len(queues[i]) > 0 && queues[i][0].ready <= now {
				j := queues[i][0]
				queues[i] = queues[i][1:]
				credit[i]--
				j.ready = now + stageWork
				if i+1 < stages {
					queues[i+1] = append(queues[i+1], j)
					continue
				}
				end := j.ready - j.arrived
				if end <= objective {
					onTimeCount++
				}
				if end <= deadline {
					done++
				}
			}
		}
	}
	return float64(onTimeCount) / float64(total), float64(done) / float64(total)
}

// Under load peaks, pacing serves more requests on time, and not fewer in total.
func TestLoadPeak(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			paced, pacedServed := simulate(seed, true)
			unpaced, unpacedServed := simulate(seed, false)
			t.Logf("on time %.2f with pacing, %.2f without; served %.2f and %.2f", paced, unpaced, pacedServed, unpacedServed)
			if paced < unpaced+0.1 {
				t.Errorf("%.2f on time with pacing, %.2f without; want at least 0.1 more", paced, unpaced)
			}
			if pacedServed < unpacedServed-0.02 {
				t.Errorf("%.2f served with pacing, %.2f without; want at most 0.02 less", pacedServed, unpacedServed)
			}
		})
	}
}
