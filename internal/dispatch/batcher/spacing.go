package batcher

import (
	"time"

	"go.uber.org/zap"
)

const (
	// lostInterval and lostBurst bound the calls to an upstream whose answers cost their
	// connections. The bound is far above what an upstream reaches that fails some pieces.
	lostInterval = 50 * time.Millisecond
	lostBurst    = 10
	// releaseInterval and releaseBurst bound the releases at an upstream, each of which
	// takes a connection. Releases that come sooner share the next one.
	releaseInterval = 20 * time.Millisecond
	releaseBurst    = 10
	// pauseLogInterval limits how often the pauses of an upstream are logged.
	pauseLogInterval = 10 * time.Second
)

// spacing bounds a rate: burst events at once, and one in each interval for longer.
type spacing struct {
	// free is when all burst events are possible at once again.
	free time.Time
}

// wait returns the time until the next event may happen.
func (p *spacing) wait(now time.Time, interval time.Duration, burst int) time.Duration {
	return max(0, p.free.Add(-time.Duration(burst-1)*interval).Sub(now))
}

// add counts an event.
func (p *spacing) add(now time.Time, interval time.Duration) {
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(interval)
}

// pause bounds how often an upstream is called whose answers have no results: each of them
// costs its connection. The caller holds mu.
func (d *dispatcher) pause(now time.Time, id string, s *upstreamState, outputs []Output) {
	if len(resultsOf(outputs)) > 0 {
		return
	}
	s.lostConnections.add(now, lostInterval)
	wait := s.lostConnections.wait(now, lostInterval, lostBurst)
	if until := now.Add(wait); wait > 0 && until.After(s.backoffUntil) {
		s.backoffUntil = until
		if now.Sub(s.pauseLogged) > pauseLogInterval {
			s.pauseLogged = now
			d.owner.cfg.Log.Info("calls to upstream spaced: its answers have no results", zap.String("service", d.shard.key()), zap.String("upstream", id), zap.Duration("apart", lostInterval))
		}
	}
}
