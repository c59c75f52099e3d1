package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/registry"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/process"
	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/platform"
)

const (
	// registryTick is the length of a tick of the log.
	registryTick = 50 * time.Millisecond
	// registrySnapshot is the number of entries between snapshots. A site
	// document is an entry.
	registrySnapshot = 64
)

// emptySections is the sectioned document that a registry's log begins with:
// none is used.
const emptySections = ""

func registryCommand(app *kingpin.Application) command {
	clause := app.Command("registry", "Run a control instance that upstreams announce themselves to.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runRegistry(*file) }}
}

// keeper is a running registry process.
type keeper struct {
	*base
	system   *actor.ActorSystem
	hub      *watch.Hub
	table    *catalog.Table
	replica  atomic.Pointer[replica.Replica]
	started  chan struct{}
	follower atomic.Pointer[watch.Follower]
	links    *link.Server
	http     *http.Server
}

func runRegistry(file string) error {
	runtime.GOMAXPROCS(1)
	b, err := newBase(file, settings.RoleRegistry)
	if err != nil {
		return err
	}
	if b.settings.Replica.Relay {
		return runRelay(b)
	}
	k := &keeper{base: b, started: make(chan struct{})}
	if err := k.start(); err != nil {
		return err
	}
	ctx, cancel := b.untilStop(func(s settings.Site) { k.follower.Load().Add(s.Controls()) })
	defer cancel()
	return k.stop(ctx)
}

func (k *keeper) start() error {
	s := k.settings
	k.system = process.NewActorSystem(k.log)
	k.table = catalog.New(catalog.Config{})
	k.hub = watch.NewHub(watch.HubConfig{Self: func() *fleetpb.Peer { return k.self(watch.RoleControl) }, Table: k.table, Voters: k.voters, Log: k.log})
	var err error
	k.links, err = link.Listen(link.ServerConfig{Address: s.Listen.Link, Local: k.local, Auth: k.auth, Handle: k.handle, Log: k.log})
	if err != nil {
		return err
	}
	r, err := replica.Start(replica.Config{
		Name:            s.Listen.Link,
		DataDir:         s.Replica.DataDir,
		InitialDocument: emptySections,
		Peers:           seedAddresses(s),
		AcceptUnlisted:  true,
		Discovered:      k.found,
		JoinOnly:        !s.Replica.First,
		TargetVoters:    2*s.Replica.Faults + 1,
		OnSiteDocument:  k.hub.Adopt,
		Tick:            registryTick,
		SnapshotEntries: registrySnapshot,
		Pool:            k.pool,
		System:          k.system,
		Timeline:        k.timeline,
		Log:             k.log,
		Fatal:           k.fatal,
	})
	if err != nil {
		return err
	}
	k.replica.Store(r)
	close(k.started)
	k.follower.Store(watch.NewFollower(watch.FollowerConfig{
		Pool:  k.pool,
		Seeds: s.Controls(),
		Watch: func() *fleetpb.Watch { return &fleetpb.Watch{Self: k.self(watch.RoleControl), Version: noDocuments} },
		Take:  func(n *fleetpb.News) { k.hub.Merge(n) },
		Log:   k.log,
	}))
	k.startGauges(k.gauge)
	server := registry.New(registry.Config{Hub: k.hub, Replica: r, Pool: k.pool, Decode: platform.DecodeDocument, Log: k.log})
	k.http = &http.Server{Handler: platform.RegistryMux(server), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	return errors.Join(k.serveHealth(k.readiness), k.serveOn(s.Listen.Registry, k.http))
}

// gauge updates the gauges, follows the instances that hold the log, and forgets
// upstreams that have long been gone.
func (k *keeper) gauge(scope tally.Scope) {
	k.table.Forget(time.Now(), forgetSilent)
	k.follower.Load().Add(k.voters())
	v := k.replica.Load().Status()
	leads := 0.0
	if v.Role == raft.Leader {
		leads = 1
	}
	scope.Gauge("leads").Update(leads)
	scope.Gauge("term").Update(float64(v.Term))
	scope.Gauge("commit_index").Update(float64(v.Commit))
	scope.Gauge("syncs").Update(float64(v.Syncs))
	scope.Gauge("voters").Update(float64(len(v.Voters.GetVoters())))
	scope.Gauge("watchers").Update(float64(k.hub.Watchers()))
}

// readiness returns why the instance cannot commit anything.
func (k *keeper) readiness() error {
	if k.replica.Load().Status().Leader == 0 {
		return errors.New("no leader is known")
	}
	return nil
}

// noDocuments is the version that a control instance says it holds: it learns
// documents from the log alone.
const noDocuments = 1<<63 - 1

// fatal ends a process whose state would not last.
func (k *keeper) fatal(err error) {
	k.log.Error("state not lasting, the process ends", zap.Error(err))
	_ = k.logs.Close() // The line above must be written before the end.
	os.Exit(exitFailed)
}

func seedAddresses(s settings.Site) []control.Address {
	var out []control.Address
	for _, a := range s.Controls() {
		out = append(out, control.Address{Name: a, Link: a})
	}
	return out
}

// self is the record of a process at a control address.
func (b *base) self(role string) *fleetpb.Peer {
	return &fleetpb.Peer{
		Name:        b.settings.Listen.Link,
		Role:        role,
		Zone:        b.settings.Zone,
		Link:        b.settings.Listen.Link,
		Incarnation: b.incarnation,
	}
}

// found returns the control instances that are followed now.
func (k *keeper) found() []string {
	f := k.follower.Load()
	if f == nil {
		return nil
	}
	return f.Controls()
}

// voters returns the instances that hold the log.
func (k *keeper) voters() []string {
	r := k.replica.Load()
	if r == nil {
		return nil
	}
	var out []string
	for _, name := range r.Status().Voters.GetNames() {
		out = append(out, name)
	}
	return out
}

func (k *keeper) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	if w := first.GetWatch(); w != nil {
		k.hub.Serve(ctx, st, w)
		return
	}
	select {
	case <-ctx.Done():
	case <-k.started:
		k.replica.Load().Serve(ctx, st, first)
	}
}

// stop hands leadership over and ends.
func (k *keeper) stop(ctx context.Context) error {
	r := k.replica.Load()
	bounded, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	r.TransferLeadership(bounded)
	err := errors.Join(k.http.Shutdown(ctx), k.follower.Load().Close(), k.links.Close(), k.hub.Close(), r.Close())
	k.system.Shutdown()
	k.close()
	return err
}
