package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/api/gateway"
	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/breaker"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/pooling"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/operator/settings"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/balance"
	"hawthornhub.example/hawthornhub/internal/serve/capacity"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/zonefilter"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
	"hawthornhub.example/hawthornhub/platform"
)

const (
	// httpIdleTimeout is how long an idle connection is kept.
	httpIdleTimeout = 90 * time.Second
	// maxRequestHeaderBytes is the maximum size of the headers of a caller's
	// request.
	maxRequestHeaderBytes = 64 << 10
	// rejectUnsentMargin is the time before the deadline of the graceful stop at
	// which the gateway rejects the requests that it has not sent to an upstream,
	// and cancelSentMargin that at which it fails those that an upstream has not
	// answered.
	rejectUnsentMargin = time.Second
	cancelSentMargin   = 100 * time.Millisecond
	// loadBalancerDelay is how long the load balancer may go on opening
	// connections after the readiness check has started to fail.
	loadBalancerDelay = 3 * time.Second
	// heldMemoryShare is the part of the memory that may be held for callers, one of so
	// many. With the 25 MiB of an idle process and garbage of the same size again it stays
	// below memoryLimitRatio in processes of 144 MiB.
	heldMemoryShare = 5
)

func gatewayCommand(app *kingpin.Application) command {
	clause := app.Command("gateway", "Run a gateway: an entry that calls upstreams without agents.")
	file := clause.Flag("settings", "Settings file.").Required().String()
	return command{clause: clause, run: func() error { return runGateway(*file) }}
}

// gatewayProcess is a running gateway.
type gatewayProcess struct {
	*siteProcess
	upstreams *catalog.Table
	// rules tell which upstreams may be called at the moment.
	rules eligible.Rules
	// cold is the one of them that keeps requests from cold upstreams.
	cold *coldRule
	// zones keeps requests from evacuated availability zones.
	zones *zonefilter.Filter
	// capacity is what is learned of the upstreams, nil if that is not enabled.
	capacity *capacity.Model
	// pooling exchanges it with other gateways.
	pooling      atomic.Pointer[pooling.Exchange]
	poolingLinks *link.Pool
	// backoffs is what upstreams said of themselves in their answers, which is one of
	// the rules.
	backoffs    *backoff.Table
	balancer    *balance.Balancer
	breakers    *breaker.Guard
	transport   *transport.Pool
	batchOwner  *batcher.Owner
	batchRouter *batcher.Router
	server      *gateway.Server
	follower    atomic.Pointer[watch.Follower]
	// batchOwners caches the result of batchOwnerCandidates.
	batchOwners atomic.Pointer[batchOwners]
	linkServer  *link.Server
	callerHTTP  *http.Server
	// readyHTTP serves the readiness check of the load balancer.
	readyHTTP *http.Server
	draining  atomic.Bool
	accounts  accountMetrics
	// memory is used by the update of gauges alone.
	memory memoryReport
}

func runGateway(file string) error {
	runtime.GOMAXPROCS(1)
	p, err := newSiteProcess(file, settings.RoleGateway)
	if err != nil {
		return err
	}
	g := &gatewayProcess{siteProcess: p, accounts: newAccountMetrics()}
	if err := g.start(); err != nil {
		return err
	}
	ctx, cancel := p.waitForStop(func(s settings.Site) { g.follower.Load().Add(s.ControlAddresses()) })
	defer cancel()
	return g.stop(ctx)
}

