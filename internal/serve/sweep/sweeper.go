package sweep

import (
	"context"
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
	// unfinishedAge is the age from which a claim is settled although its
	// owner may live.
	unfinishedAge = 30 * time.Second
	// orphanAge is the age from which a claim of a dead owner is settled.
	orphanAge = time.Second
	// perSweep bounds the claims settled in one sweep.
	perSweep = 256
	// settleTimeout bounds the settling of one claim.
	settleTimeout = 2 * time.Second
	// retireEvery is the number of sweeps between retirements of old keys.
	retireEvery = 30
)

// Config starts a Sweeper.
type Config struct {
	Replica *replica.Replica
	Ledger  once.Ledger
	Runner  *once.Runner
	// Alive reports whether the owner of a claim still runs.
	Alive func(owner string) bool
	Log   *zap.Logger
}

// Sweeper settles unfinished claims while its replica leads.
type Sweeper struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start starts a Sweeper.
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
		if s.cfg.Replica.View().Role != raft.Leader {
			continue
		}
		s.settle(ctx)
		if n%retireEvery == 0 {
			s.retire(ctx)
		}
	}
}

func (s *Sweeper) settle(ctx context.Context) {
	for _, claim := range s.unfinished(ctx) {
		bounded, cancel := context.WithTimeout(ctx, settleTimeout)
		if _, err := s.cfg.Runner.Resolve(bounded, claim); err != nil {
			s.cfg.Log.Debug("claim not settled yet", zap.String("key", claim.Key), zap.Error(err))
		}
		cancel()
	}
}

// unfinished returns the claims to settle: those of dead owners, and all that
// are old.
func (s *Sweeper) unfinished(ctx context.Context) []*statepb.ClaimState {
	var young, old []*statepb.ClaimState
	err := s.cfg.Replica.Read(ctx, func(m *fsm.Machine) {
		young = m.Unfinished(orphanAge.Milliseconds())
		old = m.Unfinished(unfinishedAge.Milliseconds())
	})
	if err != nil {
		return nil
	}
	out := old
	for _, c := range young {
		if !s.cfg.Alive(c.Owner) {
			out = append(out, c)
		}
	}
	return out[:min(len(out), perSweep)]
}

func (s *Sweeper) retire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if _, err := s.cfg.Ledger.Propose(ctx, &statepb.Command{Body: &statepb.Command_Sweep{Sweep: &statepb.Sweep{}}}); err != nil {
		s.cfg.Log.Debug("old keys not retired yet", zap.Error(err))
	}
}

// Close stops sweeping and waits.
func (s *Sweeper) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}
