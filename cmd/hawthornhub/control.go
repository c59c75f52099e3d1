package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/admin"
	"hawthornhub.example/hawthornhub/internal/api/health"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/serve/sweep"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// controlStop bounds the graceful stop of a control instance.
	controlStop = 10 * time.Second
	// handOver bounds the wait for another leader.
	handOver = 2 * time.Second
)

func controlCommand(app *kingpin.Application) command {
	clause := app.Command("control", "Run a control instance, which keeps the durable state.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runControl(*file) }}
}

// controller is a running control instance.
type controller struct {
	process *process.Process
	health  *health.Health
	replica atomic.Pointer[replica.Replica]
	// ready is closed once replica is set.
	ready chan struct{}
	// alone is set where the settings list no other control instance.
	alone   bool
	sweeper *sweep.Sweeper
	http    *http.Server
}

func runControl(file string) error {
	s, err := load(file, settings.RoleControl)
	if err != nil {
		return err
	}
	first, err := os.ReadFile(s.Replica.DocumentFile)
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("read document: %w; check replica.document_file", err)}
	}
	if _, err := document.Parse(string(first)); err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: %w", s.Replica.DocumentFile, err)}
	}
	log, err := newLog(s, settings.RoleControl)
	if err != nil {
		return err
	}
	c, err := startControl(s, string(first), log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(c.process, controlStop)
	defer cancel()
	return c.stop(ctx)
}

func startControl(s settings.Settings, first string, log *zap.Logger) (*controller, error) {
	c := &controller{
		health: health.New(health.Config{Role: "control", Process: s.Name}),
		ready:  make(chan struct{}),
		alone:  len(s.Control) == 1,
	}
	var err error
	c.process, err = process.Start(process.Config{
		Settings:   s,
		Role:       settings.RoleControl,
		Log:        log,
		Handle:     c.handle,
		Document:   c.held,
		FillStatus: c.status,
	})
	if err != nil {
		return nil, err
	}
	r, err := replica.Start(replica.Config{
		Name:            s.Name,
		DataDir:         s.Replica.DataDir,
		InitialDocument: first,
		Peers:           process.ControlAddresses(s),
		Tick:            time.Duration(s.Replica.TickMs) * time.Millisecond,
		SnapshotEntries: uint64(s.Replica.SnapshotEntries),
		Pool:            c.process.Pool,
		System:          c.process.System,
		Timeline:        c.process.Timeline,
		Log:             log,
		Fatal:           func(err error) { log.Fatal("state not lasting, the process ends", zap.Error(err)) },
	})
	if err != nil {
		return nil, errors.Join(err, c.process.Close())
	}
	c.replica.Store(r)
	close(c.ready)
	return c, c.serve(s, log)
}

func (c *controller) serve(s settings.Settings, log *zap.Logger) error {
	p := c.process
	mux := http.NewServeMux()
	mux.Handle("/v1/", admin.NewServer(admin.Config{Client: p.Client, Pool: p.Pool, Members: p.Members, Timeline: p.Timeline}))
	c.health.Routes(mux)
	c.health.SetReady(c.readiness)
	var err error
	if c.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return err
	}
	runner := once.NewRunner(once.Config{
		Owner:         ownerOf(s.Name, p.Incarnation),
		Pool:          p.Pool,
		Ledger:        p.Client,
		FindAgent:     placeOf(p),
		OwnerAlive:    ownerAlive(p),
		AwaitDocument: func(context.Context, uint64) bool { return true },
		Timeline:      p.Timeline,
	})
	c.sweeper = sweep.Start(sweep.Config{Replica: c.replica.Load(), Ledger: p.Client, Runner: runner, OwnerAlive: ownerAlive(p), Log: log})
	return p.Join()
}

func (c *controller) held() *control.LeasedDocument {
	if r := c.replica.Load(); r != nil {
		return r.Document()
	}
	return &control.LeasedDocument{}
}

func (c *controller) status(s *fleetpb.Status) {
	r := c.replica.Load()
	if r == nil {
		return
	}
	v := r.Status()
	s.Term, s.Commit, s.Identity, s.Claims = v.Term, v.Commit, v.ID, uint64(v.ClaimCount)
	if v.Role == raft.Leader {
		s.Leader = s.Name
	}
	for _, id := range v.Voters.GetVoters() {
		s.Voter = s.Voter || id == v.ID
	}
}

func (c *controller) readiness() error {
	r := c.replica.Load()
	if r == nil || r.Status().Leader == 0 {
		return errors.New("no leader")
	}
	if !c.alone && !c.process.Synced() {
		return errors.New("the other processes are not known yet")
	}
	return nil
}

func (c *controller) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	select {
	case <-ctx.Done():
	case <-c.ready:
		c.replica.Load().Serve(ctx, st, first)
	}
}

// stop hands leadership over and ends.
func (c *controller) stop(ctx context.Context) error {
	c.process.Leave()
	r := c.replica.Load()
	bounded, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	r.TransferLeadership(bounded)
	return errors.Join(
		c.http.Shutdown(ctx),
		c.sweeper.Close(),
		c.process.Server.Close(),
		r.Close(),
		c.process.Close(),
		c.health.Close(),
	)
}
