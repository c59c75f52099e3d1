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
		{"quiet", Request{Work: ms(1000), Objective: ms(2000), Patience: ms(8000)}, Begin{}},
		{"on time behind a queue", Request{Work: ms(1000), Wait: ms(800), Last: ms(800), Objective: ms(2000), Patience: ms(8000)}, Begin{}},
		{"the same, less urgent", Request{Work: ms(1000), Wait: ms(800), Last: ms(800), Objective: ms(2000), Patience: ms(8000), Rank: 2}, Hold{For: holdFor}},
		{"late behind a queue", Request{Work: ms(1000), Wait: ms(1500), Last: ms(1500), Objective: ms(2000), Patience: ms(8000)}, Hold{For: holdFor}},
		{"on time before less urgent ones", Request{Work: ms(1000), Wait: ms(100), Last: ms(1500), Objective: ms(2000), Patience: ms(8000)}, Begin{}},
		{"late behind less urgent ones", Request{Work: ms(1000), Wait: ms(100), Last: ms(1500), Objective: ms(-500), Patience: ms(8000)}, Hold{For: holdFor}},
		{"late when it is calm", Request{Work: ms(1000), Wait: ms(100), Last: ms(100), Objective: ms(-500), Patience: ms(4000)}, Begin{}},
		{"after the caller has given up", Request{Work: ms(1000), Wait: ms(1500), Last: ms(1500), Objective: ms(-500), Patience: ms(2000)}, Refuse{Retry: ms(1500)}},
		{"no time left at all", Request{Work: ms(1000), Objective: ms(-500), Patience: ms(500)}, Refuse{}},
	}
	for _, tt := range tests {
		if got := Decide(tt.r); got != tt.want {
			t.Errorf("%s: got %#v, want %#v", tt.name, got, tt.want)
		}
	}
}

const (
	stages    = 3
	stageWork = 0.35 // seconds of a stage
	perSecond = 40.0 // requests that each stage serves
	objective = 2.5
	patience  = 10.0
)

type job struct {
	arrived float64
	stage   int
	ready   float64
}

// play sends a crest of twice what the stages serve for three seconds in each
// nine through three stages in a row, each a server with a fixed rate, and
// returns the share of requests on time and of those served at all.
func play(seed uint64, paced bool) (onTime, served float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var queues [stages][]job
	var held []job
	asked, good, done := 0, 0, 0
	credit := [stages]float64{}
	const step = 0.01
	for now := 0.0; now < 45; now += step {
		rate := 0.4 * perSecond
		if int(now)%9 < 3 {
			rate = 2 * perSecond
		}
		if now < 36 && rnd.Float64() < rate*step {
			asked++
			held = append(held, job{arrived: now})
		}
		waits := 0.0
		for _, q := range queues {
			for _, j := range q {
				if j.ready <= now {
					waits += 1 / perSecond
				}
			}
		}
		var still []job
		for _, j := range held {
			d := Decide(Request{
				Work:      time.Duration(stages * stageWork * float64(time.Second)),
				Wait:      time.Duration(waits * float64(time.Second)),
				Last:      time.Duration(waits * float64(time.Second)),
				Objective: time.Duration((j.arrived + objective - now) * float64(time.Second)),
				Patience:  time.Duration((j.arrived + patience - now) * float64(time.Second)),
			})
			switch {
			case !paced || d == Begin{}:
				queues[0] = append(queues[0], j)
				waits += 1 / perSecond
			case d == Hold{For: holdFor}:
				still = append(still, j)
			}
		}
		held = still
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
					good++
				}
				if end <= patience {
					done++
				}
			}
		}
	}
	return float64(good) / float64(asked), float64(done) / float64(asked)
}

// Under the crest, pacing serves clearly more on time, and no fewer at all.
func TestCrest(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			paced, pacedServed := play(seed, true)
			plain, plainServed := play(seed, false)
			t.Logf("on time %.2f paced, %.2f plain; served %.2f and %.2f", paced, plain, pacedServed, plainServed)
			if paced < plain+0.1 {
				t.Errorf("%.2f on time with pacing, %.2f without; want at least 0.1 more", paced, plain)
			}
			if pacedServed < plainServed-0.02 {
				t.Errorf("%.2f served with pacing, %.2f without; want no fewer", pacedServed, plainServed)
			}
		})
	}
}
