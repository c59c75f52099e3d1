package registry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// admissionTimeout limits the wait until it is certain what an announcement means.
	// Together with the commit and the wait for the watchers it stays below 1 s.
	admissionTimeout = 600 * time.Millisecond
	// admissionInterval is the time between two looks.
	admissionInterval = 20 * time.Millisecond
	// hearingTime is how long this instance must have run without a gap of over deafTime
	// before it takes an upstream that it does not hear for one that has stopped. A live upstream announces
	// itself in that time, here or to another instance.
	hearingTime = 2 * time.Second
)

// EndedStartError reports an announcement of a start that takes no calls any more.
type EndedStartError struct {
	Upstream string
	BornMs   int64
}

// Error implements error.
func (e *EndedStartError) Error() string {
	return fmt.Sprintf("the start of upstream %s that was born at %d has ended or was replaced; start it again with a later born", e.Upstream, e.BornMs)
}

// DisputedStartError reports an announcement that contradicts what another upstream, or an
// earlier born start of the same one, announced a short while ago.
type DisputedStartError struct {
	Upstream string
	Other    catalog.Upstream
}

// Error implements error.
func (e *DisputedStartError) Error() string {
	return fmt.Sprintf("upstream %s born at %d was heard a short while ago at %s, where upstream %s announces itself or which it says to have replaced; announce it again",
		e.Other.ID, e.Other.StartTimeMs, e.Other.Address, e.Upstream)
}

// EndsUnknownError reports an announcement of a start that may have ended, as this instance
// does not know the ended ones: it has just started, was suspended or follows no leader.
type EndsUnknownError struct{ Upstream string }

// Error implements error.
func (e *EndsUnknownError) Error() string {
	return fmt.Sprintf("this instance does not know yet whether the start of upstream %s has ended; announce it again, here or elsewhere", e.Upstream)
}

// UncertainStartError reports that an upstream leaves without saying which of its starts
// does, and that this is not certain.
type UncertainStartError struct{ Upstream string }

// Error implements error.
func (e *UncertainStartError) Error() string {
	return fmt.Sprintf("no start of upstream %s is known here, or an earlier one ended less than %v ago; send born, or send draining first", e.Upstream, catalog.MaxDelay)
}

// admit returns an announcement with its start once it is certain that it can be heeded.
func (s *Server) admit(ctx context.Context, u catalog.Upstream) (catalog.Upstream, error) {
	if u.State == catalog.Left && u.StartTimeMs == 0 {
		born, certain := s.cfg.Hub.Upstreams().LeavingStart(u.ID, time.Now())
		if !certain {
			return u, &UncertainStartError{Upstream: u.ID}
		}
		u.StartTimeMs = born
	}
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	for {
		wait, err := s.judge(ctx, u)
		if !wait {
			return u, err
		}
		select {
		case <-ctx.Done():
			return u, err
		case <-time.After(admissionInterval):
		}
	}
}

// judge returns nil if an announcement can be heeded, or an error and whether that may
// change in a moment.
func (s *Server) judge(ctx context.Context, u catalog.Upstream) (wait bool, err error) {
	j := s.cfg.Hub.Upstreams().Judge(u)
	switch {
	case j.Standing == catalog.Disputed && j.Other.Silent && s.hearsUpstreams():
		if err := s.endReplaced(ctx, u, j); err != nil {
			return false, err
		}
		return true, &DisputedStartError{Upstream: u.ID, Other: j.Other}
	case j.Standing == catalog.Disputed:
		return true, &DisputedStartError{Upstream: u.ID, Other: j.Other}
	case u.State != catalog.Ready:
		return false, nil
	case j.Standing == catalog.Ended:
		return false, &EndedStartError{Upstream: u.ID, BornMs: u.StartTimeMs}
	case !s.knowsEnds(j.Standing):
		return true, &EndsUnknownError{Upstream: u.ID}
	default:
		return false, nil
	}
}

// endReplaced records that what an announcement is disputed by has stopped, and that the
// announced start has replaced it.
func (s *Server) endReplaced(ctx context.Context, u catalog.Upstream, j catalog.Judgement) error {
	err := s.proposeEnd(ctx, &statepb.EndStart{Upstream: j.Other.ID, ReplacedMs: j.Replaced})
	if err != nil {
		return err
	}
	s.cfg.Log.Warn("start replaced by one that says that it was born earlier; check the clock of its machine",
		zap.String("upstream", j.Other.ID), zap.Int64s("replaced", j.Replaced), zap.String("by", u.ID), zap.Int64("born", u.StartTimeMs))
	s.cfg.Hub.NoteEnded(j.Other.ID, starts.Ended{}.WithReplaced(j.Replaced...))
	return nil
}

// recordEnd commits the end of the start of an upstream that takes no calls any more.
func (s *Server) recordEnd(ctx context.Context, u catalog.Upstream) error {
	if s.cfg.Hub.EndRecorded(u.ID, u.StartTimeMs) {
		return nil
	}
	return s.proposeEnd(ctx, &statepb.EndStart{Upstream: u.ID, BornMs: u.StartTimeMs})
}

// proposeEnd commits ended starts, and lets the log forget those that no message can refer
// to any more.
func (s *Server) proposeEnd(ctx context.Context, end *statepb.EndStart) error {
	s.mu.Lock()
	end.Forget = s.retention.forgettable
	s.mu.Unlock()
	result, err := s.propose(ctx, func() *statepb.Command {
		return &statepb.Command{Body: &statepb.Command_EndStart{EndStart: end}}
	})
	switch {
	case err != nil:
		return err
	case result.GetKind() == statepb.ResultKind_RESULT_KIND_OK:
		return nil
	case result.GetKind() == statepb.ResultKind_RESULT_KIND_INVALID:
		// The leader runs an earlier version, which does not know the command. Without its
		// record, the end is known to the running processes only, as to that version.
		s.cfg.Log.Warn("end of a start is not recorded: the leader runs an earlier version", zap.String("upstream", end.Upstream))
		return nil
	default:
		return &RejectedError{Detail: result.GetDetail(), Remedy: result.GetRemedy()}
	}
}

// knowsEnds reports whether this instance knows all ended starts that an announcement may
// be of. One of a start that it has heard before is held up after its start only.
func (s *Server) knowsEnds(standing catalog.Standing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currency.missesNoEnd(s.cfg.Now()) || standing == catalog.Known && s.currency.confirmed
}

// hearsUpstreams reports whether an upstream that is silent here has stopped.
func (s *Server) hearsUpstreams() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currency.steadyFor(s.cfg.Now()) >= hearingTime
}

// forgetEnds has the log forget ends that no message can refer to any more, if this
// instance is the leader.
func (s *Server) forgetEnds() {
	now := s.cfg.Now()
	ended := s.cfg.Hub.EndedStarts()
	s.mu.Lock()
	forgettable := s.retention.note(ended.GetIndex(), now)
	due := now-s.forgotAt >= forgetInterval
	if due {
		s.forgotAt = now
	}
	s.mu.Unlock()
	if !due || len(ended.GetUpstreams()) == 0 || ended.Upstreams[0].Index > forgettable || s.cfg.Replica.Status().Role != raft.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	if err := s.proposeEnd(ctx, &statepb.EndStart{}); err != nil {
		s.cfg.Log.Info("ended starts not forgotten yet", zap.Error(err))
	}
}
