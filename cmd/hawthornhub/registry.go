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
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/platform"
)

const (
	// registryRaftTick is the duration of a Raft tick.
	registryRaftTick = 50 * time.Millisecond
	// registrySnapshotEntries is the number of Raft log entries between
	// snapshots. Each site document is one entry.
	registrySnapshotEntries = 64
	// leaveTimeout is the maximum time that a stopping registry waits until another
	// one votes in its place. It covers the election of another leader.
	leaveTimeout = 3 * time.Second
)

// emptyDocument is the initial configuration document of a registry's replica.
// Registries store site documents and use no configuration document.
const emptyDocument = ""

func registryCommand(app *kingpin.Application) command {
	clause := app.Command("registry", "Run a registry: a control instance that upstreams announce themselves to.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runRegistry(*file) }}
}

// registryProcess is a running registry with a disk. It stores a replica of the
// Raft log.
type registryProcess struct {
	*siteProcess
	system    *actor.ActorSystem
	hub       *watch.Hub
	upstreams *catalog.Table
	replica   atomic.Pointer[replica.Replica]
	// replicaPool holds the connections for the Raft log, its messages and what goes
	// through it, so that they do not wait behind News.
	replicaPool *link.Pool
	// replicaReady is closed once replica is set.
	replicaReady chan struct{}
	follower     atomic.Pointer[watch.Follower]
	linkServer   *link.Server
	server       atomic.Pointer[registry.Server]
	// http serves upstreams and operators.
	http *http.Server
}

func runRegistry(file string) error {
	runtime.GOMAXPROCS(1)
	base, err := newSiteProcess(file, settings.RoleRegistry)
	if err != nil {
		return err
	}
	if base.settings.Replica.Relay {
		return runRelay(base)
	}
	p := &registryProcess{siteProcess: base, replicaReady: make(chan struct{})}
	if err := p.start(); err != nil {
		return err
	}
	ctx, cancel := base.waitForStop(func(s settings.Site) { p.follower.Load().Add(s.ControlAddresses()) })
	defer cancel()
	return p.stop(ctx)
}

func (p *registryProcess) start() error {
	s := p.settings
	p.system = process.NewActorSystem(p.log)
	p.upstreams = catalog.New(catalog.Config{})
	p.hub = watch.NewHub(watch.HubConfig{
		Self:               func() *fleetpb.Peer { return p.selfPeer(watch.RoleControl) },
		Table:              p.upstreams,
		Voters:             p.voters,
		EvacuationsCurrent: p.evacuationsCurrent,
		Log:                p.log,
	})
	p.replicaPool = p.newPool()
	var err error
	p.linkServer, err = link.Listen(link.ServerConfig{Address: s.Listen.Link, Local: p.local, Auth: p.auth, Handle: p.handle, Log: p.log})
	if err != nil {
		return err
	}
	r, err := replica.Start(replica.Config{
		Name:            s.Listen.Link,
		DataDir:         s.Replica.DataDir,
		InitialDocument: emptyDocument,
		Peers:           seedAddresses(s),
		AcceptUnlisted:  true,
		Discovered:      p.connectedControls,
		Formation:       formation(s.Replica),
		TargetVoters:    2*s.Replica.MaxFailures + 1,
		OnSiteDocument:  p.hub.SetSiteDocument,
		OnEvacuations:   p.hub.SetEvacuations,
		OnEndedStarts:   p.hub.SetEndedStarts,
		Tick:            registryRaftTick,
		SnapshotEntries: registrySnapshotEntries,
		Pool:            p.replicaPool,
		System:          p.system,
		Timeline:        p.timeline,
		Log:             p.log,
		Fatal:           p.fatal,
	})
	if err != nil {
		return err
	}
	p.replica.Store(r)
	close(p.replicaReady)
	p.follower.Store(watch.NewFollower(watch.FollowerConfig{
		Pool:  p.pool,
		Seeds: s.ControlAddresses(),
		WatchRequest: func() *fleetpb.Watch {
			return &fleetpb.Watch{Self: p.selfPeer(watch.RoleControl)}
		},
		OnNews:  func(n *fleetpb.News) { p.hub.Merge(n) },
		Digests: p.upstreams.Digests,
		Log:     p.log,
	}))
	p.startGauges(p.updateGauges)
	server := registry.New(registry.Config{Hub: p.hub, Replica: r, Pool: p.replicaPool, Decode: platform.DecodeSubmitted, DecodeStored: platform.DecodeDocument, Entries: p.listedEntries, Log: p.log})
	p.server.Store(server)
	p.http = &http.Server{Handler: platform.RegistryMux(server), ConnContext: registry.ConnContext, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: httpIdleTimeout}
	return errors.Join(p.serveHealth(p.checkReady), p.serveOn(s.Listen.Registry, p.http))
}

// formation returns how a registry with an empty data folder may begin a log.
func formation(s settings.SiteReplica) replica.Formation {
	if s.Bootstrap {
		return replica.FormAtFirstStart{}
	}
	return replica.JoinOnly{}
}

// evacuationsCurrent reports whether the evacuated zones that the hub knows are sure to be
// the present ones.
func (p *registryProcess) evacuationsCurrent() bool {
	s := p.server.Load()
	return s != nil && s.EvacuationsCurrent()
}

// listedEntries returns the names of the entries that any control instance lists.
func (p *registryProcess) listedEntries() []string {
	var out []string
	for _, peer := range p.follower.Load().Peers(watch.RoleEntry) {
		out = append(out, peer.GetName())
	}
	return out
}

// updateGauges updates the gauges. It also makes the follower watch the current
// Raft voters, and removes expired upstreams from the catalog.
func (p *registryProcess) updateGauges(scope tally.Scope) {
	p.hub.ForgetUpstreams(p.upstreams.RemoveExpired(time.Now(), unresponsiveRetention))
	p.follower.Load().Add(p.voters())
	status := p.replica.Load().Status()
	isLeader := 0.0
	if status.Role == raft.Leader {
		isLeader = 1
	}
	scope.Gauge("leads").Update(isLeader)
	scope.Gauge("term").Update(float64(status.Term))
	scope.Gauge("commit_index").Update(float64(status.Commit))
	scope.Gauge("syncs").Update(float64(status.Syncs))
	scope.Gauge("voters").Update(float64(len(status.Voters.GetVoters())))
	scope.Gauge("learners").Update(float64(len(status.Voters.GetLearners())))
	news := p.hub.Stats()
	scope.Gauge("watchers").Update(float64(news.Watchers))
	scope.Gauge("watchers_behind").Update(float64(news.Behind))
	scope.Gauge("news_sent").Update(float64(news.Sent))
	scope.Gauge("news_bytes").Update(float64(news.Bytes))
	halfOpen, open := p.hub.Breakers()
	scope.Gauge("breakers_half_open").Update(float64(halfOpen))
	scope.Gauge("breakers_open").Update(float64(open))
	scope.Gauge("zones_evacuated").Update(float64(len(evacuation.Zones(p.hub.Evacuations()))))
	scope.Gauge("upstreams_ended").Update(float64(len(p.hub.EndedStarts().GetUpstreams())))
	if s := p.server.Load(); s != nil {
		scope.Gauge("announcements_refused").Update(float64(s.Refused()))
	}
	scope.Gauge("news_whole").Update(float64(news.Whole))
}

// checkReady returns an error if no leader is known, so that the instance cannot
// commit anything.
func (p *registryProcess) checkReady() error {
	if p.replica.Load().Status().Leader == 0 {
		return errors.New("no leader is known")
	}
	return nil
}

// fatal exits the process after an error that keeps the replica from persisting
// its state.
func (p *registryProcess) fatal(err error) {
	p.log.Error("cannot persist state; exiting", zap.Error(err))
	_ = p.logs.Close() // Flushes the line above before the process exits.
	os.Exit(exitFailed)
}

// seedAddresses returns the seeds as peers. Their names are their link addresses.
func seedAddresses(s settings.Site) []control.Address {
	var out []control.Address
	for _, a := range s.ControlAddresses() {
		out = append(out, control.Address{Name: a, Link: a})
	}
	return out
}

// selfPeer returns the record of this process for the list of processes that
// control instances distribute.
func (p *siteProcess) selfPeer(role string) *fleetpb.Peer {
	return &fleetpb.Peer{
		Name:        p.settings.Listen.Link,
		Role:        role,
		Zone:        p.settings.Zone,
		Link:        p.settings.Listen.Link,
		Incarnation: p.incarnation,
	}
}

// connectedControls returns the link addresses of the control instances that this
// one is connected to.
func (p *registryProcess) connectedControls() []string {
	f := p.follower.Load()
	if f == nil {
		return nil
	}
	return f.Controls()
}

// voters returns the link addresses of the current Raft voters.
func (p *registryProcess) voters() []string {
	r := p.replica.Load()
	if r == nil {
		return nil
	}
	var out []string
	for _, name := range r.Status().Voters.GetNames() {
		out = append(out, name)
	}
	return out
}

// handle serves a stream of another process: a Watch goes to the hub, everything
// else to the replica once it has started.
func (p *registryProcess) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	if w := first.GetWatch(); w != nil {
		p.hub.Serve(ctx, st, w)
		return
	}
	select {
	case <-ctx.Done():
	case <-p.replicaReady:
		p.replica.Load().Serve(ctx, st, first)
	}
}

// stop transfers leadership to another instance, leaves the voters and closes
// everything.
func (p *registryProcess) stop(ctx context.Context) error {
	r := p.replica.Load()
	transferCtx, cancel := context.WithTimeout(ctx, leaderTransferTimeout)
	defer cancel()
	r.TransferLeadership(transferCtx)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	r.Leave(leaveCtx)
	err := errors.Join(p.http.Shutdown(ctx), p.server.Load().Close(), p.follower.Load().Close(), p.hub.Close(), p.linkServer.Close(), r.Close(), p.replicaPool.Close())
	p.system.Shutdown()
	p.close()
	return err
}
