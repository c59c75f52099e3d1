package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// leaveInterval is the time between hello messages of an instance that leaves. It
	// is less than the time after which the leader forgets the request.
	leaveInterval = 50 * time.Millisecond
	// leaveHelloTimeout bounds the wait for one reply of the leader.
	leaveHelloTimeout = 300 * time.Millisecond
)

// Leave asks the leader to replace this instance by a learner, and waits until it is
// no longer a member, nobody can replace it, or ctx ends. It takes part in the log
// until then. An instance that leads hands over first.
func (r *Replica) Leave(ctx context.Context) {
	start := time.Now()
	r.leaving.Store(true)
	state := fleetpb.LeaveState_LEAVE_STATE_UNSPECIFIED
	for ctx.Err() == nil {
		state = r.askToLeave(ctx)
		if state == fleetpb.LeaveState_LEAVE_STATE_DONE || state == fleetpb.LeaveState_LEAVE_STATE_NO_SUCCESSOR {
			break
		}
		waitFor(ctx, leaveInterval)
	}
	r.cfg.Log.Info("leave the voters", zap.Stringer("state", state), zap.Duration("took", time.Since(start)))
}

// askToLeave asks once and returns the answer of the leader, unspecified if it was not
// reached.
func (r *Replica) askToLeave(ctx context.Context) fleetpb.LeaveState {
	s := r.Status()
	if s.Leader == s.ID {
		r.send(&inputMsg{in: raft.Leave{ID: s.ID}})
		r.send(&inputMsg{in: raft.TransferLeadership{}})
		return leaveState(s, s.ID)
	}
	if !s.IsMember() {
		return fleetpb.LeaveState_LEAVE_STATE_DONE
	}
	h := &fleetpb.Hello{Name: r.cfg.Name, Identity: s.ID, Leaving: true}
	for _, address := range r.leaveAddresses(s) {
		state := r.roundTripHello(h, address, leaveHelloTimeout).GetLeave()
		if state != fleetpb.LeaveState_LEAVE_STATE_UNSPECIFIED || ctx.Err() != nil {
			return state
		}
	}
	return fleetpb.LeaveState_LEAVE_STATE_UNSPECIFIED
}

// leaveAddresses returns the link addresses to ask, that of the leader first. A replica
// that has been removed may not know the leader that removed it.
func (r *Replica) leaveAddresses(s Status) []string {
	var out []string
	names := append([]string{s.LeaderName}, slices.Sorted(maps.Values(s.Voters.GetNames()))...)
	for _, name := range names {
		address := r.linkAddress(name)
		if address != "" && name != r.cfg.Name && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return out
}

// linkAddress returns the link address of the named instance, empty if it is unknown.
func (r *Replica) linkAddress(name string) string {
	for _, p := range r.cfg.Peers {
		if p.Name == name {
			return p.Link
		}
	}
	if r.cfg.AcceptUnlisted {
		return name
	}
	return ""
}

// leaveState returns what the leader with status s replies to a member that leaves.
func leaveState(s Status, id uint64) fleetpb.LeaveState {
	_, member := s.Voters.GetNames()[id]
	switch {
	case !member && s.VotersCommitted:
		return fleetpb.LeaveState_LEAVE_STATE_DONE
	case s.IsVoter(id) && !s.HasSuccessor:
		return fleetpb.LeaveState_LEAVE_STATE_NO_SUCCESSOR
	default:
		return fleetpb.LeaveState_LEAVE_STATE_IN_PROGRESS
	}
}

// waitFor waits for a time or until ctx ends.
func waitFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logMembers logs a committed membership.
func (a *stateActor) logMembers(state raft.State) {
	names := func(ids []uint64) []string {
		out := make([]string, 0, len(ids))
		for _, id := range ids {
			out = append(out, a.peerName(id))
		}
		return out
	}
	a.cfg.Log.Info("members of the log", zap.Strings("voters", names(state.Voters.GetVoters())),
		zap.Strings("learners", names(state.Voters.GetLearners())), zap.Uint64("index", state.VotersIndex))
}
