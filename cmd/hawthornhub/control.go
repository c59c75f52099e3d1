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

	"hawthornhub.example/hawthornhub/internal/api/health"
	"hawthornhub.example/hawthornhub/internal/api/operator"
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
	// controlStopTimeout is the maximum duration of a graceful stop.
	controlStopTimeout = 10 * time.Second
	// leaderTransferTimeout is the maximum time that a stopping leader waits for
	// another instance to take over.
	leaderTransferTimeout = 2 * time.Second
)

func controlCommand(app *kingpin.Application) command {
	clause := app.Command("control", "Run a control instance, which stores the durable state.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runControl(*file) }}
}

// controlProcess is a running control instance.
type controlProcess struct {
	process *process.Process
	health  *health.Health
	replica atomic.Pointer[replica.Replica]
	// replicaReady is closed once replica is set.
	replicaReady chan struct{}
	// singleInstance is set if the settings list no other control instance.
	singleInstance bool
	sweeper        *sweep.Sweeper
	http           *http.Server
}

func runControl(file string) error {
	s, err := loadSettings(file, settings.RoleControl)
	if err != nil {
		return err
	}
	initialDocument, err := os.ReadFile(s.Replica.DocumentFile)
	if err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("read initial document: %w; check replica.document_file", err)}
	}
	if _, err := document.Parse(string(initialDocument)); err != nil {
		return &exitError{code: exitUsage, err: fmt.Errorf("%s: %w", s.Replica.DocumentFile, err)}
	}
	log, err := newLogger(s, settings.RoleControl)
	if err != nil {
		return err
	}
	c, err := startControl(s, string(initialDocument), log)
	if err != nil {
		return err
	}
	ctx, cancel := waitForStop(c.process, controlStopTimeout)
	defer cancel()
	return c.stop(ctx)
}

func startControl(s settings.Settings, initialDocument string, log *zap.Logger) (*controlProcess, error) {
	c := &controlProcess{
		health:         health.New(health.Config{Role: "control", Process: s.Name}),
		replicaReady:   make(chan struct{}),
		singleInstance: len(s.Control) == 1,
	}
	var err error
	c.process, err = process.Start(process.Config{
		Settings:   s,
		Role:       settings.RoleControl,
		Log:        log,
		Handle:     c.handle,
		Document:   c.document,
		FillStatus: c.fillStatus,
	})
	if err != nil {
		return nil, err
	}
	r, err := replica.Start(replica.Config{
		Name:            s.Name,
		DataDir:         s.Replica.DataDir,
		InitialDocument: initialDocument,
		Peers:           process.ControlAddresses(s),
		Tick:            time.Duration(s.Replica.TickMs) * time.Millisecond,
		SnapshotEntries: uint64(s.Replica.SnapshotEntries),
		Pool:            c.process.Pool,
		System:          c.process.System,
		Timeline:        c.process.Timeline,
		Log:             log,
		Fatal:           func(err error) { log.Fatal("cannot persist state; exiting", zap.Error(err)) },
	})
	if err != nil {
		return nil, errors.Join(err, c.process.Close())
	}
	c.replica.Store(r)
	close(c.replicaReady)
	return c, c.serve(s, log)
}

func (c *controlProcess) serve(s settings.Settings, log *zap.Logger) error {
	p := c.process
	mux := http.NewServeMux()
	mux.Handle("/v1/", operator.NewServer(operator.Config{Client: p.Client, Pool: p.Pool, Members: p.Members, Timeline: p.Timeline}))
	c.health.Routes(mux)
	c.health.SetReady(c.checkReady)
	var err error
	if c.http, err = serveHTTP(s.Listen.HTTP, mux, log); err != nil {
		return err
	}
	runner := once.NewRunner(once.Config{
		Owner:         claimOwner(s.Name, p.Incarnation),
		Pool:          p.Pool,
		Ledger:        p.Client,
		FindAgent:     findAgentFunc(p),
		OwnerAlive:    ownerAliveFunc(p),
		AwaitDocument: func(context.Context, uint64) bool { return true },
		Timeline:      p.Timeline,
	})
	c.sweeper = sweep.Start(sweep.Config{Replica: c.replica.Load(), Ledger: p.Client, Runner: runner, OwnerAlive: ownerAliveFunc(p), Log: log})
	return p.Join()
}

// document returns the current document, an empty one until the replica has
// started.
func (c *controlProcess) document() *control.LeasedDocument {
	if r := c.replica.Load(); r != nil {
		return r.Document()
	}
	return &control.LeasedDocument{}
}

func (c *controlProcess) fillStatus(s *fleetpb.Status) {
	r := c.replica.Load()
	if r == nil {
		return
	}
	local := r.Status()
	s.Term, s.Commit, s.Identity, s.Claims = local.Term, local.Commit, local.ID, uint64(local.ClaimCount)
	if local.Role == raft.Leader {
		s.Leader = s.Name
	}
	for _, id := range local.Voters.GetVoters() {
		s.Voter = s.Voter || id == local.ID
	}
}

// checkReady returns an error if no leader is known, or if the member list has not
// been synchronised with another process yet.
func (c *controlProcess) checkReady() error {
	r := c.replica.Load()
	if r == nil || r.Status().Leader == 0 {
		return errors.New("no leader")
	}
	if !c.singleInstance && !c.process.Synced() {
		return errors.New("the other processes are not known yet")
	}
	return nil
}

// handle serves a stream of another process, once the replica has started.
func (c *controlProcess) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	select {
	case <-ctx.Done():
	case <-c.replicaReady:
		c.replica.Load().Serve(ctx, st, first)
	}
}

// stop transfers leadership to another instance and closes everything.
func (c *controlProcess) stop(ctx context.Context) error {
	c.process.Leave()
	r := c.replica.Load()
	transferCtx, cancel := context.WithTimeout(ctx, leaderTransferTimeout)
	defer cancel()
	r.TransferLeadership(transferCtx)
	return errors.Join(
		c.http.Shutdown(ctx),
		c.sweeper.Close(),
		c.process.Server.Close(),
		r.Close(),
		c.process.Close(),
		c.health.Close(),
	)
}
