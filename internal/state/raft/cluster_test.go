package raft

import (
	"fmt"
	"hash/fnv"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// electionTicks is short, so that elections are frequent.
const electionTicks = 3

// hashChain is the replicated state machine of the simulation: a hash over all
// entries applied, up to an index.
type hashChain struct {
	index uint64
	hash  uint64
}

func (c hashChain) next(e *statepb.Entry) hashChain {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d", c.hash, e.Index, e.GetCommand().GetNonce())
	return hashChain{index: e.Index, hash: h.Sum64()}
}

func (c hashChain) bytes() []byte { return fmt.Appendf(nil, "%d %d", c.index, c.hash) }

func parseHashChain(b []byte) hashChain {
	var c hashChain
	if len(b) > 0 {
		if _, err := fmt.Sscanf(string(b), "%d %d", &c.index, &c.hash); err != nil {
			panic(err)
		}
	}
	return c
}

// storage is the synced content of a replica's disk.
type storage struct {
	hard    *statepb.HardState
	snap    *statepb.Snapshot
	entries []*statepb.Entry
}

func (s *storage) snapshotIndex() uint64 { return s.snap.GetIndex() }

func (s *storage) persist(e Effect) {
	switch e := e.(type) {
	case Persist:
		s.hard = proto.Clone(e.Hard).(*statepb.HardState)
		for _, x := range e.Entries {
			at := x.Index - s.snapshotIndex() - 1
			s.entries = append(s.entries[:at:at], proto.Clone(x).(*statepb.Entry))
		}
	case SaveSnapshot:
		s.hard = proto.Clone(e.Hard).(*statepb.HardState)
		s.snap = proto.Clone(e.Snapshot).(*statepb.Snapshot)
		s.entries = nil
		for _, x := range e.Tail {
			s.entries = append(s.entries, proto.Clone(x).(*statepb.Entry))
		}
	}
}

func (s *storage) initialState() InitialState {
	out := InitialState{}
	if s.hard != nil {
		out.Hard = proto.Clone(s.hard).(*statepb.HardState)
	}
	if s.snap != nil {
		out.Snapshot = proto.Clone(s.snap).(*statepb.Snapshot)
	}
	for _, e := range s.entries {
		out.Entries = append(out.Entries, proto.Clone(e).(*statepb.Entry))
	}
	return out
}

// simReplica is a simulated instance. Its node is nil while it is down. A paused
// replica ignores all inputs, as a suspended process does.
type simReplica struct {
	name   string
	id     uint64
	disk   *storage
	node   *Node
	chain  hashChain
	paused bool
	// inbox holds the messages that wait for a paused replica.
	inbox []*statepb.Message
}

// maxInbox is the number of messages that wait for a paused replica, as in the
// buffers of its connections.
const maxInbox = 20

// expectedRead is a read that must see at least the state at minIndex.
type expectedRead struct{ minIndex uint64 }

// cluster simulates replicas and a faulty network, and checks safety.
type cluster struct {
	t        *rapid.T
	replicas []*simReplica
	inFlight []*statepb.Message
	// committed holds the state after each log index that any replica applied.
	committed []hashChain
	acked     uint64
	// leaders maps a term to the disk identity of its leader.
	leaders map[uint64]uint64
	reads   map[uint64]expectedRead
	nonce   uint64
	nextID  uint64
	// partitioned holds the instances on one side of a network partition.
	partitioned map[string]bool
	// lostDisks holds the disk identities that were lost.
	lostDisks map[uint64]bool
	// voters is the newest committed membership, and votersIndex its index.
	voters      *statepb.Voters
	votersIndex uint64
	// crashPoint makes the next step crash before (1) or after (2) the sync.
	crashPoint int
	// ticks is Config.ElectionTicks and target Config.TargetVoters of all replicas.
	ticks  int
	target int
	// jitter randomizes the election timeouts. It is drawn by default.
	jitter func(n int) int
}

// newCluster returns a cluster of n voters that aims for target ones. Only the first has the initial
// snapshot at index 1; the others start with an empty disk.
func newCluster(t *rapid.T, n, target int) *cluster {
	c := &cluster{
		t:           t,
		committed:   []hashChain{{}, {index: 1}},
		leaders:     make(map[uint64]uint64),
		reads:       make(map[uint64]expectedRead),
		partitioned: make(map[string]bool),
		lostDisks:   make(map[uint64]bool),
		nextID:      uint64(n),
	}
	c.jitter, c.ticks, c.target = c.draw, electionTicks, target
	voters := &statepb.Voters{Names: make(map[uint64]string)}
	for i := range n {
		s := &simReplica{name: fmt.Sprintf("c%d", i+1), id: uint64(i + 1), disk: &storage{}}
		voters.Voters = append(voters.Voters, s.id)
		voters.Names[s.id] = s.name
		c.replicas = append(c.replicas, s)
	}
	bootstrap := c.replicas[0]
	bootstrap.disk.hard = &statepb.HardState{Term: 1}
	bootstrap.disk.snap = &statepb.Snapshot{Index: 1, Term: 1, Voters: voters, State: hashChain{index: 1}.bytes()}
	c.voters, c.votersIndex = voters, 1
	for _, s := range c.replicas {
		c.start(s)
	}
	return c
}

func (c *cluster) draw(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "n") }

