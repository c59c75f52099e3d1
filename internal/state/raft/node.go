package raft

import (
	"fmt"
	"slices"
	"sort"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Role is the role of a replica in its current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "precandidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	default:
		return fmt.Sprintf("role(%d)", int(r))
	}
}

// Cause tells why a replica has its role.
type Cause int

// The causes of a role.
const (
	// Started replicas have not changed their role yet.
	Started Cause = iota
	// LeaderSilent replicas heard nothing from a leader for the election timeout.
	LeaderSilent
	// VotesGranted replicas got the votes or pre-votes of a majority.
	VotesGranted
	// LeadershipOffered replicas were told by the leader to take over.
	LeadershipOffered
	// QuorumSilent replicas were the leader and heard nothing from a majority.
	QuorumSilent
	// NewerTerm replicas learnt of a newer term.
	NewerTerm
	// LeaderHeard replicas heard from the leader of their term.
	LeaderHeard
)

// String returns the cause in words.
func (c Cause) String() string {
	switch c {
	case Started:
		return "started"
	case LeaderSilent:
		return "leader silent"
	case VotesGranted:
		return "votes granted"
	case LeadershipOffered:
		return "leadership offered"
	case QuorumSilent:
		return "quorum silent"
	case NewerTerm:
		return "newer term"
	case LeaderHeard:
		return "leader heard"
	default:
		return fmt.Sprintf("cause(%d)", int(c))
	}
}

// Config configures a Node.
type Config struct {
	// ID is the disk identity of this replica, never zero.
	ID uint64
	// Name is the instance name.
	Name string
	// ElectionTicks is the minimum election timeout, in ticks. The timeout is
	// randomized to less than twice this value.
	ElectionTicks int
	// StartupElectionTicks replaces ElectionTicks for the first election after
	// a start; 0 means ElectionTicks. It may be short, because voters that hear
	// from a leader reject the pre-vote.
	StartupElectionTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// TargetVoters is the number of voters that the leader aims for, an odd number.
	// Further replicas stay learners and replace lost or leaving voters. With 0, all
	// replicas become voters, and silent ones are never replaced.
	TargetVoters int
	// VoterRemovalTicks is the number of ticks without an append reply from a
	// voter after which the leader replaces it if a learner is ready.
	VoterRemovalTicks int
	// FormingTicks is the number of ticks after which a leader no longer waits for
	// further first voters, which count as lost then.
	FormingTicks int
	// Jitter returns a number in [0, n) that randomizes election timeouts; nil
	// disables randomization.
	Jitter func(n int) int
}

// InitialState is the persisted state of a replica at startup.
type InitialState struct {
	Hard     *statepb.HardState
	Snapshot *statepb.Snapshot
	Entries  []*statepb.Entry
}

// progress is the leader's view of the replication to one peer.
type progress struct {
	// match is the highest log index known to be stored on the peer.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// inflight holds the appends that were sent and not acknowledged, oldest first,
	// and inflightBytes is their total size.
	inflight      []sentAppend
	inflightBytes int
	// ackedRound is the newest heartbeat round that the peer has answered.
	ackedRound uint64
	// idleTicks is the number of ticks since the last append reply from the
	// peer, or since this leader began to replicate to it.
	idleTicks int
	// snapshotRetryTicks is the number of ticks until a snapshot may be sent
	// again.
	snapshotRetryTicks int
}

// sentAppend is an append message that was sent to a peer: the index of its last entry
// and the size of its entries in bytes.
type sentAppend struct {
	last  uint64
	bytes int
}

// inflightFull reports whether a limit of unacknowledged entries is reached.
func (p *progress) inflightFull() bool {
	return p.next > p.match+maxAppendEntries*maxInflightAppends || p.inflightBytes >= maxInflightBytes
}

// recordSent records an append up to index last.
func (p *progress) recordSent(last uint64, bytes int) {
	p.next = last + 1
	if bytes > 0 {
		p.inflight = append(p.inflight, sentAppend{last: last, bytes: bytes})
		p.inflightBytes += bytes
	}
}

