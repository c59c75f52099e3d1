package raft

import (
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// join adds a new disk identity as a learner. If another identity holds the
// same instance name, the same change removes it; while that identity is
// recently active, the request is ignored.
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
		next.Voters = withoutID(next.Voters, id)
		next.Learners = withoutID(next.Learners, id)
		delete(next.Names, id)
	}
	next.Learners = append(next.Learners, in.ID)
	if next.Names == nil {
		next.Names = make(map[uint64]string)
	}
	next.Names[in.ID] = in.Name
	n.appendAsLeader([]*statepb.Entry{{Voters: next}})
}

// promoteLearner makes one learner that has caught up a voter.
func (n *Node) promoteLearner() {
	if !n.canChangeVoters() {
		return
	}
	for _, id := range n.voters.GetLearners() {
		p := n.peers[id]
		if p == nil || p.match < n.commitIndex || !n.RecentlyActive(id) {
			continue
		}
		next := proto.Clone(n.voters).(*statepb.Voters)
		next.Learners = withoutID(next.Learners, id)
		next.Voters = append(next.Voters, id)
		n.appendAsLeader([]*statepb.Entry{{Voters: next}})
		return
	}
}

// removeSurplusVoter removes one unresponsive voter if there are more voters
// than the target.
func (n *Node) removeSurplusVoter() {
	if n.cfg.TargetVoters == 0 || len(n.voters.GetVoters()) <= n.cfg.TargetVoters || !n.canChangeVoters() {
		return
	}
	for _, id := range n.voters.GetVoters() {
		if id == n.cfg.ID || n.peers[id] == nil || n.peers[id].idleTicks < n.cfg.VoterRemovalTicks {
			continue
		}
		next := proto.Clone(n.voters).(*statepb.Voters)
		next.Voters = withoutID(next.Voters, id)
		delete(next.Names, id)
		n.appendAsLeader([]*statepb.Entry{{Voters: next}})
		return
	}
}

// canChangeVoters reports whether the leader may change the membership: it has
// committed an entry of its own term, and no other change or leadership transfer
// is in progress.
func (n *Node) canChangeVoters() bool {
	return n.committedInCurrentTerm() && n.votersIndex <= n.commitIndex && n.transferTarget == 0
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
