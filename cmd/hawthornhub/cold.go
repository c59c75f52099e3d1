package main

import (
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
	"hawthornhub.example/hawthornhub/internal/serve/warmup"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// coldRule keeps requests from cold upstreams that this gateway has no share of left. It
// gives the decisions of package warmup what they depend on. It is safe for concurrent
// use.
type coldRule struct {
	// follower returns the follower of the control instances, nil before there is one.
	follower func() *watch.Follower
	// index returns the site document, nil before there is one.
	index func() *site.Index
	log   *zap.Logger
	// bootTime is a clock that also counts while the machine is suspended.
	bootTime func() time.Duration

	mu      sync.Mutex
	limiter *warmup.Limiter
	// moment is the last time that facts was called with.
	moment time.Time
	now    time.Duration
	view   *watch.View
	// contact is as of moment.
	contact watch.Contact
	// document and service are those of the last look-up, perSecond is what it found.
	// configured is set if a service of the document has cold upstreams.
	document   *site.Index
	configured bool
	service    string
	perSecond  float64
	// cold holds the IDs of the upstreams that were cold at the last update of the gauges.
	cold map[string]bool
	// scratch is reused by NextShare.
	scratch []warmup.Upstream
	// limited counts the requests that could not be written for lack of a share.
	limited int64
}

func newColdRule(g *gatewayProcess) *coldRule {
	s := g.settings
	return &coldRule{
		follower: g.follower.Load,
		index:    func() *site.Index { return g.server.Index() },
		log:      g.log,
		bootTime: watch.BootTime,
		limiter:  warmup.New(warmup.Config{Self: s.Name, Over: s.Cold.Over, Slack: s.Cold.Slack}),
	}
}

// facts brings what the decisions depend on up to date. The decisions on many upstreams at
// one moment share it. The caller holds mu.
func (r *coldRule) facts(now time.Time) {
	if now.Equal(r.moment) {
		return
	}
	r.moment, r.now = now, r.bootTime()
	contact := watch.Contact{}
	if f := r.follower(); f != nil {
		contact = f.Contact()
		if v := f.View(); v != r.view {
			r.view = v
			r.limiter.SetEntries(r.now, peerNames(v.Peers(watch.RoleEntry)))
		}
	}
	r.limiter.SetContact(r.now, warmup.Contact(contact))
	r.contact = contact
	r.useDocument()
}

// useDocument takes over the site document in force. The caller holds mu.
func (r *coldRule) useDocument() {
	if x := r.index(); x != r.document {
		r.document, r.service = x, ""
		r.configured = x != nil && slices.ContainsFunc(x.Services, func(s site.Service) bool { return s.ColdPerSecond > 0 })
	}
}

func peerNames(peers []*fleetpb.Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = p.GetName()
	}
	return out
}

// upstream returns what the decisions depend on of an upstream. The caller holds mu.
func (r *coldRule) upstream(now time.Time, u *catalog.Upstream) warmup.Upstream {
	if !r.configured {
		return warmup.Upstream{ID: u.ID}
	}
	if u.Service != r.service || r.service == "" {
		r.service, r.perSecond = u.Service, 0
		if s, ok := r.document.Service(u.Service); ok {
			r.perSecond = s.ColdPerSecond
		}
	}
	if r.perSecond == 0 {
		return warmup.Upstream{ID: u.ID}
	}
	left, cold := u.Cold(now)
	return warmup.Upstream{ID: u.ID, PerSecond: r.perSecond, Cold: cold, Left: left}
}

// Wait implements eligible.Rule.
func (r *coldRule) Wait(now time.Time, u catalog.Upstream) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(now)
	return r.limiter.Wait(r.now, r.upstream(now, &u))
}

// Take counts a request that is written to an upstream right after it. The error is a
// *eligible.WaitError if none may be.
func (r *coldRule) Take(now time.Time, u catalog.Upstream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(now)
	if wait := r.limiter.Take(r.now, r.upstream(now, &u)); wait > 0 {
		r.limited++
		return &eligible.WaitError{Upstream: u.ID, Wait: wait}
	}
	return nil
}

// Cold returns which of the candidates count as cold, nil if none does.
func (r *coldRule) Cold(now time.Time, candidates []catalog.Upstream) []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useDocument()
	if !r.configured {
		return nil
	}
	r.facts(now)
	var out []bool
	for i := range candidates {
		if !r.limiter.Limits(r.upstream(now, &candidates[i])) {
			continue
		}
		if out == nil {
			out = make([]bool, len(candidates))
		}
		out[i] = true
	}
	return out
}

// Applies implements eligible.BatchRule.
func (r *coldRule) Applies() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.useDocument()
	return r.configured
}

// WaitAll implements eligible.BatchRule.
func (r *coldRule) WaitAll(now time.Time, candidates []catalog.Upstream, waits []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(now)
	for i := range candidates {
		waits[i] = max(waits[i], r.limiter.Wait(r.now, r.upstream(now, &candidates[i])))
	}
}

// NextShare returns how long after now a request may be sent to one of the upstreams that
// has a number of others ahead of it, by this rule and the others in the list.
func (r *coldRule) NextShare(now time.Time, rules eligible.Rules, upstreams []catalog.Upstream, ahead int) time.Duration {
	others := slices.DeleteFunc(slices.Clone(rules), func(rule eligible.Rule) bool { return rule == eligible.Rule(r) })
	waits := others.WaitAll(now, upstreams)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(now)
	cold, open := r.scratch[:0], eligible.Unknown
	for i := range upstreams {
		if waits != nil && waits[i] > 0 {
			open = min(open, waits[i])
			continue
		}
		cold = append(cold, r.upstream(now, &upstreams[i]))
	}
	r.scratch = cold
	return min(open, r.limiter.Next(r.now, cold, ahead))
}

// observe records the contact with the control instances. It is called at each News, so
// that the time without contact is known when no requests come.
func (r *coldRule) observe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(time.Now())
}

// updateGauges updates the gauges, and logs which upstreams have become cold or warm.
func (r *coldRule) updateGauges(now time.Time, scope tally.Scope, upstreams []catalog.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.facts(now)
	known, cold := make(map[string]bool, len(upstreams)), make(map[string]bool)
	for _, u := range upstreams {
		known[u.ID] = true
		w := r.upstream(now, &u)
		if w.PerSecond == 0 || !w.Cold || u.State != catalog.Ready {
			continue
		}
		cold[u.ID] = true
		if !r.cold[u.ID] {
			r.log.Info("upstream is cold", zap.String("upstream", u.ID), zap.String("service", u.Service), zap.Int64("born", u.StartTimeMs),
				zap.Uint64("cold_seq", u.ColdSeq), zap.Duration("left", w.Left), zap.Int("share", r.limiter.Share(w)))
		}
	}
	for id := range r.cold {
		if !cold[id] {
			r.log.Info("upstream is no longer cold", zap.String("upstream", id))
		}
	}
	r.cold = cold
	r.limiter.Retain(func(id string) bool { return known[id] })
	scope.Gauge("cold_upstreams").Update(float64(len(cold)))
	scope.Gauge("cold_limited").Update(float64(r.limited))
	scope.Gauge("control_contact").Update(contactValue(r.contact))
}

// contactValue returns 2 in contact with a majority of the control instances, 1 with
// fewer and 0 without.
func contactValue(c watch.Contact) float64 {
	switch {
	case c.Current && c.Majority:
		return 2
	case c.Current:
		return 1
	default:
		return 0
	}
}
