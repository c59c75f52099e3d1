package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/api/operator"
	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
)

// demoTimeout limits the duration of the whole demonstration.
const demoTimeout = 60 * time.Second

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Build and start a fleet, send it a few requests, and stop it.")
	return command{clause: clause, run: func() error {
		return withFleet(demoSpec(), runDemo)
	}}
}

// entry returns the HTTP address of an entry instance; i wraps around.
func (f *fleet) entry(i int) string { return f.instances[f.entries[i%len(f.entries)]].http }

// control returns the HTTP address of a control instance; i wraps around.
func (f *fleet) control(i int) string { return f.instances[f.controls[i%len(f.controls)]].http }

func runDemo(f *fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	requestID, err := demoStreaming(ctx, f)
	if err != nil {
		return err
	}
	if err := demoIdempotency(ctx, f); err != nil {
		return err
	}
	if err := demoMixedSizes(ctx, f); err != nil {
		return err
	}
	return demoTimeline(f, requestID)
}

// demoStreaming streams the response of a pipeline of four stages and returns the
// request ID.
func demoStreaming(ctx context.Context, f *fleet) (string, error) {
	r, err := call(ctx, request{
		entry: f.entry(0), account: "dakgoot", pipeline: "route",
		body: caller.Body{Input: "Icicles over the school entrance, Kerkstraat 4 to 18", Tokens: 64, Stream: true},
	})
	if err != nil {
		return "", fmt.Errorf("streamed request: %w", err)
	}
	if !r.ok() {
		return "", fmt.Errorf("streamed request refused: %+v", r.refusal)
	}
	fmt.Printf("winter route: %d chunks, first after %v, whole after %v\n  %s\n", len(r.chunks), r.timeToFirstChunk.Round(time.Millisecond), r.total.Round(time.Millisecond), strings.Join(r.chunks, ""))
	printCosts(r.response.Stages)
	return r.response.RequestID, nil
}

func printCosts(stages []pipeline.StageCost) {
	fmt.Println("  cost by stage:")
	for _, c := range stages {
		fmt.Printf("    %-9s at %-18s total %6d us, upstream %6d us, queue %5d us, tokens %3d, attempts %d, wasted %d us\n",
			c.Kind, c.Upstream, c.TotalUs, c.ServiceUs, c.QueueUs, c.Tokens, c.Attempts, c.WastedUs)
	}
}

// demoIdempotency sends a booking twice with the same idempotency key, through two
// entry instances, and checks that it is executed once.
func demoIdempotency(ctx context.Context, f *fleet) error {
	key := uuid.Must(uuid.NewV7()).String()
	outputs := make([]string, 2)
	for i := range outputs {
		r, err := call(ctx, request{
			entry: f.entry(i), account: "dakgoot", pipeline: "booking", key: key,
			body: caller.Body{Input: "one van to Kerkstraat 4 at 06:30"},
		})
		if err != nil {
			return fmt.Errorf("booking: %w", err)
		}
		if !r.ok() {
			return fmt.Errorf("booking refused: %+v", r.refusal)
		}
		outputs[i] = r.response.Output
		fmt.Printf("van booking through %s: %s (replayed %t)\n", f.entries[i], r.response.Output, r.response.Stages[0].Replayed)
	}
	if outputs[0] != outputs[1] {
		return fmt.Errorf("requests with the same idempotency key got different results: %q and %q", outputs[0], outputs[1])
	}
	executions, err := f.executions()
	if err != nil {
		return err
	}
	if executions[key] != 1 {
		return fmt.Errorf("the booking was executed %d times according to the stand-ins' record files, want once", executions[key])
	}
	fmt.Println("the stand-ins' record has the booking once")
	return nil
}

// demoMixedSizes measures short requests while long ones run on the same
// upstreams.
func demoMixedSizes(ctx context.Context, f *fleet) error {
	const longCalls = 8
	longErrs := make(chan error, longCalls)
	for i := range longCalls {
		go func() {
			r, err := call(ctx, request{entry: f.entry(i), account: "calados", pipeline: "check", body: caller.Body{Input: fmt.Sprintf("archive layout %d", i), Tokens: 1000}})
			if err == nil && !r.ok() {
				err = errors.Join(fmt.Errorf("long request refused: %+v", r.refusal), demoTimeline(f, r.refusal.RequestID))
			}
			longErrs <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		r, err := call(ctx, request{entry: f.entry(i), account: "calados", pipeline: "check", body: caller.Body{Input: fmt.Sprintf("pattern %d", i), Tokens: 10}})
		if err != nil {
			return fmt.Errorf("short request: %w", err)
		}
		if !r.ok() {
			return fmt.Errorf("short request refused: %+v", r.refusal)
		}
		fmt.Printf("pattern check during archive layouts: %v, queue %d us\n", r.total.Round(time.Millisecond), r.response.Stages[0].QueueUs)
	}
	for range longCalls {
		if err := <-longErrs; err != nil {
			return err
		}
	}
	fmt.Println("the archive layouts finished")
	return nil
}

// demoTimeline prints the events of one request on all processes in causal order.
func demoTimeline(f *fleet, requestID string) error {
	var t operator.Timeline
	status, err := callOperatorAPI(f.control(0), http.MethodGet, "/v1/timeline?request="+url.QueryEscape(requestID), nil, &t)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("query timeline: status %d: %w", status, err)
	}
	if len(t.Events) == 0 || len(t.Unresponsive) > 0 {
		return fmt.Errorf("timeline has %d events, unresponsive: %v", len(t.Events), t.Unresponsive)
	}
	fmt.Println("time line of", requestID)
	for _, e := range t.Events {
		fmt.Printf("  %s.%03d %-16s %-9s %s\n", time.UnixMilli(e.Clock.GetWallMs()).UTC().Format("15:04:05.000"), e.Clock.GetLogical(), e.Process, e.Kind, e.Detail)
	}
	return nil
}
