package main

import (
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/pooling"
)

const (
	// poolingHeartbeatInterval is the time between heartbeats of the links on which
	// observations are pooled. Missing answers show a lost peer sooner, and 104 links to a
	// pooling entry with the usual interval would take 26 kB a second.
	poolingHeartbeatInterval = 30 * time.Second
	poolingHeartbeatTimeout  = 3 * time.Second
)

// startPooling starts the exchange of what is learned of the upstreams, if it is learned.
func (g *gatewayProcess) startPooling() {
	if g.capacity == nil {
		return
	}
	g.poolingLinks = link.NewPool(link.PoolConfig{
		Local:             g.local,
		Auth:              g.auth,
		HeartbeatInterval: poolingHeartbeatInterval,
		HeartbeatTimeout:  poolingHeartbeatTimeout,
		DialTimeout:       linkDialTimeout,
		Log:               g.log,
	})
	g.pooling.Store(pooling.New(pooling.Config{
		Model:   g.capacity,
		Links:   g.poolingLinks,
		Self:    g.settings.Listen.Link,
		Entries: g.poolingEntries,
		Log:     g.log,
	}))
}

// poolingEntries returns the link addresses of the entries that may pool observations, the
// same that may own services.
func (g *gatewayProcess) poolingEntries() []string {
	var out []string
	for _, c := range g.batchOwnerCandidates("") {
		out = append(out, c.Link)
	}
	return out
}

// stopPooling stops the exchange.
func (g *gatewayProcess) stopPooling() error {
	x := g.pooling.Load()
	if x == nil {
		return nil
	}
	return errors.Join(x.Close(), g.poolingLinks.Close())
}

// reportCapacity updates the gauges of what is learned of the upstreams, and logs which of
// them are slow and which have recovered.
func (g *gatewayProcess) reportCapacity(scope tally.Scope) {
	if g.capacity == nil {
		return
	}
	if x := g.pooling.Load(); x != nil {
		sent, received := x.Bytes()
		scope.Gauge("capacity_pool_sent_bytes").Update(float64(sent))
		scope.Gauge("capacity_pool_received_bytes").Update(float64(received))
		scope.Gauge("capacity_pool_streams").Update(float64(x.Streams()))
	}
	for _, s := range g.capacity.Judge(time.Now()) {
		tagged := scope.Tagged(map[string]string{"service": s.Service, "upstream": s.Upstream})
		tagged.Gauge("capacity_pace").Update(s.Pace)
		tagged.Gauge("capacity_concurrency").Update(float64(s.Concurrency))
		if !s.Changed {
			continue
		}
		message := "upstream has recovered its pace"
		if s.Slow {
			message = "upstream judged slow; it gets fewer requests"
		}
		g.log.Info(message, zap.String("service", s.Service), zap.String("upstream", s.Upstream), zap.Float64("pace", s.Pace), zap.Int("concurrency", s.Concurrency))
	}
}
