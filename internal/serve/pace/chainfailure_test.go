package pace_test

import (
	"slices"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
)

const (
	// failureAt is when something fails in the load test, and repairAt when it is back.
	failureAt = 12 * time.Second
	repairAt  = 18 * time.Second
)

// loseOwner loses the owner of the second stage with its queue. The next one gets the jobs
// again, and the commitments with the first messages.
func loseOwner(r *loadRun, since time.Duration) {
	if since != failureAt {
		return
	}
	r.queues[1], r.calls[1] = r.newQueue(1), nil
	for _, g := range r.gateways {
		clear(g.told[1])
	}
	for _, q := range r.runningAt(func(q *loadRequest) bool { return q.stage == 1 }) {
		delete(r.running, q.job)
		if r.reserve {
			q.gateway.committed[1][q.key()] += q.pieces
		}
		r.send(q, 1)
	}
}

// runningAt returns the running requests that match, in the order of their arrival.
func (r *loadRun) runningAt(match func(q *loadRequest) bool) []*loadRequest {
	var out []*loadRequest
	for _, q := range r.running {
		if match(q) {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *loadRequest) int { return a.arrived.Compare(b.arrived) })
	return out
}

// loseGateway loses a gateway with its requests. The owners drop its numbers and cancel its
// jobs.
func loseGateway(r *loadRun, since time.Duration) {
	if since != failureAt {
		return
	}
	g := r.gateways[0]
	for stage := range r.queues {
		for key, n := range g.told[stage] {
			r.queues[stage].Commit(batching.Commitment{Rank: key.rank, Account: key.account, Pieces: -n})
		}
		clear(g.told[stage])
		clear(g.committed[stage])
	}
	for _, q := range r.runningAt(func(q *loadRequest) bool { return q.gateway == g }) {
		r.queues[q.stage].Remove(q.job)
		r.fail(q)
		q.gone = true
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(q *loadRequest) bool { return q.gateway == g })
}

// cutLinks cuts a quarter of the gateways off from what owners tell, and owners from their
// commitments.
func cutLinks(r *loadRun, since time.Duration) {
	for _, g := range r.gateways[:loadGateways/4] {
		g.cut = since >= failureAt && since < repairAt
	}
}

// Guards against commitments that do harm when something fails: that stay for good, or keep
// out requests for which there is capacity.
func TestChainUnderOverloadWithFailures(t *testing.T) {
	for name, event := range map[string]func(*loadRun, time.Duration){"lost owner": loseOwner, "dead gateway": loseGateway, "cut links": cutLinks} {
		t.Run(name, func(t *testing.T) {
			with, without := newLoadRun(7, 1.5, true), newLoadRun(7, 1.5, false)
			with.event, without.event = event, event
			with.run()
			without.run()
			t.Logf("with reservation: %+v, %.4f unused, %d expired", with.all, with.unusedShare(), with.expired)
			t.Logf("without: %+v, %.4f unused, %d expired", without.all, without.unusedShare(), without.expired)
			if got, want := with.all.onTime, without.all.onTime; got < want {
				t.Errorf("%d requests in time, want at least the %d without reservation", got, want)
			}
			if got, want := with.unusedShare(), without.unusedShare()/2; got > want {
				t.Errorf("%.4f of the work is unused, want %.4f at most, half of that without reservation", got, want)
			}
			for stage, q := range with.queues {
				if got := q.Committed(); got != 0 {
					t.Errorf("stage %d: %d pieces are committed at the end, want 0", stage, got)
				}
			}
		})
	}
}