func (g *gatewayProcess) start() error {
	s := g.settings
	g.cold = newColdRule(g)
	var stageTimes *capacity.Model
	if s.Capacity.Learn {
		g.capacity, stageTimes = capacity.NewModel(), capacity.NewModel()
	}
	g.balancer = balance.New(balance.Config{Zone: s.Zone, Random: rand.IntN, Model: g.capacity, Cold: g.cold.Cold})
	g.breakers = breaker.NewGuard(breaker.GuardConfig{Report: g.reportPrompts, Rank: g.trialRank, Log: g.log})
	g.backoffs = backoff.NewTable(backoff.Config{Random: rand.Float64})
	g.upstreams = catalog.New(catalog.Config{OnChange: g.onUpstreamChange})
	g.zones = zonefilter.New(zonefilter.Config{Random: rand.Float64})
	g.rules = eligible.Rules{g.zones, g.cold, eligible.Backoff{Table: g.backoffs, Now: watch.BootTime}}
	g.transport = transport.NewPool(transport.Config{
		Classify: platform.Classify,
		Permit:   g.permitSend,
		Admit:    g.admitSend,
		OnSignal: g.observeSignal,
		Log:      g.log,
	})
	g.batchOwner = batcher.NewOwner(batcher.Config{
		Send:      g.transport.Send,
		Codec:     platform.PieceCodec(),
		Upstreams: g.availableUpstreams,
		Rules:     g.rules,
		Holder:    g.resultHolder,
		Service:   g.findService,
		Model:     g.capacity,
		Fair:      g.sharesByAccount,
		Log:       g.log,
	})
	g.batchRouter = batcher.NewRouter(batcher.RouterConfig{Owner: g.batchOwner, Pool: g.pool, Self: s.Listen.Link, Owners: g.batchOwnerCandidates, Log: g.log})
	queueWait, commit := g.stageQueues()
	g.server = gateway.NewServer(gateway.Config{
		Headers:        platform.HeaderCodec(),
		Send:           g.transport.Send,
		AwaitCurrent:   g.awaitCurrent,
		UpstreamEnded:  g.upstreamEnded,
		Upstreams:      g.offeredUpstreams,
		AllLeave:       g.allLeave,
		AskedToWait:    g.askedToWait,
		Rules:          g.rules,
		Evacuated:      g.evacuatedUpstreams,
		NextCall:       g.nextCall,
		RunStage:       g.batchRouter.Do,
		ReleaseResults: g.batchRouter.Release,
		QueueWait:      queueWait,
		Commit:         commit,
		Fair:           g.sharesByAccount,
		Asked:          g.batchRouter.Asked,
		Standing:       g.batchRouter.Standing,
		ResultZone:     g.resultZone,
		Breakers:       g.breakers,
		Balancer:       g.balancer,
		StageTimes:     stageTimes,
		EntryCount:     g.entryCount,
		Retry:          gateway.RetryBudget{Ratio: s.Retry.Ratio, Burst: s.Retry.Burst},
		Zone:           s.Zone,
		HeldBytes:      s.MemoryBytes() / heldMemoryShare,
		Metrics:        g.health.Metrics(),
		Log:            g.log,
	})
	var err error
	g.linkServer, err = link.Listen(link.ServerConfig{Address: s.Listen.Link, Local: g.local, Auth: g.auth, Handle: g.handle, Log: g.log})
	if err != nil {
		return err
	}
	g.follower.Store(watch.NewFollower(watch.FollowerConfig{
		Pool:          g.pool,
		Seeds:         s.ControlAddresses(),
		WatchRequest:  g.watchRequest,
		OnNews:        g.applyNews,
		OnDocument:    g.applyDocument,
		OnEvacuations: g.applyEvacuations,
		OnSilence:     func(ids map[string]bool) { g.upstreams.SetSilent(ids, time.Now()) },
		Digests:       g.upstreams.Digests,
		Departed:      func() []*fleetpb.UpstreamWord { return g.upstreams.Departed(time.Now()) },
		Lacking: func(buckets []uint32, known []*fleetpb.UpstreamWord) []*fleetpb.UpstreamWord {
			return g.upstreams.Lacking(buckets, known, time.Now())
		},
		Log: g.log,
	}))
	g.startPooling()
	g.startGauges(g.updateGauges)
	g.health.SetStatus(g.writeStatus)
	g.callerHTTP = &http.Server{Handler: g.server, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxRequestHeaderBytes}
	g.readyHTTP = &http.Server{Handler: platform.ReadyMux(g.checkReady)}
	return errors.Join(g.serveHealth(g.checkReady), g.serveOn(s.Listen.Ready, g.readyHTTP), g.serveOn(s.Listen.Callers, g.callerHTTP))
}

