package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/gateway"
	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/platform"
)

const (
	// callerIdle is how long a caller's idle connection is kept.
	callerIdle = 90 * time.Second
	// callerHeaderBytes bounds the headers of a request.
	callerHeaderBytes = 64 << 10
	// stopUnsent is how long before the end of the grace period requests are
	// refused that no upstream has yet, and stopSent how long before it those
	// are failed that no upstream has answered.
	stopUnsent = time.Second
	stopSent   = 100 * time.Millisecond
	// balancerNotices is how long the balancer may still send connections after
	// the process has said that it is not ready.
	balancerNotices = 3 * time.Second
)

func gatewayCommand(app *kingpin.Application) command {
	clause := app.Command("gateway", "Run an entry that calls upstreams without agents.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runGateway(*file) }}
}

// gate is a running gateway process.
type gate struct {
	*base
	table    *catalog.Table
	place    *balance.Balancer
	upstream *transport.Pool
	owner    *batcher.Owner
	router   *batcher.Router
	server   *gateway.Server
	follower atomic.Pointer[watch.Follower]
	links    *link.Server
	callers  *http.Server
	ready    *http.Server
	draining atomic.Bool
}

func runGateway(file string) error {
	runtime.GOMAXPROCS(1)
	b, err := newBase(file, settings.RoleGateway)
	if err != nil {
		return err
	}
	g := &gate{base: b}
	if err := g.start(); err != nil {
		return err
	}
	ctx, cancel := b.untilStop(func(s settings.Site) { g.follower.Load().Add(s.Controls()) })
	defer cancel()
	return g.stop(ctx)
}

func (g *gate) start() error {
	s := g.settings
	g.place = balance.New(balance.Config{Zone: s.Zone, Random: rand.IntN})
	g.table = catalog.New(catalog.Config{Changed: g.upstreamChanged})
	g.upstream = transport.NewPool(transport.Config{Classify: platform.Classify, Log: g.log})
	g.owner = batcher.NewOwner(batcher.Config{
		Send:      g.upstream.Send,
		Codec:     platform.Pieces(),
		Upstreams: g.table.Service,
		Service:   g.service,
		Log:       g.log,
	})
	g.router = batcher.NewRouter(batcher.RouterConfig{Owner: g.owner, Pool: g.pool, Self: s.Listen.Link, Owners: g.owners, Log: g.log})
	g.server = gateway.NewServer(gateway.Config{
		Headers:        platform.Gateway(),
		Send:           g.upstream.Send,
		Upstreams:      g.table.Service,
		RunStage:       g.router.Do,
		ReleaseResults: g.router.Release,
		QueueWait:      g.router.QueueWait,
		ResultZone:     g.zoneOf,
		Balancer:       g.place,
		EntryCount:     g.entries,
		Retry:          gateway.RetryBudget{Ratio: s.Retry.Ratio, Burst: s.Retry.Slack},
		Zone:           s.Zone,
		Metrics:        g.health.Metrics(),
		Log:            g.log,
	})
	var err error
	g.links, err = link.Listen(link.ServerConfig{Address: s.Listen.Link, Local: g.local, Auth: g.auth, Handle: g.handle, Log: g.log})
	if err != nil {
		return err
	}
	g.follower.Store(watch.NewFollower(watch.FollowerConfig{
		Pool:  g.pool,
		Seeds: s.Controls(),
		Watch: g.watch,
		Take:  g.take,
		Log:   g.log,
	}))
	g.startGauges(g.gauge)
	g.callers = &http.Server{Handler: g.server, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: callerHeaderBytes}
	g.ready = &http.Server{Handler: platform.ReadyMux(g.readiness)}
	return errors.Join(g.serveHealth(g.readiness), g.serveOn(s.Listen.Ready, g.ready), g.serveOn(s.Listen.Callers, g.callers))
}

func (g *gate) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	switch first.Body.(type) {
	case *fleetpb.Envelope_PieceCall, *fleetpb.Envelope_PieceRelease:
		g.owner.Serve(ctx, st, first)
	default:
		g.log.Warn("message not understood", zap.String("from", first.From))
	}
}

func (g *gate) self() *fleetpb.Peer {
	return &fleetpb.Peer{
		Name:        g.settings.Name,
		Role:        watch.RoleEntry,
		Zone:        g.settings.Zone,
		Link:        g.settings.Listen.Link,
		Incarnation: g.incarnation,
		Leaving:     g.draining.Load(),
	}
}

func (g *gate) watch() *fleetpb.Watch {
	w := &fleetpb.Watch{Self: g.self()}
	if x := g.server.Index(); x != nil {
		w.Version = x.Version
	}
	now := time.Now()
	for _, u := range g.table.All() {
		w.Upstreams = append(w.Upstreams, u.Word(now))
	}
	return w
}

