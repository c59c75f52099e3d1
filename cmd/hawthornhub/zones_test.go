package main

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/transport"
	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/serve/zonefilter"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Guards against a gateway that sends the upstreams of a restored zone as much as warm ones,
// although they may have become cold and have not said so yet.
func TestUpstreamsOfRestoredZoneAreColdAtGateway(t *testing.T) {
	g := &gatewayProcess{
		siteProcess: &siteProcess{log: zap.NewNop()},
		upstreams:   catalog.New(catalog.Config{}),
		zones:       zonefilter.New(zonefilter.Config{Random: func() float64 { return 0 }}),
		transport:   transport.NewPool(transport.Config{Log: zap.NewNop()}),
	}
	g.upstreams.Merge(catalog.Upstream{ID: "a", Service: "llm", Address: "127.0.0.1:1", Zone: "z1", State: catalog.Ready, StartTimeMs: 1, Seq: 1, LastSeen: time.Now()})
	for index, revoked := range []bool{false, true} {
		g.applyEvacuations(&statepb.Evacuations{Index: uint64(index + 2), Zones: []*statepb.ZoneEvacuation{{Zone: "z1", Index: uint64(index + 2), Revoked: revoked}}})
		u, _ := g.upstreams.Get("a")
		if _, cold := u.Cold(time.Now()); cold != revoked {
			t.Errorf("cold: %t, want %t (evacuation revoked: %t)", cold, revoked, revoked)
		}
		if got := g.zones.Evacuated("z1"); got == revoked {
			t.Errorf("evacuated: %t, want %t", got, !revoked)
		}
	}
}