func (c *cluster) start(s *simReplica) {
	s.node = New(Config{
		ID: s.id, Name: s.name, ElectionTicks: c.ticks, StartupElectionTicks: 1, HeartbeatTicks: 1,
		TargetVoters: c.target, VoterRemovalTicks: 3 * c.ticks, FormingTicks: formingRounds, Jitter: c.jitter,
	}, s.disk.initialState())
	s.chain = parseHashChain(s.disk.snap.GetState())
	s.paused, s.inbox = false, nil
}

func (c *cluster) crash(s *simReplica) { s.node = nil }

// step passes an input to a replica and executes the effects, those on the disk
// first. It may crash the replica at crashPoint.
func (c *cluster) step(s *simReplica, in Input) {
	if s.node == nil || s.paused {
		return
	}
	effects := s.node.Step(in)
	point := c.crashPoint
	c.crashPoint = 0
	if point == 1 {
		c.crash(s)
		return
	}
	for _, e := range effects {
		s.disk.persist(e)
	}
	if point == 2 {
		c.crash(s)
		return
	}
	for _, e := range effects {
		c.execute(s, e)
	}
	if st := s.node.State(); st.Role == Leader {
		if other, ok := c.leaders[st.Term]; ok && other != s.id {
			c.t.Fatalf("two leaders in term %d: %d and %d", st.Term, other, s.id)
		}
		c.leaders[st.Term] = s.id
	}
}

func (c *cluster) execute(s *simReplica, e Effect) {
	switch e := e.(type) {
	case Send:
		c.inFlight = append(c.inFlight, proto.Clone(e.Message).(*statepb.Message))
	case Apply:
		for _, x := range e.Entries {
			c.apply(s, x)
		}
	case Restore:
		s.chain = parseHashChain(e.Snapshot.State)
		c.checkHistory(s, "snapshot")
	case ReadConfirmed:
		r, ok := c.reads[e.ID]
		if ok && s.chain.index < r.minIndex {
			c.t.Fatalf("%s confirms a read at index %d, but index %d was committed before the read", s.name, s.chain.index, r.minIndex)
		}
	}
}

func (c *cluster) apply(s *simReplica, e *statepb.Entry) {
	if e.Index != s.chain.index+1 {
		c.t.Fatalf("%s applies index %d after index %d", s.name, e.Index, s.chain.index)
	}
	s.chain = s.chain.next(e)
	c.checkHistory(s, "entry")
	if e.Voters != nil && e.Index > c.votersIndex {
		c.voters, c.votersIndex = e.Voters, e.Index
	}
}

// checkHistory compares the state of a replica with the state of the first
// replica that reached the same index.
func (c *cluster) checkHistory(s *simReplica, what string) {
	i := int(s.chain.index)
	if i < len(c.committed) {
		if got, want := s.chain, c.committed[i]; got != want {
			c.t.Fatalf("%s: state after %s at index %d is %x, want %x", s.name, what, i, got.hash, want.hash)
		}
		return
	}
	if i != len(c.committed) {
		c.t.Fatalf("%s: %s skips to index %d, next is %d", s.name, what, i, len(c.committed))
	}
	c.committed = append(c.committed, s.chain)
}

func (c *cluster) byID(id uint64) *simReplica {
	for _, s := range c.replicas {
		if s.id == id {
			return s
		}
	}
	return nil
}

// deliver delivers the message at position i, which stays in flight if it is
// duplicated. It drops messages that cross the partition.
func (c *cluster) deliver(i int, duplicate bool) {
	m := c.inFlight[i]
	if !duplicate {
		c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	}
	from, to := c.byID(m.From), c.byID(m.To)
	if to == nil || from != nil && c.partitioned[from.name] != c.partitioned[to.name] {
		return
	}
	if to.paused {
		if len(to.inbox) < maxInbox {
			to.inbox = append(to.inbox, proto.Clone(m).(*statepb.Message))
		}
		return
	}
	c.step(to, Receive{Message: proto.Clone(m).(*statepb.Message)})
}

