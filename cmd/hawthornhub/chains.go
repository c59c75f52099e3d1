package main

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornhub.example/hawthornhub/internal/api/gateway"
	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// stageQueues returns how the gateway looks up the queues of stages and how it reserves
// capacity there, nil if it reserves none.
func (g *gatewayProcess) stageQueues() (wait func(service, zone, account string, rank site.Rank) (onTime, total time.Duration), commit func(batcher.Job) gateway.Commitment) {
	if !g.settings.Chains.Reserve {
		return g.batchRouter.QueueWait, nil
	}
	return g.batchRouter.CommittedWait, func(job batcher.Job) gateway.Commitment { return g.batchRouter.Commit(job) }
}

// updateCommitments updates the gauges of what admitted requests will still send to the
// services that this process owns.
func (g *gatewayProcess) updateCommitments(scope tally.Scope) {
	if !g.settings.Chains.Reserve {
		return
	}
	for _, c := range g.batchOwner.Commitments() {
		scope.Tagged(map[string]string{"service": c.Service}).Gauge("committed_pieces").Update(float64(c.Pieces))
	}
}
