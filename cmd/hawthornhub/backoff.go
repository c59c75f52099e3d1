package main

import (
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/serve/backoff"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// startOf returns the start of an upstream that a request is for.
func startOf(t transport.Target) backoff.Start {
	return backoff.Start{ID: t.ID, StartTimeMs: t.StartTimeMs}
}

// admitSend returns an error if a request may not be sent to an upstream now, by what the
// upstream said in its answers. Results at a leaving upstream are still released.
func (g *gatewayProcess) admitSend(t transport.Target, r transport.Request) error {
	if g.backoffs.Empty() {
		return nil
	}
	if r.Cleanup && g.backoffs.Decide(watch.BootTime(), startOf(t)).State == backoff.Leaving {
		return nil
	}
	return g.backoffs.Admit(watch.BootTime(), startOf(t))
}

// checkClosed returns a *backoff.ClosedError if an upstream that a request was admitted to has
// said meanwhile that it wants none.
func (g *gatewayProcess) checkClosed(u catalog.Upstream) error {
	if g.backoffs.Empty() {
		return nil
	}
	switch d := g.backoffs.Decide(watch.BootTime(), eligible.StartOf(u)); d.State {
	case backoff.Leaving:
		return &backoff.ClosedError{Start: eligible.StartOf(u), Cause: backoff.CauseLeaving}
	case backoff.Closed:
		return &backoff.ClosedError{Start: eligible.StartOf(u), Wait: d.Wait, Cause: backoff.CauseRetryAfter}
	default:
		return nil
	}
}

// takesReleases reports whether an upstream that takes no other requests still takes
// releases of results: one that has said in an answer that it leaves, and that is not in an
// evacuated zone.
func (g *gatewayProcess) takesReleases(u catalog.Upstream) bool {
	return u.State != catalog.Left && !g.zones.Evacuated(u.Zone) && g.backoffs.Decide(watch.BootTime(), eligible.StartOf(u)).State == backoff.Leaving
}

// resultHolder returns the leaving upstream at an address that still takes releases of
// results.
func (g *gatewayProcess) resultHolder(address string) (catalog.Upstream, bool) {
	u, ok := g.upstreams.ByAddress(address)
	return u, ok && g.takesReleases(u)
}

// allLeave reports whether a service without ready upstreams has one that has said that it
// leaves.
func (g *gatewayProcess) allLeave(service string) bool {
	return slices.ContainsFunc(g.upstreams.All(), func(u catalog.Upstream) bool {
		return u.Service == service && g.takesReleases(u)
	})
}

// askedToWait reports whether a ready upstream of a service has asked for no requests for a
// while.
func (g *gatewayProcess) askedToWait(service string) bool {
	if g.backoffs.Empty() {
		return false
	}
	now := watch.BootTime()
	return slices.ContainsFunc(g.upstreams.Ready(service), func(u catalog.Upstream) bool {
		state := g.backoffs.Decide(now, eligible.StartOf(u)).State
		return state == backoff.Closed || state == backoff.Returning
	})
}

// observeSignal records what an upstream said of itself in an answer.
func (g *gatewayProcess) observeSignal(t transport.Target, s backoff.Signal) {
	for _, e := range g.backoffs.Observe(watch.BootTime(), startOf(t), s) {
		g.logBackoff(g.serviceOf(t.ID), e)
		if e.Cause == backoff.CauseLeaving && !e.Ended {
			g.reportLeaving(e.Start)
		}
	}
}

// reportLeaving stops all work for a start that leaves, and tells the control instances, so
// that other entries stop too. One that is not connected now finds out by its digest.
func (g *gatewayProcess) reportLeaving(s backoff.Start) {
	u, ok := g.upstreams.Get(s.ID)
	if !ok || u.StartTimeMs != s.StartTimeMs || u.State != catalog.Ready {
		g.transport.Forget(s.ID)
		return
	}
	now := time.Now()
	u = u.WithState(catalog.Draining)
	u.LastSeen = now
	g.upstreams.Merge(u)
	if f := g.follower.Load(); f != nil {
		// A control instance that does not read must not delay the answer.
		go f.Report(&fleetpb.NewsSeen{Upstreams: []*fleetpb.UpstreamWord{u.Proto(now)}})
	}
}

// endEarlierStarts ends what earlier starts of an upstream said.
func (g *gatewayProcess) endEarlierStarts(u catalog.Upstream) {
	for _, e := range g.backoffs.Replace(eligible.StartOf(u)) {
		g.logBackoff(u.Service, e)
	}
}

// serviceOf returns the service of an upstream, "" if it is not known.
func (g *gatewayProcess) serviceOf(id string) string {
	u, _ := g.upstreams.Get(id)
	return u.Service
}

// logBackoff logs and counts the begin or the end of a time in which no requests are sent to
// an upstream of a service.
func (g *gatewayProcess) logBackoff(service string, e backoff.Event) {
	fields := []zap.Field{zap.String("upstream", e.Start.ID), zap.String("service", service), zap.Int64("born", e.Start.StartTimeMs), zap.String("cause", string(e.Cause))}
	if e.Ended {
		g.log.Info("upstream may be called again", fields...)
		return
	}
	if e.Left > 0 {
		fields = append(fields, zap.Duration("left", e.Left), zap.Time("until", time.Now().Add(e.Left)))
	}
	g.log.Info("upstream is not called", fields...)
	g.health.Metrics().Tagged(map[string]string{"cause": string(e.Cause)}).Counter("upstream_backoffs").Inc(1)
}

// updateBackoffs ends what is over and updates the gauges of what is not.
func (g *gatewayProcess) updateBackoffs(scope tally.Scope) {
	now := watch.BootTime()
	for _, e := range g.backoffs.Expire(now) {
		g.logBackoff(g.serviceOf(e.Start.ID), e)
	}
	leaving, closed := 0, 0
	for _, u := range g.upstreams.All() {
		switch g.backoffs.Decide(now, eligible.StartOf(u)).State {
		case backoff.Leaving:
			if u.State != catalog.Left {
				leaving++
			}
		case backoff.Closed:
			closed++
		default:
		}
	}
	scope.Gauge("upstreams_leaving").Update(float64(leaving))
	scope.Gauge("upstreams_closed").Update(float64(closed))
}
