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

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
)

// demoBound bounds the whole demonstration.
const demoBound = 60 * time.Second

func demoCommand(app *kingpin.Application) command {
	clause := app.Command("demo", "Build and start a fleet, serve a few requests, and stop it.")
	return command{clause: clause, run: func() error {
		return inFleet(demoSpec(), runDemo)
	}}
}

func (f *fleet) entry(i int) string { return f.instances[f.entries[i%len(f.entries)]].http }

func (f *fleet) control(i int) string { return f.instances[f.controls[i%len(f.controls)]].http }

func runDemo(f *fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoBound)
	defer cancel()
	route, err := demoRoute(ctx, f)
	if err != nil {
		return err
	}
	if err := demoBooking(ctx, f); err != nil {
		return err
	}
	if err := demoArchive(ctx, f); err != nil {
		return err
	}
	return demoTimeline(f, route)
}

// demoRoute streams a winter route plan through four stages.
func demoRoute(ctx context.Context, f *fleet) (string, error) {
	r, err := call(ctx, ask{
		entry: f.entry(0), account: "dakgoot", pipeline: "route",
		body: caller.Body{Input: "Icicles over the school entrance, Kerkstraat 4 to 18", Tokens: 64, Stream: true},
	})
	if err != nil {
		return "", fmt.Errorf("winter route: %w", err)
	}
	if !r.done() {
		return "", fmt.Errorf("winter route refused: %+v", r.refusal)
	}
	fmt.Printf("winter route: %d chunks, first after %v, whole after %v\n  %s\n", len(r.chunks), r.first.Round(time.Millisecond), r.total.Round(time.Millisecond), strings.Join(r.chunks, ""))
	printCosts(r.answer.Stages)
	return r.answer.RequestID, nil
}

func printCosts(stages []pipeline.StageCost) {
	fmt.Println("  cost by stage:")
	for _, c := range stages {
		fmt.Printf("    %-9s at %-18s total %6d us, upstream %6d us, queue %5d us, tokens %3d, attempts %d, wasted %d us\n",
			c.Kind, c.Upstream, c.TotalUs, c.ServiceUs, c.QueueUs, c.Tokens, c.Attempts, c.WastedUs)
	}
}

// demoBooking books a van twice under one key, through two entries.
func demoBooking(ctx context.Context, f *fleet) error {
	key := uuid.Must(uuid.NewV7()).String()
	outputs := make([]string, 2)
	for i := range outputs {
		r, err := call(ctx, ask{
			entry: f.entry(i), account: "dakgoot", pipeline: "booking", key: key,
			body: caller.Body{Input: "one van to Kerkstraat 4 at 06:30"},
		})
		if err != nil {
			return fmt.Errorf("booking: %w", err)
		}
		if !r.done() {
			return fmt.Errorf("booking refused: %+v", r.refusal)
		}
		outputs[i] = r.answer.Output
		fmt.Printf("van booking through %s: %s (replayed %t)\n", f.entries[i], r.answer.Output, r.answer.Stages[0].Replayed)
	}
	if outputs[0] != outputs[1] {
		return fmt.Errorf("the same key got two answers: %q and %q", outputs[0], outputs[1])
	}
	paid, err := f.paid()
	if err != nil {
		return err
	}
	if paid[key] != 1 {
		return fmt.Errorf("the booking ran %d times by the stand-ins' record", paid[key])
	}
	fmt.Println("the stand-ins' record has the booking once")
	return nil
}

// demoArchive checks patterns while long archive layouts run.
func demoArchive(ctx context.Context, f *fleet) error {
	const layouts = 8
	long := make(chan error, layouts)
	for i := range layouts {
		go func() {
			r, err := call(ctx, ask{entry: f.entry(i), account: "calados", pipeline: "check", body: caller.Body{Input: fmt.Sprintf("archive layout %d", i), Tokens: 1000}})
			if err == nil && !r.done() {
				err = errors.Join(fmt.Errorf("archive layout refused: %+v", r.refusal), demoTimeline(f, r.refusal.RequestID))
			}
			long <- err
		}()
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		r, err := call(ctx, ask{entry: f.entry(i), account: "calados", pipeline: "check", body: caller.Body{Input: fmt.Sprintf("pattern %d", i), Tokens: 10}})
		if err != nil {
			return fmt.Errorf("pattern check: %w", err)
		}
		if !r.done() {
			return fmt.Errorf("pattern check refused: %+v", r.refusal)
		}
		fmt.Printf("pattern check during archive layouts: %v, queue %d us\n", r.total.Round(time.Millisecond), r.answer.Stages[0].QueueUs)
	}
	for range layouts {
		if err := <-long; err != nil {
			return err
		}
	}
	fmt.Println("the archive layouts finished")
	return nil
}

// demoTimeline prints the merged time line of one request.
func demoTimeline(f *fleet, request string) error {
	var t admin.Timeline
	status, err := operate(f.control(0), http.MethodGet, "/v1/timeline?request="+url.QueryEscape(request), nil, &t)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("time line: status %d: %w", status, err)
	}
	if len(t.Events) == 0 || len(t.Unresponsive) > 0 {
		return fmt.Errorf("time line has %d events, no answer from %v", len(t.Events), t.Unresponsive)
	}
	fmt.Println("time line of", request)
	for _, e := range t.Events {
		fmt.Printf("  %s.%03d %-16s %-9s %s\n", time.UnixMilli(e.Clock.GetWallMs()).UTC().Format("15:04:05.000"), e.Clock.GetLogical(), e.Process, e.Kind, e.Detail)
	}
	return nil
}
