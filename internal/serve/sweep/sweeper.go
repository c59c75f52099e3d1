package sweep

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/replica"
	"hawthornhub.example/hawthornhub/internal/serve/once"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// interval is the time between sweeps.
	interval = time.Second
	// maxUnresolvedAge is the age at which a claim is resolved even if its
	// owner is alive.
	maxUnresolvedAge = 30 * time.Second
	// orphanAge is the age at which a claim of a dead owner is resolved.
	orphanAge = time.Second
	// maxClaimsPerSweep bounds the claims resolved in one sweep.
	maxClaimsPerSweep = 256
	// commandTimeout bounds the resolution of one claim, and one removal of
	// expired keys.
	commandTimeout = 2 * time.Second
	// sweepsPerKeyRemoval is the number of sweeps between removals of expired
	// keys.
	sweepsPerKeyRemoval = 30
)

// Config configures a Sweeper.
type Config struct {
	Replica *replica.Replica
	Ledger  once.Ledger
	Runner  *once.Runner
	// OwnerAlive reports whether the process that owns a claim is still running.
	OwnerAlive func(owner string) bool
	Log        *zap.Logger
}

// Sweeper resolves claims without an outcome and removes expired keys while its
// replica is the leader.
type Sweeper struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts a Sweeper; Close stops it.
func Start(cfg Config) *Sweeper {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sweeper{cfg: cfg, cancel: cancel}
	s.wg.Add(1)
	go s.run(ctx)
	return s
}

func (s *Sweeper) run(ctx context.Context) {
	defer s.wg.Done()
	t := time.NewTicker(interval)
	defer t.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.cfg.Replica.Status().Role != raft.Leader {
			continue
		}
		s.resolveClaims(ctx)
		if n%sweepsPerKeyRemoval == 0 {
			s.removeExpiredKeys(ctx)
		}
	}
}

func (s *Sweeper) resolveClaims(ctx context.Context) {
	for _, claim := range s.claimsToResolve(ctx) {
		claimCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		if _, err := s.cfg.Runner.Resolve(claimCtx, claim); err != nil {
			s.cfg.Log.Debug("claim not resolved yet", zap.String("key", claim.Key), zap.Error(err))
		}
		cancel()
	}
}

// claimsToResolve returns the claims of dead owners that are older than
// orphanAge, and all claims that are older than maxUnresolvedAge.
func (s *Sweeper) claimsToResolve(ctx context.Context) []*statepb.ClaimState {
	var candidates, old []*statepb.ClaimState
	err := s.cfg.Replica.Read(ctx, func(m *fsm.Machine) {
		candidates = m.UnresolvedClaims(orphanAge.Milliseconds())
		old = m.UnresolvedClaims(maxUnresolvedAge.Milliseconds())
	})
	if err != nil {
		return nil
	}
	out := old
	for _, c := range candidates {
		if !s.cfg.OwnerAlive(c.Owner) && !containsClaim(old, c) {
			out = append(out, c)
		}
	}
	return out[:min(len(out), maxClaimsPerSweep)]
}

func containsClaim(claims []*statepb.ClaimState, c *statepb.ClaimState) bool {
	return slices.ContainsFunc(claims, func(other *statepb.ClaimState) bool {
		return other.Account == c.Account && other.Key == c.Key
	})
}

// removeExpiredKeys proposes a Sweep command, which removes the keys that are
// past retention from the ledger.
func (s *Sweeper) removeExpiredKeys(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if _, err := s.cfg.Ledger.Propose(ctx, &statepb.Command{Body: &statepb.Command_Sweep{Sweep: &statepb.Sweep{}}}); err != nil {
		s.cfg.Log.Debug("expired keys not removed yet", zap.Error(err))
	}
}

// Close stops the Sweeper and waits until its goroutine has ended.
func (s *Sweeper) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}