// take takes over what a control instance tells.
func (g *gate) take(n *fleetpb.News) {
	now := time.Now()
	for _, w := range n.Upstreams {
		g.table.Merge(catalog.FromWord(w, now))
	}
	watch.TakeHeard(g.table, n, now)
	if n.Adopted == nil {
		return
	}
	if x := g.server.Index(); x != nil && x.Version >= n.Adopted.Version {
		return
	}
	d, err := platform.DecodeDocument(n.Adopted.Text)
	if err != nil {
		g.log.Error("accepted site document cannot be read", zap.Uint64("version", n.Adopted.Version), zap.Error(err))
		return
	}
	g.server.Configure(site.NewIndex(d))
	g.log.Info("site document in force", zap.Uint64("version", d.Version), zap.Int("routes", len(d.Routes)), zap.Uint64("index", n.Adopted.Index))
}

func (g *gate) upstreamChanged(before, after catalog.Upstream) {
	g.log.Info("upstream changed",
		zap.String("upstream", after.ID), zap.String("service", after.Service), zap.String("address", after.Address),
		zap.Stringer("before", before.State), zap.Stringer("state", after.State), zap.Int64("born", after.Born), zap.Uint64("seq", after.Seq))
	if after.State != catalog.Ready {
		g.upstream.Forget(after.ID)
	}
	if after.State == catalog.Left {
		g.place.Forget(after.ID)
	}
}

// zoneOf returns the availability zone of the upstream that holds a result.
func (g *gate) zoneOf(handle string) string {
	u, _ := g.table.At(platform.Pieces().HolderAddress(handle))
	return u.Zone
}

func (g *gate) service(name string) (*site.Service, bool) {
	x := g.server.Index()
	if x == nil {
		return nil, false
	}
	return x.Service(name)
}

// owners returns the entries that may own services: those that share no
// instance with control, where there are any, as losses of both would add up.
func (g *gate) owners() []string {
	f := g.follower.Load()
	if f == nil {
		return nil
	}
	controls := make(map[string]bool)
	for _, p := range f.Peers(watch.RoleControl) {
		controls[hostOf(p.Link)] = true
	}
	var all, apart []string
	for _, p := range f.Peers(watch.RoleEntry) {
		if p.Leaving {
			continue
		}
		all = append(all, p.Link)
		if !controls[hostOf(p.Link)] {
			apart = append(apart, p.Link)
		}
	}
	if len(apart) > 0 {
		return apart
	}
	return all
}

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// entries returns the number of living entries, at least 1.
func (g *gate) entries() int {
	f := g.follower.Load()
	if f == nil {
		return 1
	}
	return max(1, len(f.Peers(watch.RoleEntry)))
}

// gauge updates the gauges and forgets upstreams that have long been gone.
func (g *gate) gauge(scope tally.Scope) {
	g.table.Forget(time.Now(), forgetSilent)
	open, dialled := g.upstream.Counts()
	scope.Gauge("requests_open").Update(float64(g.server.InFlight()))
	scope.Gauge("upstream_connections").Update(float64(open))
	scope.Gauge("upstream_dials").Update(float64(dialled))
	scope.Gauge("control_connected").Update(float64(g.follower.Load().Connected()))
	scope.Gauge("entries").Update(float64(g.entries()))
	if x := g.server.Index(); x != nil {
		scope.Gauge("document_version").Update(float64(x.Version))
	}
	counts := make(map[catalog.State]int)
	for _, u := range g.table.All() {
		counts[u.State]++
	}
	for _, s := range []catalog.State{catalog.Ready, catalog.Draining, catalog.Left} {
		scope.Tagged(map[string]string{"state": s.String()}).Gauge("upstreams").Update(float64(counts[s]))
	}
}

// readiness returns why the balancer should send no connections.
func (g *gate) readiness() error {
	if g.draining.Load() {
		return errors.New("draining")
	}
	if g.server.Index() == nil {
		return errors.New("no configuration is known yet")
	}
	return nil
}

// stop lets the balancer notice, finishes what has begun, and ends.
func (g *gate) stop(ctx context.Context) error {
	g.draining.Store(true)
	end, _ := ctx.Deadline()
	g.server.Drain(end)
	g.follower.Load().Tell(g.self())
	select {
	case <-ctx.Done():
	case <-time.After(balancerNotices):
	}
	defer time.AfterFunc(time.Until(end)-stopUnsent, g.server.RejectUnsent).Stop()
	defer time.AfterFunc(time.Until(end)-stopSent, g.server.CancelSent).Stop()
	err := g.callers.Shutdown(ctx)
	if err != nil {
		g.log.Warn("requests cut at the end of the grace period", zap.Int64("requests", g.server.InFlight()), zap.Error(err))
		err = g.callers.Close()
	}
	err = errors.Join(err, g.ready.Close(), g.follower.Load().Close(), g.router.Close(), g.links.Close(), g.owner.Close(), g.upstream.Close())
	g.close()
	return err
}
