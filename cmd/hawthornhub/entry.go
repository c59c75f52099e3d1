package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/api/health"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/serve/admit"
	"hawthornhub.example/hawthornhub/internal/serve/limit"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

func entryCommand(app *kingpin.Application) command {
	clause := app.Command("entry", "Run an entry instance, which serves callers.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runEntry(*file) }}
}

// entry is a running entry instance.
type entry struct {
	process  *process.Process
	health   *health.Health
	http     *http.Server
	draining atomic.Bool
}

func runEntry(file string) error {
	s, err := load(file, settings.RoleEntry)
	if err != nil {
		return err
	}
	log, err := newLog(s, settings.RoleEntry)
	if err != nil {
		return err
	}
	e, err := startEntry(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(e.process, s.Entry.Stop())
	defer cancel()
	return e.stop(ctx, s)
}

func startEntry(s settings.Settings, log *zap.Logger) (*entry, error) {
	e := &entry{health: health.New(health.Config{Role: "entry", Process: s.Name})}
	table := route.NewTable(route.Config{Entry: s.Name, Zone: s.Zone, Random: rand.IntN})
	var err error
	e.process, err = process.Start(process.Config{
		Settings:        s,
		Role:            settings.RoleEntry,
		Log:             log,
		Handle:          func(context.Context, *link.Stream, *fleetpb.Envelope) {},
		OnMembersChange: table.Update,
		OnDocumentChange: func(h *control.LeasedDocument) {
			table.Configure(h.Schema.Routing)
		},
		OnPong: func(address string, pong *fleetpb.Pong) {
			table.Report(time.Now(), address, pong.Word)
		},
		Drain: func() { e.drain() },
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.callers(s, table))
	e.health.Routes(mux)
	e.health.SetReady(e.ready)
	if e.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return nil, errors.Join(err, e.process.Close())
	}
	if err := e.process.Join(); err != nil {
		return nil, errors.Join(err, e.process.Close())
	}
	return e, nil
}

func (e *entry) callers(s settings.Settings, table *route.Table) http.Handler {
	p := e.process
	entries := func() int { return p.CountAlive(settings.RoleEntry) }
	runner := once.NewRunner(once.Config{
		Owner:         ownerOf(s.Name, p.Incarnation),
		Table:         table,
		Pool:          p.Pool,
		Ledger:        p.Client,
		FindAgent:     placeOf(p),
		OwnerAlive:    ownerAlive(p),
		AwaitDocument: p.Follower.AwaitDocument,
		Timeline:      p.Timeline,
	})
	executor := pipeline.NewExecutor(pipeline.Config{
		Table:     table,
		Pool:      p.Pool,
		Once:      runner,
		Admission: admit.NewController(),
		Follower:  p.Follower,
		Entries:   entries,
		Timeline:  p.Timeline,
		Metrics:   e.health.Metrics(),
	})
	return caller.NewServer(caller.Config{
		Entry:        s.Name,
		Executor:     executor,
		Limiter:      limit.New(limit.Config{Entry: s.Name, Ledger: p.Client, Entries: entries}),
		Follower:     p.Follower,
		Timeline:     p.Timeline,
		MaxBodyBytes: s.Entry.MaxBodyBytes,
	})
}

// ready returns why the entry should get no requests.
func (e *entry) ready() error {
	if e.draining.Load() {
		return errors.New("draining")
	}
	if !e.process.Follower.Document().Fresh(time.Now()) {
		return errors.New("the document is not confirmed")
	}
	if !e.process.Synced() {
		return errors.New("the other processes are not known yet")
	}
	return nil
}

func (e *entry) drain() {
	if e.draining.CompareAndSwap(false, true) {
		e.process.Timeline.Add("drain", "", "entry fails its readiness check")
		e.process.Leave()
	}
}

// stop lets the balancer notice, finishes what has begun, and ends.
func (e *entry) stop(ctx context.Context, s settings.Settings) error {
	e.drain()
	select {
	case <-ctx.Done():
	case <-time.After(s.Entry.Drain()):
	}
	e.http.SetKeepAlivesEnabled(false)
	err := e.http.Shutdown(ctx)
	if err != nil {
		e.process.Log.Error("requests cut", zap.Error(err))
		err = errors.Join(err, e.http.Close())
	}
	return errors.Join(err, e.process.Close(), e.health.Close())
}
