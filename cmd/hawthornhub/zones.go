package main

import (
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// applyEvacuations puts evacuated zones in force. When it returns, no request is written to
// an upstream there any more, and the connections that are not in use are closed.
func (g *gatewayProcess) applyEvacuations(e *statepb.Evacuations) {
	// The upstreams of a restored zone may have become cold just before. They count as cold
	// until they have announced themselves again.
	evacuation.MarkRevoked(e, g.upstreams.MarkCold)
	begun, ended := g.zones.Apply(time.Now(), e)
	for _, u := range g.upstreams.All() {
		if g.zones.Evacuated(u.Zone) {
			g.transport.Forget(u.ID)
		}
	}
	g.log.Info("evacuated zones in force", zap.Strings("zones", evacuation.Zones(e)), zap.Uint64("index", e.GetIndex()),
		zap.Strings("begun", begun), zap.Strings("ended", ended))
}

// availableUpstreams returns the ready upstreams of a service in zones that are not
// evacuated.
func (g *gatewayProcess) availableUpstreams(service string) []catalog.Upstream {
	return g.zones.Available(service, g.upstreams.Ready(service))
}

// offeredUpstreams returns those of them that a request may be sent to: zones that were
// restored take load gradually.
func (g *gatewayProcess) offeredUpstreams(service string) []catalog.Upstream {
	return g.zones.Offered(time.Now(), service, g.upstreams.Ready(service))
}

// evacuatedUpstreams returns the number of ready upstreams of a service in evacuated zones.
func (g *gatewayProcess) evacuatedUpstreams(service string) int {
	return len(g.upstreams.Ready(service)) - len(g.availableUpstreams(service))
}