// handle serves a stream of another gateway: jobs and result releases for the
// services whose batching this one owns, or reports on the capacity of upstreams.
func (g *gatewayProcess) handle(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	switch first.Body.(type) {
	case *fleetpb.Envelope_PieceCall, *fleetpb.Envelope_PieceRelease, *fleetpb.Envelope_PieceCommitments:
		g.batchOwner.Serve(ctx, st, first)
	case *fleetpb.Envelope_CapacityReport:
		if x := g.pooling.Load(); x != nil {
			x.Serve(ctx, st, first)
		}
	default:
		g.log.Warn("unexpected message type", zap.String("from", first.From))
	}
}

// selfPeer returns the record of this process for the list of processes that
// control instances distribute.
func (g *gatewayProcess) selfPeer() *fleetpb.Peer {
	return &fleetpb.Peer{
		Name:        g.settings.Name,
		Role:        watch.RoleEntry,
		Zone:        g.settings.Zone,
		Link:        g.settings.Listen.Link,
		Incarnation: g.incarnation,
		Leaving:     g.draining.Load(),
	}
}

// watchRequest returns the first message of a watch stream: what this process
// already knows.
func (g *gatewayProcess) watchRequest() *fleetpb.Watch {
	w := &fleetpb.Watch{Self: g.selfPeer(), Breakers: g.breakers.Breakers()}
	if x := g.server.Index(); x != nil {
		w.Version = &x.Version
	}
	return w
}

// applyNews merges the upstreams of a control instance's News into the catalog.
func (g *gatewayProcess) applyNews(n *fleetpb.News) {
	now := time.Now()
	for _, u := range n.Upstreams {
		g.upstreams.Merge(catalog.FromProto(u, now))
	}
	g.breakers.Apply(n)
	g.cold.observe()
}

// nextCall returns how long after now one of the upstreams may be called by a request that
// a number of others are ahead of.
func (g *gatewayProcess) nextCall(now time.Time, upstreams []catalog.Upstream, ahead int) time.Duration {
	return g.cold.NextShare(now, g.rules, upstreams, ahead)
}

// reportPrompts sends what this gateway has seen of prompt segments to the control
// instances.
func (g *gatewayProcess) reportPrompts(seen *fleetpb.NewsSeen) {
	if f := g.follower.Load(); f != nil {
		f.Report(seen)
	}
}

// trialRank returns the position of this gateway among those that send trials with a
// prompt segment.
func (g *gatewayProcess) trialRank(segment string) int {
	f := g.follower.Load()
	if f == nil {
		return 0
	}
	return rendezvous.Rank(segment, g.settings.Name, f.Peers(watch.RoleEntry), (*fleetpb.Peer).GetName)
}

// applyDocument puts a site document in force.
func (g *gatewayProcess) applyDocument(a *statepb.Adopted) error {
	start := time.Now()
	text, err := site.Text(a)
	if err != nil {
		return err
	}
	d, err := platform.DecodeDocument(text)
	if err != nil {
		return fmt.Errorf("decode committed site document: %w; is this program older than those of the control instances?", err)
	}
	g.server.Configure(site.NewIndex(d))
	g.log.Info("site document in force", zap.Uint64("version", d.Version), zap.Int("routes", len(d.Routes)), zap.Uint64("index", a.Index),
		zap.Int("bytes", len(text)), zap.Int("compressed", len(a.Text)), zap.Duration("decoding", time.Since(start)))
	return nil
}

// awaitCurrent returns once the gateway knows the present state of the fleet. Until the
// follower has started, there is none.
func (g *gatewayProcess) awaitCurrent(ctx context.Context) error {
	f := g.follower.Load()
	if f == nil {
		return nil
	}
	return f.AwaitCurrent(ctx)
}

// permitSend returns an error if no request may be sent to an upstream any more. The
// gateway may have been suspended since it chose the upstream.
func (g *gatewayProcess) permitSend(ctx context.Context, t transport.Target, r transport.Request) error {
	if err := g.awaitCurrent(ctx); err != nil {
		return err
	}
	u, ok := g.upstreams.Get(t.ID)
	if ok && r.Cleanup && u.StartTimeMs == t.StartTimeMs && g.takesReleases(u) {
		return nil
	}
	if !ok || u.State != catalog.Ready {
		return fmt.Errorf("upstream %s takes no requests any more; use another", t.ID)
	}
	if err := g.checkClosed(u); err != nil {
		return err
	}
	now := time.Now()
	if wait := g.rules.Wait(now, u); wait > 0 {
		return &eligible.WaitError{Upstream: t.ID, Wait: wait}
	}
	return g.cold.Take(now, u)
}

