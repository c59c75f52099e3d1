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
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func entryCommand(app *kingpin.Application) command {
	clause := app.Command("entry", "Run an entry instance, which serves the API for callers.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runEntry(*file) }}
}

// entryProcess is a running entry instance.
type entryProcess struct {
	process  *process.Process
	health   *health.Health
	http     *http.Server
	draining atomic.Bool
}

func runEntry(file string) error {
	s, err := loadSettings(file, settings.RoleEntry)
	if err != nil {
		return err
	}
	log, err := newLogger(s, settings.RoleEntry)
	if err != nil {
		return err
	}
	e, err := startEntry(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(e.process, s.Entry.StopTimeout())
	defer cancel()
	return e.stop(ctx, s)
}

func startEntry(s settings.Settings, log *zap.Logger) (*entryProcess, error) {
	e := &entryProcess{health: health.New(health.Config{Role: "entry", Process: s.Name})}
	table := route.NewTable(route.Config{Entry: s.Name, Zone: s.Zone, Random: rand.IntN})
	var err error
	e.process, err = process.Start(process.Config{
		Settings:        s,
		Role:            settings.RoleEntry,
		Log:             log,
		Handle:          func(context.Context, *link.Stream, *fleetpb.Envelope) {},
		OnMembersChange: table.Update,
		OnDocumentChange: func(d *control.LeasedDocument) {
			table.Configure(d.Schema.Routing)
		},
		OnEvacuations: func(zones *statepb.Evacuations) {
			table.SetEvacuated(evacuation.Zones(zones))
			e.health.Metrics().Gauge("zones_evacuated").Update(float64(len(evacuation.Zones(zones))))
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
	mux.Handle("/v1/", e.newCallerServer(s, table))
	e.health.Routes(mux)
	e.health.SetReady(e.checkReady)
	if e.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return nil, errors.Join(err, e.process.Close())
	}
	if err := e.process.Join(); err != nil {
		return nil, errors.Join(err, e.process.Close())
	}
	return e, nil
}

func (e *entryProcess) newCallerServer(s settings.Settings, table *route.Table) http.Handler {
	p := e.process
	entryCount := func() int { return p.CountAlive(settings.RoleEntry) }
	runner := once.NewRunner(once.Config{
		Owner:         claimOwner(s.Name, p.Incarnation),
		Table:         table,
		Pool:          p.Pool,
		Ledger:        p.Client,
		FindAgent:     findAgentFunc(p),
		OwnerAlive:    ownerAliveFunc(p),
		AwaitDocument: p.Follower.AwaitDocument,
		Timeline:      p.Timeline,
	})
	executor := pipeline.NewExecutor(pipeline.Config{
		Table:     table,
		Pool:      p.Pool,
		Once:      runner,
		Admission: admit.NewController(),
		Follower:  p.Follower,
		Entries:   entryCount,
		Timeline:  p.Timeline,
		Metrics:   e.health.Metrics(),
	})
	return caller.NewServer(caller.Config{
		Entry:        s.Name,
		Executor:     executor,
		Limiter:      limit.New(limit.Config{Entry: s.Name, Ledger: p.Client, Entries: entryCount}),
		Follower:     p.Follower,
		Timeline:     p.Timeline,
		MaxBodyBytes: s.Entry.MaxBodyBytes,
	})
}

// checkReady returns an error if the entry should get no requests.
func (e *entryProcess) checkReady() error {
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

// drain makes the readiness check fail and announces to the other processes that
// this one takes no new work.
func (e *entryProcess) drain() {
	if e.draining.CompareAndSwap(false, true) {
		e.process.Timeline.Add("drain", "", "entry fails its readiness check")
		e.process.Leave()
	}
}

// stop fails the readiness check, goes on serving while the load balancer reacts,
// finishes the open requests until ctx ends, and closes everything.
func (e *entryProcess) stop(ctx context.Context, s settings.Settings) error {
	e.drain()
	select {
	case <-ctx.Done():
	case <-time.After(s.Entry.DrainDelay()):
	}
	e.http.SetKeepAlivesEnabled(false)
	err := e.http.Shutdown(ctx)
	if err != nil {
		e.process.Log.Error("open requests aborted at the end of the graceful stop", zap.Error(err))
		err = errors.Join(err, e.http.Close())
	}
	return errors.Join(err, e.process.Close(), e.health.Close())
}
