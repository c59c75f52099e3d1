package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
)

// arrival is one request of a load.
type arrival struct {
	at       time.Duration
	account  string
	pipeline string
	tokens   uint32
	deadline time.Duration
	long     bool
}

// load is a seeded list of arrivals, so that two policies get the same.
type load struct {
	arrivals []arrival
	length   time.Duration
}

// rate is the arrivals a second at a time of a load.
type rate func(at time.Duration) float64

// steady is the same rate all the time.
func steady(perSecond float64) rate { return func(time.Duration) float64 { return perSecond } }

// makeLoad draws arrivals with exponential gaps; shape fills each in.
func makeLoad(seed uint64, length time.Duration, r rate, shape func(rnd *rand.Rand, a *arrival)) load {
	rnd := rand.New(rand.NewPCG(seed, 1))
	out := load{length: length}
	for at := time.Duration(0); at < length; {
		at += time.Duration(rnd.ExpFloat64() / r(at) * float64(time.Second))
		a := arrival{at: at, deadline: time.Second}
		shape(rnd, &a)
		out.arrivals = append(out.arrivals, a)
	}
	return out
}

// tally is what came of a load.
type tally struct {
	sent, admitted, inTime, refused, failed, long, longDone int
	attempts, stages                                        int
	short                                                   *hdrhistogram.Histogram
	// doneIn counts the requests that ended in time, by the second in which
	// they arrived.
	doneIn map[int]int
	mu     sync.Mutex
}

// share is part of whole in percent, 100 where there is no whole.
func share(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}

// run sends a load to the entries in turn. Arrivals never wait for answers.
func (l load) run(f *fleet) *tally {
	out := &tally{short: newHistogram(), doneIn: make(map[int]int)}
	var wg sync.WaitGroup
	began := time.Now()
	for i, a := range l.arrivals {
		time.Sleep(a.at - time.Since(began))
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), a.deadline+5*time.Second)
			defer cancel()
			r, err := call(ctx, ask{
				entry: f.entry(i), account: a.account, pipeline: a.pipeline, deadline: a.deadline,
				body: caller.Body{Input: "notes", Tokens: a.tokens},
			})
			out.take(a, r, err)
		}()
	}
	wg.Wait()
	return out
}

func (t *tally) take(a arrival, r reply, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.long {
		t.long++
	}
	kind := refuse.Kind(r.refusal.Kind)
	if err == nil && (kind == refuse.Overload || kind == refuse.OverShare) {
		t.refused++
		return
	}
	t.admitted++
	for _, s := range r.answer.Stages {
		t.attempts += s.Attempts
		t.stages++
	}
	if err != nil || !r.done() {
		t.failed++
		return
	}
	if a.long {
		t.longDone++
	} else {
		_ = t.short.RecordValue(r.total.Microseconds())
	}
	if r.total <= a.deadline {
		t.inTime++
		t.doneIn[int(a.at/time.Second)]++
	}
}