// endCheckTimeout is how long an upstream that has broken off a response is waited for to
// refuse a connection.
const endCheckTimeout = 200 * time.Millisecond

// upstreamEnded reports whether the process of an upstream that is not known to leave
// is gone.
func (g *gatewayProcess) upstreamEnded(ctx context.Context, u catalog.Upstream) bool {
	known, ok := g.upstreams.Get(u.ID)
	if !ok || known.StartTimeMs != u.StartTimeMs || known.State != catalog.Ready || g.zones.Evacuated(known.Zone) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	return transport.Refuses(ctx, transport.Target{ID: u.ID, Address: u.Address})
}

func (g *gatewayProcess) onUpstreamChange(before, after catalog.Upstream) {
	g.log.Info("upstream changed",
		zap.String("upstream", after.ID), zap.String("service", after.Service), zap.String("address", after.Address),
		zap.Stringer("before", before.State), zap.Stringer("state", after.State), zap.Int64("born", after.StartTimeMs), zap.Uint64("seq", after.Seq))
	g.endEarlierStarts(after)
	if after.State != catalog.Ready {
		g.transport.Forget(after.ID)
	}
	if after.State == catalog.Left {
		g.balancer.Forget(after.ID)
	}
}

// resultZone returns the availability zone of the upstream that stores the result
// with a handle, "" if the upstream is unknown.
func (g *gatewayProcess) resultZone(handle string) string {
	u, _ := g.upstreams.ByAddress(platform.PieceCodec().HolderAddress(handle))
	return u.Zone
}

// sharesByAccount reports whether scarce capacity is shared between accounts.
func (g *gatewayProcess) sharesByAccount() bool {
	x := g.server.Index()
	return g.settings.Fair.Accounts && x != nil && x.RequiresKey()
}

// findService returns the configuration of a service.
func (g *gatewayProcess) findService(name string) (*site.Service, bool) {
	x := g.server.Index()
	if x == nil {
		return nil, false
	}
	return x.Service(name)
}

// batchOwnerCandidates returns the entries that may own the batching of a service, those in
// an availability zone if there are any; an empty zone stands for all. Entries that share an instance with a control process are excluded as
// long as there are others, so that the loss of one instance does not take both an
// owner and a control process. The caller must not modify the slice.
func (g *gatewayProcess) batchOwnerCandidates(zone string) []batcher.Candidate {
	f := g.follower.Load()
	if f == nil {
		return nil
	}
	view := f.View()
	cached := g.batchOwners.Load()
	if cached == nil || cached.view != view {
		cached = newBatchOwners(view)
		g.batchOwners.Store(cached)
	}
	if candidates := cached.byZone[zone]; len(candidates) > 0 {
		return candidates
	}
	return cached.all
}

// batchOwners are the entries of a list of processes that may own the batching of a service.
type batchOwners struct {
	view   *watch.View
	all    []batcher.Candidate
	byZone map[string][]batcher.Candidate
}

func newBatchOwners(view *watch.View) *batchOwners {
	controlHosts := make(map[string]bool)
	for _, p := range view.Peers(watch.RoleControl) {
		controlHosts[hostOf(p.Link)] = true
	}
	staying := slices.DeleteFunc(slices.Clone(view.Peers(watch.RoleEntry)), func(p *fleetpb.Peer) bool { return p.Leaving })
	separate := slices.DeleteFunc(slices.Clone(staying), func(p *fleetpb.Peer) bool { return controlHosts[hostOf(p.Link)] })
	if len(separate) == 0 {
		separate = staying
	}
	owners := &batchOwners{view: view, byZone: make(map[string][]batcher.Candidate)}
	for _, p := range separate {
		c := batcher.Candidate{Link: p.Link, Incarnation: p.Incarnation}
		owners.all = append(owners.all, c)
		owners.byZone[p.Zone] = append(owners.byZone[p.Zone], c)
	}
	return owners
}

