package batcher

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

const (
	// shareLogInterval is the time between two log lines on the accounts of a shard while
	// capacity is scarce.
	shareLogInterval = 5 * time.Second
	// maxLoggedAccounts is the number of accounts in such a line.
	maxLoggedAccounts = 8
)

// recordAsked records what accounts ask for: what the sender of a job reports or, if it
// counts nothing, the job itself. The caller holds mu.
func (d *dispatcher) recordAsked(now time.Time, job Job) {
	if !job.counted {
		d.queue.Ask(now, job.Account, job.Pieces)
		return
	}
	for account, pieces := range job.asked {
		d.queue.Ask(now, account, pieces)
	}
}

// logShares logs what accounts use when capacity has become scarce, from time to time while
// it stays so, and the end. The caller holds mu.
func (d *dispatcher) logShares(now time.Time) {
	scarce := d.queue.Scarce()
	if !scarce && d.sharesLogged.IsZero() || scarce && now.Sub(d.sharesLogged) < shareLogInterval {
		return
	}
	if !scarce {
		d.sharesLogged = time.Time{}
		d.owner.cfg.Log.Info("capacity suffices for all accounts again", zap.String("service", d.shard.key()))
		return
	}
	d.sharesLogged = now
	for _, u := range d.queue.Usages(now, maxLoggedAccounts) {
		d.owner.cfg.Log.Info("scarce capacity shared by account",
			zap.String("service", d.shard.key()), zap.String("account", u.Account), zap.Stringer("standing", u.Standing),
			zap.Float64("asked", rounded(u.Asked)), zap.Float64("used", rounded(u.Used)), zap.Float64("share", rounded(u.Share)), zap.Float64("borrowed", rounded(u.Borrowed)))
	}
}

func rounded(x float64) float64 { return math.Round(100*x) / 100 }

// ServiceUsage is what an account asks for and uses of a service.
type ServiceUsage struct {
	// Service is the service, followed by the availability zone if it is split by zone.
	Service string
	fairshare.Usage
}

// Usages returns what accounts ask for and use of the services that this process owns, of at
// most limit accounts for each service, those that ask for most.
func (o *Owner) Usages(now time.Time, limit int) []ServiceUsage {
	o.mu.Lock()
	dispatchers := make([]*dispatcher, 0, len(o.dispatchers))
	for _, d := range o.dispatchers {
		dispatchers = append(dispatchers, d)
	}
	o.mu.Unlock()
	slices.SortFunc(dispatchers, func(a, b *dispatcher) int { return cmp.Compare(a.shard.key(), b.shard.key()) })
	var out []ServiceUsage
	for _, d := range dispatchers {
		d.mu.Lock()
		for _, u := range d.queue.Usages(now, limit) {
			out = append(out, ServiceUsage{Service: d.shard.key(), Usage: u})
		}
		d.mu.Unlock()
	}
	return out
}