// canLoseDisk reports whether the state survives the loss of one more disk: a
// majority must remain in the newest committed membership and in every later
// one on a disk, committed or not.
func (c *cluster) canLoseDisk(lost *simReplica) bool {
	hasQuorum := func(v *statepb.Voters) bool {
		kept := 0
		for _, id := range v.GetVoters() {
			if id != lost.id && !c.lostDisks[id] {
				kept++
			}
		}
		return kept*2 > len(v.GetVoters())
	}
	if !hasQuorum(c.voters) {
		return false
	}
	for _, s := range c.replicas {
		if s.disk.snap != nil && s.disk.snap.Index > c.votersIndex && !hasQuorum(s.disk.snap.Voters) {
			return false
		}
		for _, e := range s.disk.entries {
			if e.Voters != nil && e.Index > c.votersIndex && !hasQuorum(e.Voters) {
				return false
			}
		}
	}
	return true
}

// settleBeforeLoss ends all other faults before a disk is lost where silent voters are
// replaced. A silent voter counts as lost there, and a disk lost at the same time would
// be one loss more than the group bears. TestVotersUnderAllowedLosses counts them.
func (c *cluster) settleBeforeLoss() {
	if c.target > 0 {
		c.heal()
	}
}

// loseDisk erases the disk of an instance, which restarts with a new identity.
func (c *cluster) loseDisk(s *simReplica) {
	c.settleBeforeLoss()
	if len(c.committed) < 3 || !c.canLoseDisk(s) {
		return
	}
	c.lostDisks[s.id] = true
	c.nextID++
	s.id = c.nextID
	s.disk = &storage{}
	c.start(s)
}

func (c *cluster) propose(s *simReplica) {
	c.nonce++
	c.step(s, Propose{Commands: []*statepb.Command{{Nonce: c.nonce}}})
}

func (c *cluster) read(s *simReplica) {
	c.nonce++
	c.reads[c.nonce] = expectedRead{minIndex: uint64(len(c.committed) - 1)}
	c.step(s, ReadIndex{ID: c.nonce})
}

func (c *cluster) compact(s *simReplica) {
	if s.node != nil && !s.paused && s.chain.index > 1 {
		c.step(s, Compact{Index: s.chain.index, State: s.chain.bytes()})
	}
}

// joinAll lets the instances that want to join ask the leaders that they can reach,
// as the host of a replica does.
func (c *cluster) joinAll() {
	for _, s := range c.replicas {
		if s.node == nil || s.paused || !s.node.State().WantsToJoin() {
			continue
		}
		for _, l := range c.leadersInReach(s) {
			c.step(l, Join{Name: s.name, ID: s.id})
		}
	}
}

// leadersInReach returns the replicas that consider themselves leader and that s can
// exchange messages with.
func (c *cluster) leadersInReach(s *simReplica) []*simReplica {
	var out []*simReplica
	for _, l := range c.replicas {
		if l.node != nil && !l.paused && l.node.State().Role == Leader && c.partitioned[l.name] == c.partitioned[s.name] {
			out = append(out, l)
		}
	}
	return out
}

// anyLeader returns a replica that considers itself leader, or any replica if
// there is none. With a stale leader there may be several.
func (c *cluster) anyLeader() *simReplica {
	start := c.draw(len(c.replicas))
	for i := range c.replicas {
		s := c.replicas[(start+i)%len(c.replicas)]
		if s.node != nil && s.node.State().Role == Leader {
			return s
		}
	}
	return c.replicas[start]
}

// expireTimeouts makes the election timeouts of all replicas expire together.
func (c *cluster) expireTimeouts() {
	for range 2 * electionTicks {
		for _, s := range c.replicas {
			c.step(s, Tick{})
		}
	}
}

// shuffle delivers some messages in random order, some of them twice.
func (c *cluster) shuffle(n int) {
	for ; n > 0 && len(c.inFlight) > 0; n-- {
		c.deliver(c.draw(len(c.inFlight)), c.draw(12) == 0)
	}
}

// resume continues a paused replica and sends it a read and a proposal at once,
// which a deposed leader must not serve.
func (c *cluster) resume(s *simReplica) {
	if s.paused {
		c.wake(s)
		c.read(s)
		c.propose(s)
	}
}

// wake continues a paused replica, which first handles what has waited for it.
func (c *cluster) wake(s *simReplica) {
	s.paused = false
	inbox := s.inbox
	s.inbox = nil
	for _, m := range inbox {
		c.step(s, Receive{Message: m})
	}
}

