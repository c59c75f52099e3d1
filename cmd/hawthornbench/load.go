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

// arrival is one request of a load and the time at which it is sent.
type arrival struct {
	at       time.Duration
	account  string
	pipeline string
	tokens   uint32
	deadline time.Duration
	long     bool
}

// load is a list of arrivals. It depends only on its seed, so that different
// policies are compared under the same load.
type load struct {
	arrivals []arrival
	length   time.Duration
}

// rateFunc returns the arrival rate, in requests per second, at a time of a load.
type rateFunc func(at time.Duration) float64

// constantRate returns a rateFunc of a constant rate.
func constantRate(perSecond float64) rateFunc {
	return func(time.Duration) float64 { return perSecond }
}

// generateLoad draws arrivals with exponentially distributed gaps; fill sets the
// other fields of each arrival.
func generateLoad(seed uint64, length time.Duration, r rateFunc, fill func(rnd *rand.Rand, a *arrival)) load {
	rnd := rand.New(rand.NewPCG(seed, 1))
	out := load{length: length}
	for at := time.Duration(0); at < length; {
		at += time.Duration(rnd.ExpFloat64() / r(at) * float64(time.Second))
		a := arrival{at: at, deadline: time.Second}
		fill(rnd, &a)
		out.arrivals = append(out.arrivals, a)
	}
	return out
}

// loadResult counts the outcomes of the requests of a load.
type loadResult struct {
	sent, admitted, inTime, refused, failed, long, longDone int
	// attempts and stages are sums over all requests.
	attempts, stages int
	// shortLatency holds the latencies of successful short requests in
	// microseconds.
	shortLatency *hdrhistogram.Histogram
	// inTimeBySecond counts the requests that met their deadline, by the second
	// of their arrival.
	inTimeBySecond map[int]int
	mu             sync.Mutex
}

// percent returns part as a percentage of whole, or 100 if whole is zero.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 100
	}
	return 100 * float64(part) / float64(whole)
}

// run sends the load to the entry instances in turn. The load is open: requests
// are sent on time, however long earlier ones take.
func (l load) run(f *fleet) *loadResult {
	out := &loadResult{shortLatency: newHistogram(), inTimeBySecond: make(map[int]int)}
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range l.arrivals {
		time.Sleep(a.at - time.Since(start))
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), a.deadline+5*time.Second)
			defer cancel()
			r, err := call(ctx, request{
				entry: f.entry(i), account: a.account, pipeline: a.pipeline, deadline: a.deadline,
				body: caller.Body{Input: "notes", Tokens: a.tokens},
			})
			out.add(a, r, err)
		}()
	}
	wg.Wait()
	return out
}

// add counts the outcome of one request.
func (result *loadResult) add(a arrival, r reply, err error) {
	result.mu.Lock()
	defer result.mu.Unlock()
	result.sent++
	if a.long {
		result.long++
	}
	kind := refuse.Kind(r.refusal.Kind)
	if err == nil && (kind == refuse.Overload || kind == refuse.OverShare) {
		result.refused++
		return
	}
	result.admitted++
	for _, s := range r.response.Stages {
		result.attempts += s.Attempts
		result.stages++
	}
	if err != nil || !r.ok() {
		result.failed++
		return
	}
	if a.long {
		result.longDone++
	} else {
		_ = result.shortLatency.RecordValue(r.total.Microseconds())
	}
	if r.total <= a.deadline {
		result.inTime++
		result.inTimeBySecond[int(a.at/time.Second)]++
	}
}