// recordMatch records that the peer stores the log up to index match.
func (p *progress) recordMatch(match uint64) {
	p.match = max(p.match, match)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// resend continues with the entry at index next, as the peer lacks what was sent.
func (p *progress) resend(next uint64) {
	p.next = next
	p.inflight, p.inflightBytes = nil, 0
}

// pendingRead is a ReadIndex request that waits for a heartbeat round.
type pendingRead struct {
	id uint64
	// index is the commit index at the time of the request.
	index uint64
	// round is the first heartbeat round that confirms the read.
	round uint64
}

// Node is the consensus state of one replica. It is not safe for concurrent
// use.
type Node struct {
	cfg      Config
	role     Role
	cause    Cause
	term     uint64
	votedFor uint64
	// leader is the disk identity of the current leader; 0 if unknown.
	leader uint64

	// snapshot covers the log up to its index; entries holds the rest.
	snapshot    *statepb.Snapshot
	entries     []*statepb.Entry
	commitIndex uint64
	lastApplied uint64

	// voters is the newest membership in the log, and votersIndex its index.
	voters      *statepb.Voters
	votersIndex uint64

	// peers holds the replication progress of each other member; nil unless
	// leader.
	peers map[uint64]*progress
	// votes holds the votes or pre-votes granted in the current election.
	votes map[uint64]bool
	// electionElapsed, electionTimeout and heartbeatElapsed are in ticks.
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int
	// heartbeatRound numbers the heartbeat rounds of this leader.
	heartbeatRound uint64
	// confirmedRound is the newest heartbeat round that a majority has answered.
	confirmedRound uint64
	pendingReads   []pendingRead
	// transferTarget is the voter that leadership is being transferred to; 0 if
	// none.
	transferTarget uint64
	// transferTicksLeft is the number of ticks until the transfer is abandoned.
	transferTicksLeft int
	// formingTicks is the number of ticks that this leader has waited for first voters.
	formingTicks int

	// leaving holds the members that have asked this leader to leave, with the ticks
	// until the request expires.
	leaving map[uint64]int

	// effects collects the effects of the current Step.
	effects []Effect
}

// New returns a Node that continues from its persisted state.
func New(cfg Config, initial InitialState) *Node {
	n := &Node{cfg: cfg, snapshot: &statepb.Snapshot{Voters: &statepb.Voters{}}}
	if initial.Hard != nil {
		n.term, n.votedFor = initial.Hard.Term, initial.Hard.Vote
	}
	if initial.Snapshot != nil {
		n.snapshot = initial.Snapshot
	}
	n.entries = initial.Entries
	n.commitIndex = n.snapshot.Index
	n.lastApplied = n.snapshot.Index
	n.updateVoters()
	n.resetStartupTimeout()
	return n
}

// Step processes one input and returns the effects for the host to execute.
func (n *Node) Step(in Input) []Effect {
	n.effects = nil
	switch in := in.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(in.Message)
	case Propose:
		n.propose(in.Commands)
	case ReadIndex:
		n.readIndex(in.ID)
	case Join:
		n.join(in)
	case Leave:
		n.leave(in.ID)
	case TransferLeadership:
		n.startTransfer()
	case Form:
		n.form(in.Snapshot)
	case Compact:
		n.compact(in)
	default:
		panic(fmt.Sprintf("raft: unhandled input %T", in))
	}
	effects := n.effects
	n.effects = nil
	return effects
}

// State is a copy of the main fields of a Node, for inspection.
type State struct {
	ID   uint64
	Role Role
	// Cause tells why the replica has its role.
	Cause     Cause
	Term      uint64
	Leader    uint64
	Commit    uint64
	LastIndex uint64
	// Voters is the newest membership in the log, VotersIndex its index, and
	// VotersCommitted is set if it is committed.
	Voters          *statepb.Voters
	VotersIndex     uint64
	VotersCommitted bool
	// HasSuccessor is set on a leader that may be able to replace a leaving voter.
	HasSuccessor bool
}

// State returns the current state.
func (n *Node) State() State {
	return State{
		ID:        n.cfg.ID,
		Role:      n.role,
		Cause:     n.cause,
		Term:      n.term,
		Leader:    n.leader,
		Commit:    n.commitIndex,
		LastIndex: n.lastIndex(),
		Voters:    n.voters,

		VotersIndex:     n.votersIndex,
		VotersCommitted: n.votersIndex <= n.commitIndex,
		HasSuccessor:    n.hasSuccessor(),
	}
}

// IsMember reports whether the replica is a voter or a learner by its own log.
func (s State) IsMember() bool {
	_, ok := s.Voters.GetNames()[s.ID]
	return ok
}

// IsVoter reports whether id is a voter by the log of the replica.
func (s State) IsVoter(id uint64) bool { return slices.Contains(s.Voters.GetVoters(), id) }

// WantsToJoin reports whether the replica should ask the leader to add it. A replica
// that knows no leader asks too: it may have been removed, which its own log does not
// tell it. The leader ignores the request of a member.
func (s State) WantsToJoin() bool { return s.LastIndex == 0 || !s.IsMember() || s.Leader == 0 }

// RecentlyActive reports whether this leader received an append reply from a peer
// within the minimum election timeout. A peer that the leader began to replicate
// to within that time also counts as active.
func (n *Node) RecentlyActive(id uint64) bool {
	p := n.peers[id]
	return p != nil && p.idleTicks < n.cfg.ElectionTicks
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) persist(entries []*statepb.Entry) {
	n.emit(Persist{Hard: n.hardState(), Entries: entries})
}

func (n *Node) hardState() *statepb.HardState {
	return &statepb.HardState{Term: n.term, Vote: n.votedFor}
}

func (n *Node) send(m *statepb.Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.emit(Send{Message: m})
}

func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	n.electionTimeout = n.randomizedTicks(n.cfg.ElectionTicks)
}

// resetStartupTimeout is resetElectionTimeout before the first election.
func (n *Node) resetStartupTimeout() {
	n.resetElectionTimeout()
	if n.cfg.StartupElectionTicks > 0 {
		n.electionTimeout = n.randomizedTicks(n.cfg.StartupElectionTicks)
	}
}

// randomizedTicks returns a number in [ticks, 2*ticks).
func (n *Node) randomizedTicks(ticks int) int {
	if n.cfg.Jitter == nil {
		return ticks
	}
	return ticks + n.cfg.Jitter(ticks)
}

func (n *Node) isVoter(id uint64) bool {
	for _, v := range n.voters.GetVoters() {
		if v == id {
			return true
		}
	}
	return false
}

// hasQuorum reports whether ok holds for a majority of the voters.
func (n *Node) hasQuorum(ok func(id uint64) bool) bool {
	count := 0
	for _, v := range n.voters.GetVoters() {
		if ok(v) {
			count++
		}
	}
	return count*2 > len(n.voters.GetVoters())
}

// quorumValue returns the highest value that a majority of the voters has
// reached, such as a log index or a heartbeat round.
func (n *Node) quorumValue(valueOf func(id uint64) uint64) uint64 {
	voters := n.voters.GetVoters()
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, v := range voters {
		values = append(values, valueOf(v))
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}
