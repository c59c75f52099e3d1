package main

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// reportCapacity updates the gauges of what is learned of the upstreams, and logs which of
// them are slow and which have recovered.
func (g *gatewayProcess) reportCapacity(scope tally.Scope) {
	if g.capacity == nil {
		return
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