// hostOf returns the host of an address, or the address itself if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// entryCount returns the number of live entries, at least 1.
func (g *gatewayProcess) entryCount() int {
	f := g.follower.Load()
	if f == nil {
		return 1
	}
	return max(1, len(f.Peers(watch.RoleEntry)))
}

// updateGauges updates the gauges. It also removes expired upstreams from the
// catalog.
func (g *gatewayProcess) updateGauges(scope tally.Scope) {
	g.upstreams.RemoveExpired(time.Now(), unresponsiveRetention)
	open, dialled := g.transport.Counts()
	scope.Gauge("requests_open").Update(float64(g.server.InFlight()))
	scope.Gauge("upstream_connections").Update(float64(open))
	scope.Gauge("upstream_dials").Update(float64(dialled))
	scope.Gauge("upstream_answers_unmarked").Update(float64(g.transport.Unmarked()))
	scope.Gauge("control_connected").Update(float64(g.follower.Load().ConnectedCount()))
	received := g.follower.Load().Received()
	scope.Gauge("news_received").Update(float64(received.Messages))
	scope.Gauge("news_received_bytes").Update(float64(received.Bytes))
	scope.Gauge("documents_received").Update(float64(received.Documents))
	scope.Gauge("document_received_bytes").Update(float64(received.DocumentBytes))
	g.updateAccounts(scope)
	g.updateBackoffs(scope)
	g.updateCommitments(scope)
	halfOpen, open := g.breakers.Counts()
	scope.Gauge("breakers_half_open").Update(float64(halfOpen))
	scope.Gauge("breakers_open").Update(float64(open))
	scope.Gauge("zones_evacuated").Update(float64(g.zones.Count()))
	scope.Gauge("entries").Update(float64(g.entryCount()))
	if x := g.server.Index(); x != nil {
		scope.Gauge("document_version").Update(float64(x.Version))
	}
	g.reportCapacity(scope)
	g.memory.update(g.server.Memory(), scope, g.log)
	counts := make(map[catalog.State]int)
	all := g.upstreams.All()
	g.cold.updateGauges(time.Now(), scope, all)
	for _, u := range all {
		counts[u.State]++
	}
	for _, s := range []catalog.State{catalog.Ready, catalog.Draining, catalog.Left} {
		scope.Tagged(map[string]string{"state": s.String()}).Gauge("upstreams").Update(float64(counts[s]))
	}
}

// checkReady returns an error if the load balancer should open no connections.
func (g *gatewayProcess) checkReady() error {
	if g.draining.Load() {
		return errors.New("draining")
	}
	if g.server.Index() == nil {
		return errors.New("no configuration is known yet")
	}
	return nil
}

// stop fails the readiness check, goes on serving while the load balancer reacts,
// finishes the open requests until ctx ends, and closes everything.
func (g *gatewayProcess) stop(ctx context.Context) error {
	g.draining.Store(true)
	deadline, _ := ctx.Deadline()
	g.server.Drain(deadline.Add(-cancelSentMargin))
	g.follower.Load().UpdateSelf(g.selfPeer())
	select {
	case <-ctx.Done():
	case <-time.After(loadBalancerDelay):
	}
	defer time.AfterFunc(time.Until(deadline)-rejectUnsentMargin, g.server.RejectUnsent).Stop()
	defer time.AfterFunc(time.Until(deadline)-cancelSentMargin, g.server.CancelSent).Stop()
	err := g.callerHTTP.Shutdown(ctx)
	if err != nil {
		g.log.Warn("connections closed at the end of the grace period", zap.Int64("requests", g.server.InFlight()), zap.Error(err))
		err = g.callerHTTP.Close()
	}
	err = errors.Join(err, g.stopPooling(), g.readyHTTP.Close(), g.follower.Load().Close(), g.batchRouter.Close(), g.linkServer.Close(), g.batchOwner.Close(), g.transport.Close(), g.breakers.Close())
	g.close()
	return err
}
