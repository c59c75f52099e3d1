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

// histogramMost is the longest time that is told apart, in microseconds.
const histogramMost = 60_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMost, 3) }

func pathCommand(app *kingpin.Application) command {
	clause := app.Command("path", "Measure what entry and agent add to a stage, and what they cost.")
	calls := clause.Flag("calls", "Calls one after another.").Default("3000").Int()
	seconds := clause.Flag("seconds", "Length of the run at saturation.").Default("5").Int()
	callers := clause.Flag("callers", "Callers at saturation.").Default("128").Int()
	return command{clause: clause, run: func() error {
		return inFleet(pathSpec(), func(f *fleet) error { return runPath(f, *calls, *seconds, *callers) })
	}}
}

func pathSpec() fleetSpec {
	return fleetSpec{
		controls: 3, entries: 1, zones: []string{"a"}, document: documentText(""),
		upstreams: []upstreamSpec{{name: "encode-1", zone: "a", kind: "encode", slots: 512}},
	}
}

func runPath(f *fleet, calls, seconds, callers int) error {
	roles := []string{"entry-1", "encode-1", "control-1"}
	idle, err := f.usages(roles)
	if err != nil {
		return err
	}
	direct, through, err := compareDirect(f, calls)
	if err != nil {
		return err
	}
	fmt.Printf("one caller, %d calls each, microseconds: direct p50 %d p99 %d; through entry and agent p50 %d p99 %d; added p50 %d p99 %d\n",
		calls, direct.ValueAtQuantile(50), direct.ValueAtQuantile(99), through.ValueAtQuantile(50), through.ValueAtQuantile(99),
		through.ValueAtQuantile(50)-direct.ValueAtQuantile(50), through.ValueAtQuantile(99)-direct.ValueAtQuantile(99))
	return saturate(f, roles, idle, seconds, callers)
}

// directCall calls the stand-in as its agent would.
func directCall(address string, i int) error {
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

func throughCall(ctx context.Context, f *fleet) error {
	r, err := call(ctx, ask{entry: f.entry(0), account: "dakgoot", pipeline: "encode", body: caller.Body{Input: "street notes"}})
	if err == nil && !r.done() {
		err = fmt.Errorf("refused: %+v", r.refusal)
	}
	return err
}

// compareDirect calls the stand-in directly and through the fleet in turn.
func compareDirect(f *fleet, calls int) (direct, through *hdrhistogram.Histogram, err error) {
	direct, through = newHistogram(), newHistogram()
	address := f.instances["standin-encode-1"].http
	for i := range calls + calls/10 {
		began := time.Now()
		if err := directCall(address, i); err != nil {
			return nil, nil, err
		}
		middle := time.Now()
		if err := throughCall(context.Background(), f); err != nil {
			return nil, nil, err
		}
		if i < calls/10 {
			continue
		}
		_ = direct.RecordValue(middle.Sub(began).Microseconds())
		_ = through.RecordValue(time.Since(middle).Microseconds())
	}
	return direct, through, nil
}

// saturate loads the fleet with a fixed number of callers.
func saturate(f *fleet, roles []string, idle map[string]usage, seconds, callers int) error {
	before, err := f.usages(roles)
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
				if throughCall(ctx, f) == nil {
					done.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	fmt.Printf("%d callers for %d s: %d requests a second, %d failed\n", callers, seconds, done.Load()/int64(seconds), failed.Load())
	for _, name := range roles {
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