// randomAction performs one random operation or fault.
func (c *cluster) randomAction() {
	s := c.replicas[c.draw(len(c.replicas))]
	switch k := c.draw(100); {
	case k < 8:
		for range 1 + c.draw(8) {
			c.round()
		}
	case k < 20:
		c.step(s, Tick{})
	case k < 50:
		c.shuffle(1 + c.draw(6))
	case k < 53:
		c.inFlight = c.inFlight[:c.draw(len(c.inFlight)+1)]
	case k < 58:
		c.propose(s)
	case k < 66:
		c.propose(c.anyLeader())
	case k < 70:
		c.read(c.anyLeader())
	case k < 72:
		c.compact(s)
	case k < 78:
		c.crashPoint = 1 + c.draw(2)
	case k < 86:
		if s.node == nil {
			c.start(s)
		}
	case k < 87:
		c.crash(s)
	case k < 91:
		c.crash(s)
		c.start(s)
	case k < 92:
		c.anyLeader().paused = true
	case k < 93:
		c.resume(s)
	case k < 94:
		c.partitioned[s.name] = !c.partitioned[s.name]
	case k < 95:
		l := c.anyLeader()
		c.partitioned[l.name] = !c.partitioned[l.name]
	case k < 96:
		c.step(c.anyLeader(), TransferLeadership{})
	case k < 97:
		c.joinAll()
		c.step(c.anyLeader(), Leave{ID: s.id})
	case k < 98:
		c.expireTimeouts()
	case k < 99:
		c.loseDisk(s)
	default:
		c.replace(s)
	}
}

// replace ends an instance for good and starts another one. Without a target, the
// instances are fixed and lost voters are never replaced by others.
func (c *cluster) replace(s *simReplica) {
	c.settleBeforeLoss()
	if c.target == 0 || len(c.committed) < 3 || !c.canLoseDisk(s) {
		return
	}
	c.lostDisks[s.id] = true
	c.nextID++
	delete(c.partitioned, s.name)
	*s = simReplica{name: fmt.Sprintf("c%d", c.nextID), id: c.nextID, disk: &storage{}}
	c.start(s)
}

// heal ends all faults and runs the cluster until it has had time to recover.
func (c *cluster) heal() {
	c.crashPoint = 0
	c.partitioned = make(map[string]bool)
	for _, s := range c.replicas {
		if s.node == nil {
			c.start(s)
		}
		c.wake(s)
	}
	for range 60 {
		c.round()
	}
}

// round ticks every replica, lets instances that are not members join, and
// delivers all messages.
func (c *cluster) round() {
	for _, s := range c.replicas {
		c.step(s, Tick{})
	}
	c.joinAll()
	for n := 0; len(c.inFlight) > 0 && n < 2000; n++ {
		c.deliver(0, false)
	}
}

// describe lists the state of each replica.
func (c *cluster) describe() string {
	out := ""
	for _, s := range c.replicas {
		out += fmt.Sprintf("\n%s id %d", s.name, s.id)
		if s.node != nil {
			st := s.node.State()
			out += fmt.Sprintf(" paused %t %s term %d last %d commit %d voters %v (%d) learners %v", s.paused, st.Role, st.Term, st.LastIndex, st.Commit, st.Voters.GetVoters(), st.VotersIndex, st.Voters.GetLearners())
		}
	}
	return out
}

// Random faults must not break safety: one leader a term, the same committed
// entries everywhere, and no stale reads, also while voters change: instances leave,
// are replaced, or are removed while they live. After the faults end, the cluster must
// commit a new command and all replicas must apply it, those too that were removed.
func TestClusterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := 3 + 2*rapid.IntRange(0, 1).Draw(t, "more")
		// With a target of 1 no disk may be lost at all.
		c := newCluster(t, n, rapid.SampledFrom([]int{0, 3, n}).Draw(t, "target"))
		for range rapid.IntRange(50, 900).Draw(t, "steps") {
			c.randomAction()
		}
		c.heal()
		before := len(c.committed)
		for try := 0; try < 40 && len(c.committed) < before+1; try++ {
			for _, s := range c.replicas {
				if s.node.State().Role == Leader {
					c.propose(s)
				}
			}
			c.round()
		}
		last := len(c.committed) - 1
		for range 20 {
			c.round()
		}
		if got := len(c.committed); got <= before {
			t.Fatalf("no command committed after the faults ended with target %d: %s", c.target, c.describe())
		}
		for _, s := range c.replicas {
			if got, want := s.chain.index, uint64(last); got < want {
				t.Fatalf("%s has applied %d, want %d: %s", s.name, got, want, c.describe())
			}
		}
	})
}
