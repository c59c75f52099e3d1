package raft

import (
	"fmt"
	"sort"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Role is what a replica does in its term.
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

// Config builds a Node.
type Config struct {
	// ID is the disk identity of this replica, never zero.
	ID uint64
	// Name is the instance name.
	Name string
	// ElectionTicks is the least number of silent ticks before an election;
	// the greatest is twice as many.
	ElectionTicks int
	// FirstTicks takes the place of ElectionTicks before the first election
	// after a start; 0 is ElectionTicks. It may be short: while a leader lives,
	// the others refuse the pre-vote.
	FirstTicks int
	// HeartbeatTicks is the number of ticks between heartbeats.
	HeartbeatTicks int
	// Voters is the number of voters to return to once more have joined; 0
	// keeps all.
	Voters int
	// RetireTicks is the silence after which a voter too many is removed.
	RetireTicks int
	// Jitter returns a number in [0, n) that spreads the elections.
	Jitter func(n int) int
}

// Restored is what the disk held at the start.
type Restored struct {
	Hard     *statepb.HardState
	Snapshot *statepb.Snapshot
	Entries  []*statepb.Entry
}

// progress is what a leader knows of one peer.
type progress struct {
	match uint64
	next  uint64
	round uint64
	// quiet counts the ticks since the peer was last heard.
	quiet int
	// snapshotWait counts down the ticks before a snapshot is sent again.
	snapshotWait int
}

// full reports whether as many messages are ahead of an answer as may be.
func (p *progress) full() bool {
	return p.next > p.match+maxAppend*maxBatches
}

type read struct {
	id    uint64
	index uint64
	round uint64
}

// Node is one replica. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	role Role
	term uint64
	vote uint64
	lead uint64

	snap    *statepb.Snapshot
	entries []*statepb.Entry
	commit  uint64
	applied uint64

	voters      *statepb.Voters
	votersIndex uint64

	peers   map[uint64]*progress
	votes   map[uint64]bool
	elapsed int
	timeout int
	beat    int
	round   uint64
	// confirmed is the newest heartbeat round that a majority has answered.
	confirmed uint64
	reads     []read
	transfer  uint64
	handing   int

	out []Effect
}

// New builds a Node from what its disk held.
func New(cfg Config, r Restored) *Node {
	n := &Node{cfg: cfg, snap: &statepb.Snapshot{Voters: &statepb.Voters{}}}
	if r.Hard != nil {
		n.term, n.vote = r.Hard.Term, r.Hard.Vote
	}
	if r.Snapshot != nil {
		n.snap = r.Snapshot
	}
	n.entries = r.Entries
	n.commit = n.snap.Index
	n.applied = n.snap.Index
	n.findVoters()
	n.resetTimeout()
	if cfg.FirstTicks > 0 {
		n.timeout = n.spread(cfg.FirstTicks)
	}
	return n
}

// Step takes one input and returns the effects that follow from it.
func (n *Node) Step(in Input) []Effect {
	n.out = nil
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
	case Transfer:
		n.startTransfer()
	case Compact:
		n.compact(in)
	default:
		panic(fmt.Sprintf("raft: unhandled input %T", in))
	}
	out := n.out
	n.out = nil
	return out
}

// State is a read-only view of a Node.
type State struct {
	ID        uint64
	Role      Role
	Term      uint64
	Leader    uint64
	Commit    uint64
	LastIndex uint64
	Voters    *statepb.Voters
}

// State returns the present view.
func (n *Node) State() State {
	return State{
		ID:        n.cfg.ID,
		Role:      n.role,
		Term:      n.term,
		Leader:    n.lead,
		Commit:    n.commit,
		LastIndex: n.lastIndex(),
		Voters:    n.voters,
	}
}

// Heard reports whether the leader heard a peer within an election timeout.
func (n *Node) Heard(id uint64) bool {
	p := n.peers[id]
	return p != nil && p.quiet < n.cfg.ElectionTicks
}

func (n *Node) emit(e Effect) { n.out = append(n.out, e) }

func (n *Node) persist(entries []*statepb.Entry) {
	n.emit(Persist{Hard: n.hard(), Entries: entries})
}

func (n *Node) hard() *statepb.HardState {
	return &statepb.HardState{Term: n.term, Vote: n.vote}
}

func (n *Node) send(m *statepb.Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.emit(Send{Message: m})
}

func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.spread(n.cfg.ElectionTicks)
}

// spread returns a number from ticks up to twice as many.
func (n *Node) spread(ticks int) int {
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

// quorumOf reports whether have holds for a majority of the voters.
func (n *Node) quorumOf(have func(id uint64) bool) bool {
	count := 0
	for _, v := range n.voters.GetVoters() {
		if have(v) {
			count++
		}
	}
	return count*2 > len(n.voters.GetVoters())
}

// quorumIndex returns the highest index that a majority of the voters holds.
func (n *Node) quorumIndex(of func(id uint64) uint64) uint64 {
	voters := n.voters.GetVoters()
	if len(voters) == 0 {
		return 0
	}
	at := make([]uint64, 0, len(voters))
	for _, v := range voters {
		at = append(at, of(v))
	}
	sort.Slice(at, func(i, j int) bool { return at[i] > at[j] })
	return at[len(at)/2]
}
