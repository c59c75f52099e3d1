package raft

import (
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// learnerRemovalFactor is the number of VoterRemovalTicks after which a silent learner
// is no longer a member. A learner that writes a large snapshot does not answer either.
const learnerRemovalFactor = 10

// canChangeVoters reports whether the leader may change the membership: it has
// committed an entry of its own term, and no other change or leadership transfer
// is in progress.
func (n *Node) canChangeVoters() bool {
	return n.committedInCurrentTerm() && n.votersIndex <= n.commitIndex && n.transferTarget == 0
}

// changeVoters makes at most one change of the membership. With TargetVoters of T, an
// odd number, the group has T voters. A group of T and one of T-1 have quorums of the
// same size, so a lost voter is demoted first, and a learner that is ready replaces it
// then. A voter that leaves takes part until it is replaced, so its replacement is
// promoted first. The larger group needs one live voter more, so this waits until every
// silent voter has been replaced.
func (n *Node) changeVoters() {
	if n.role != Leader || !n.canChangeVoters() {
		return
	}
	voters, target := len(n.voters.GetVoters()), n.cfg.TargetVoters
	ready := n.readyLearner()
	switch {
	case target > 0 && voters > target:
		n.reduceVoters()
	case ready != 0 && voters < target:
		n.promote(ready)
	case ready != 0 && n.replacedVoter() != 0:
		n.remove(n.replacedVoter())
	case ready != 0 && n.silentVoter() != 0:
		n.demote(n.silentVoter())
	case n.voters.GetForming() && n.isFormed():
		n.completeForming()
	case ready != 0 && (target == 0 || n.leavingNeedsReplacement()):
		n.promote(ready)
	default:
		if id := n.departedLearner(); id != 0 {
			n.remove(id)
		}
	}
}

// form begins the log with the snapshot of the first voters. What this replica has promised
// in an election before stays.
func (n *Node) form(s *statepb.Snapshot) {
	if n.lastIndex() != 0 {
		return
	}
	n.term = max(n.term, s.Term)
	n.installSnapshot(s)
	n.resetStartupTimeout()
}

// isFormed reports whether as many voters as the target hold the log, or the leader has
// waited for them long enough.
func (n *Node) isFormed() bool {
	if n.formingTicks >= n.cfg.FormingTicks {
		return true
	}
	return len(n.voters.GetVoters()) >= n.cfg.TargetVoters && n.allVoters(func(id uint64) bool {
		return n.RecentlyActive(id) && n.peers[id].match >= n.commitIndex
	})
}

// completeForming ends the time in which no command is appended.
func (n *Node) completeForming() {
	next := proto.Clone(n.voters).(*statepb.Voters)
	next.Forming = false
	n.appendVoters(next)
}

// reduceVoters removes one of more voters than the target: a lost or leaving one, or
// any other if all of them are active.
func (n *Node) reduceVoters() {
	for _, id := range []uint64{n.replacedVoter(), n.leavingVoter()} {
		if id != 0 {
			n.remove(id)
			return
		}
	}
	if id := n.silentVoter(); id != 0 {
		n.demote(id)
		return
	}
	if !n.allVoters(n.RecentlyActive) {
		return
	}
	n.demote(n.lastVoter(func(uint64) bool { return true }))
}

// allVoters reports whether ok holds for all voters but this one.
func (n *Node) allVoters(ok func(id uint64) bool) bool {
	return n.lastVoter(func(id uint64) bool { return !ok(id) }) == 0
}

// lastVoter returns the last voter for which ok holds, other than this one; 0 if none.
func (n *Node) lastVoter(ok func(id uint64) bool) uint64 {
	found := uint64(0)
	for _, id := range n.voters.GetVoters() {
		if id != n.cfg.ID && n.peers[id] != nil && ok(id) {
			found = id
		}
	}
	return found
}

// silentVoter returns a voter that has not answered for VoterRemovalTicks.
func (n *Node) silentVoter() uint64 {
	if n.cfg.TargetVoters == 0 {
		return 0
	}
	return n.lastVoter(func(id uint64) bool { return n.peers[id].idleTicks >= n.cfg.VoterRemovalTicks })
}

// leavingVoter returns a voter that has asked to leave.
func (n *Node) leavingVoter() uint64 {
	return n.lastVoter(func(id uint64) bool { return n.leaving[id] > 0 })
}

// leavingNeedsReplacement reports whether a voter leaves, this one included, and all
// others are active.
func (n *Node) leavingNeedsReplacement() bool {
	if n.leavingVoter() == 0 && n.leaving[n.cfg.ID] == 0 {
		return false
	}
	return n.allVoters(n.RecentlyActive)
}

// replacedVoter returns a voter whose instance has come back with another disk and is
// a learner now.
func (n *Node) replacedVoter() uint64 {
	return n.lastVoter(func(id uint64) bool {
		if n.RecentlyActive(id) {
			return false
		}
		for _, l := range n.voters.GetLearners() {
			if n.voters.GetNames()[l] == n.voters.GetNames()[id] {
				return true
			}
		}
		return false
	})
}

// readyLearner returns a learner that has caught up, is active and stays; 0 if none.
func (n *Node) readyLearner() uint64 {
	for _, id := range n.voters.GetLearners() {
		p := n.peers[id]
		if p != nil && p.match >= n.commitIndex && n.RecentlyActive(id) && n.leaving[id] == 0 {
			return id
		}
	}
	return 0
}

// departedLearner returns a learner that leaves or has been silent for long.
func (n *Node) departedLearner() uint64 {
	for _, id := range n.voters.GetLearners() {
		if n.leaving[id] > 0 {
			return id
		}
		p := n.peers[id]
		if n.cfg.TargetVoters > 0 && p != nil && p.idleTicks >= learnerRemovalFactor*n.cfg.VoterRemovalTicks {
			return id
		}
	}
	return 0
}

// promote makes a learner a voter.
func (n *Node) promote(id uint64) {
	next := proto.Clone(n.voters).(*statepb.Voters)
	next.Learners = withoutID(next.Learners, id)
	next.Voters = append(next.Voters, id)
	n.appendVoters(next)
}

// demote makes a voter a learner, so that it hears of it when it is back. The former
// identity of an instance that has another one is removed.
func (n *Node) demote(id uint64) {
	for other, name := range n.voters.GetNames() {
		if other != id && name == n.voters.GetNames()[id] {
			n.remove(id)
			return
		}
	}
	next := proto.Clone(n.voters).(*statepb.Voters)
	next.Voters = withoutID(next.Voters, id)
	next.Learners = append(next.Learners, id)
	n.appendVoters(next)
}

// remove ends the membership of a replica.
func (n *Node) remove(id uint64) {
	next := proto.Clone(n.voters).(*statepb.Voters)
	next.Voters = withoutID(next.Voters, id)
	next.Learners = withoutID(next.Learners, id)
	delete(next.Names, id)
	n.appendVoters(next)
}

func (n *Node) appendVoters(next *statepb.Voters) {
	n.appendAsLeader([]*statepb.Entry{{Voters: next}})
}

// join adds a disk identity as a learner, in place of another learner of the same
// instance name. A voter of that name stays until a learner is ready to replace it.
// While another identity of the name is recently active, the request is ignored.
func (n *Node) join(in Join) {
	if n.role != Leader || n.isMember(in.ID) || !n.canChangeVoters() {
		return
	}
	next := proto.Clone(n.voters).(*statepb.Voters)
	for id, name := range n.voters.GetNames() {
		if name != in.Name {
			continue
		}
		if id == n.cfg.ID || n.RecentlyActive(id) {
			return
		}
		if !n.isVoter(id) {
			next.Learners = withoutID(next.Learners, id)
			delete(next.Names, id)
		}
	}
	next.Learners = append(next.Learners, in.ID)
	if next.Names == nil {
		next.Names = make(map[uint64]string)
	}
	next.Names[in.ID] = in.Name
	n.appendVoters(next)
}

// leave notes that a member wants to leave, and begins to replace it. The request
// expires after the minimum election timeout, as the member repeats it until it stops.
// A leader that leaves must hand over before it can be removed.
func (n *Node) leave(id uint64) {
	if n.role != Leader || !n.isMember(id) {
		return
	}
	n.leaving[id] = n.cfg.ElectionTicks
	n.changeVoters()
}

// expireLeaving forgets the requests to leave that were not repeated.
func (n *Node) expireLeaving() {
	for id := range n.leaving {
		n.leaving[id]--
		if n.leaving[id] <= 0 {
			delete(n.leaving, id)
		}
	}
}

// hasSuccessor reports whether a voter that leaves may still be replaced: there is a
// learner that stays and is not as silent as a lost one, or a change of voters is not
// complete.
func (n *Node) hasSuccessor() bool {
	if n.role != Leader {
		return false
	}
	for _, id := range n.voters.GetLearners() {
		if p := n.peers[id]; p != nil && p.idleTicks < n.cfg.VoterRemovalTicks && n.leaving[id] == 0 {
			return true
		}
	}
	return n.votersIndex > n.commitIndex || len(n.voters.GetVoters()) > n.cfg.TargetVoters
}

func (n *Node) isMember(id uint64) bool {
	_, ok := n.voters.GetNames()[id]
	return ok
}

func withoutID(ids []uint64, id uint64) []uint64 {
	var out []uint64
	for _, x := range ids {
		if x != id {
			out = append(out, x)
		}
	}
	return out
}
