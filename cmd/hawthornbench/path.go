package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kingpin/v2"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/dispatch/upstream"
)

// maxLatencyUs is the largest latency that a histogram can record, in microseconds.
const maxLatencyUs = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyUs, 3) }

func pathCommand(app *kingpin.Application) command {
	clause := app.Command("path", "Measure the latency that entry and agent add to a stage, and the resources they use.")
	calls := clause.Flag("calls", "Number of sequential calls.").Default("3000").Int()
	seconds := clause.Flag("seconds", "Duration of the saturation run in seconds.").Default("5").Int()
	callers := clause.Flag("callers", "Concurrent callers in the saturation run.").Default("128").Int()
	return command{clause: clause, run: func() error {
		return withFleet(pathSpec(), func(f *fleet) error { return runPath(f, *calls, *seconds, *callers) })
	}}
}

func pathSpec() fleetSpec {
	return fleetSpec{
		controls: 3, entries: 1, zones: []string{"a"}, document: documentText(""),
		upstreams: []upstreamSpec{{name: "encode-1", zone: "a", kind: "encode", slots: 512}},
	}
}

func runPath(f *fleet, calls, seconds, callers int) error {
	names := []string{"entry-1", "encode-1", "control-1"}
	idle, err := f.usages(names)
	if err != nil {
		return err
	}
	direct, viaFleet, err := compareDirect(f, calls)
	if err != nil {
		return err
	}
	fmt.Printf("one caller, %d calls each, microseconds: direct p50 %d p99 %d; through entry and agent p50 %d p99 %d; added p50 %d p99 %d\n",
		calls, direct.ValueAtQuantile(50), direct.ValueAtQuantile(99), viaFleet.ValueAtQuantile(50), viaFleet.ValueAtQuantile(99),
		viaFleet.ValueAtQuantile(50)-direct.ValueAtQuantile(50), viaFleet.ValueAtQuantile(99)-direct.ValueAtQuantile(99))
	return saturate(f, names, idle, seconds, callers)
}

// callDirect calls the stand-in the way its agent does.
func callDirect(address string, i int) error {
	b, err := json.Marshal(upstream.Request{ID: fmt.Sprint(i), Kind: "encode", Input: []byte("street notes")})
	if err != nil {
		return err
	}
	resp, err := httpClient.Post("http://"+address+"/v1/run", "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("stand-in answered %s", resp.Status)
	}
	return err
}

// callViaFleet makes the same call through entry and agent.
func callViaFleet(ctx context.Context, f *fleet) error {
	r, err := call(ctx, request{entry: f.entry(0), account: "dakgoot", pipeline: "encode", body: caller.Body{Input: "street notes"}})
	if err == nil && !r.ok() {
		err = fmt.Errorf("refused: %+v", r.refusal)
	}
	return err
}

// compareDirect alternates calls to the stand-in with calls through the fleet and
// returns the latencies of both. The first tenth of the calls is warm-up.
func compareDirect(f *fleet, calls int) (direct, viaFleet *hdrhistogram.Histogram, err error) {
	direct, viaFleet = newHistogram(), newHistogram()
	address := f.instances["standin-encode-1"].http
	for i := range calls + calls/10 {
		start := time.Now()
		if err := callDirect(address, i); err != nil {
			return nil, nil, err
		}
		middle := time.Now()
		if err := callViaFleet(context.Background(), f); err != nil {
			return nil, nil, err
		}
		if i < calls/10 {
			continue
		}
		_ = direct.RecordValue(middle.Sub(start).Microseconds())
		_ = viaFleet.RecordValue(time.Since(middle).Microseconds())
	}
	return direct, viaFleet, nil
}

// saturate runs a fixed number of concurrent callers, each of which sends one
// request after another, and prints throughput and resource usage.
func saturate(f *fleet, names []string, idle map[string]usage, seconds, callers int) error {
	before, err := f.usages(names)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(seconds)*time.Second)
	defer cancel()
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				if callViaFleet(ctx, f) == nil {
					done.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%d callers for %d s: %d requests a second, %d failed\n", callers, seconds, done.Load()/int64(seconds), failed.Load())
	for _, name := range names {
		u, err := f.usageOf(name)
		if err != nil {
			return err
		}
		cpu := u.cpu - before[name].cpu
		fmt.Printf("  %-10s processor %5d us a request, resident %5.1f MiB idle, %5.1f MiB under load\n",
			name, cpu.Microseconds()/max(1, done.Load()), float64(idle[name].rss)/(1<<20), float64(u.rss)/(1<<20))
	}
	return nil
}
