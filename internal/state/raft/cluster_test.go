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

// TestMain fixes the seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// electionTicks is short, so that elections are frequent.
const electionTicks = 3

// chain is the oracle's state machine: a hash over all commands applied.
type chain struct {
	index uint64
	hash  uint64
}

func (c chain) with(e *statepb.Entry) chain {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %d", c.hash, e.Index, e.GetCommand().GetNonce())
	return chain{index: e.Index, hash: h.Sum64()}
}

func (c chain) bytes() []byte { return fmt.Appendf(nil, "%d %d", c.index, c.hash) }

func chainOf(b []byte) chain {
	var c chain
	if len(b) > 0 {
		if _, err := fmt.Sscanf(string(b), "%d %d", &c.index, &c.hash); err != nil {
			panic(err)
		}
	}
	return c
}

// storage is what a replica's disk holds for good.
type storage struct {
	hard    *statepb.HardState
	snap    *statepb.Snapshot
	entries []*statepb.Entry
}

func (s *storage) base() uint64 { return s.snap.GetIndex() }

func (s *storage) write(e Effect) {
	switch e := e.(type) {
	case Persist:
		s.hard = proto.Clone(e.Hard).(*statepb.HardState)
		for _, x := range e.Entries {
			at := x.Index - s.base() - 1
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

func (s *storage) restored() Restored {
	out := Restored{}
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

// replicaSim is an instance: a disk, and while it is up a Node.
type replicaSim struct {
	name   string
	id     uint64
	disk   *storage
	node   *Node
	chain  chain
	frozen bool
}

type pendingRead struct{ atLeast uint64 }

// cluster is the simulation and its oracle.
type cluster struct {
	t        *rapid.T
	sims     []*replicaSim
	flight   []*statepb.Message
	history  []chain
	acked    uint64
	leaders  map[uint64]uint64
	reads    map[uint64]pendingRead
	nonce    uint64
	nextID   uint64
	cut      map[string]bool
	gone     map[uint64]bool
	voters   *statepb.Voters
	votersAt uint64
	crashAt  int
}

func newCluster(t *rapid.T, n int) *cluster {
	c := &cluster{
		t:       t,
		history: []chain{{}, {index: 1}},
		leaders: make(map[uint64]uint64),
		reads:   make(map[uint64]pendingRead),
		cut:     make(map[string]bool),
		gone:    make(map[uint64]bool),
		nextID:  uint64(n),
	}
	voters := &statepb.Voters{Names: make(map[uint64]string)}
	for i := range n {
		s := &replicaSim{name: fmt.Sprintf("c%d", i+1), id: uint64(i + 1), disk: &storage{}}
		voters.Voters = append(voters.Voters, s.id)
		voters.Names[s.id] = s.name
		c.sims = append(c.sims, s)
	}
	first := c.sims[0]
	first.disk.hard = &statepb.HardState{Term: 1}
	first.disk.snap = &statepb.Snapshot{Index: 1, Term: 1, Voters: voters, State: chain{index: 1}.bytes()}
	c.voters, c.votersAt = voters, 1
	for _, s := range c.sims {
		c.start(s)
	}
	return c
}

func (c *cluster) draw(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "n") }

func (c *cluster) start(s *replicaSim) {
	s.node = New(Config{ID: s.id, Name: s.name, ElectionTicks: electionTicks, FirstTicks: 1, HeartbeatTicks: 1, Jitter: c.draw}, s.disk.restored())
	s.chain = chainOf(s.disk.snap.GetState())
	s.frozen = false
}

func (c *cluster) crash(s *replicaSim) { s.node = nil }

// step gives a replica an input. The disk comes first; crashAt chooses a crash
// before (1) or after (2) the sync.
func (c *cluster) step(s *replicaSim, in Input) {
	if s.node == nil || s.frozen {
		return
	}
	effects := s.node.Step(in)
	point := c.crashAt
	c.crashAt = 0
	if point == 1 {
		c.crash(s)
		return
	}
	for _, e := range effects {
		s.disk.write(e)
	}
	if point == 2 {
		c.crash(s)
		return
	}
	for _, e := range effects {
		c.carry(s, e)
	}
	if st := s.node.State(); st.Role == Leader {
		if other, ok := c.leaders[st.Term]; ok && other != s.id {
			c.t.Fatalf("two leaders in term %d: %d and %d", st.Term, other, s.id)
		}
		c.leaders[st.Term] = s.id
	}
}

func (c *cluster) carry(s *replicaSim, e Effect) {
	switch e := e.(type) {
	case Send:
		c.flight = append(c.flight, proto.Clone(e.Message).(*statepb.Message))
	case Apply:
		for _, x := range e.Entries {
			c.apply(s, x)
		}
	case Restore:
		s.chain = chainOf(e.Snapshot.State)
		c.check(s, "snapshot")
	case Readable:
		r, ok := c.reads[e.ID]
		if ok && s.chain.index < r.atLeast {
			c.t.Fatalf("%s answers a read at %d, %d was committed before it", s.name, s.chain.index, r.atLeast)
		}
	}
}

func (c *cluster) apply(s *replicaSim, e *statepb.Entry) {
	if e.Index != s.chain.index+1 {
		c.t.Fatalf("%s applies %d after %d", s.name, e.Index, s.chain.index)
	}
	s.chain = s.chain.with(e)
	c.check(s, "entry")
	if e.Voters != nil && e.Index > c.votersAt {
		c.voters, c.votersAt = e.Voters, e.Index
	}
}

// check compares a replica with what any replica has applied at that index.
func (c *cluster) check(s *replicaSim, what string) {
	i := int(s.chain.index)
	if i < len(c.history) {
		if got, want := s.chain, c.history[i]; got != want {
			c.t.Fatalf("%s: %s at %d is %x, was committed as %x", s.name, what, i, got.hash, want.hash)
		}
		return
	}
	if i != len(c.history) {
		c.t.Fatalf("%s: %s jumps to %d of %d", s.name, what, i, len(c.history))
	}
	c.history = append(c.history, s.chain)
}

func (c *cluster) byID(id uint64) *replicaSim {
	for _, s := range c.sims {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (c *cluster) deliver(i int, keep bool) {
	m := c.flight[i]
	if !keep {
		c.flight = append(c.flight[:i], c.flight[i+1:]...)
	}
	from, to := c.byID(m.From), c.byID(m.To)
	if to == nil || from != nil && c.cut[from.name] != c.cut[to.name] {
		return
	}
	c.step(to, Receive{Message: proto.Clone(m).(*statepb.Message)})
}

// mayLose reports whether the state survives the loss of one more disk: a
// majority of the newest voters, committed or not, keeps its disks.
func (c *cluster) mayLose(lost *replicaSim) bool {
	safe := func(v *statepb.Voters) bool {
		kept := 0
		for _, id := range v.GetVoters() {
			if id != lost.id && !c.gone[id] {
				kept++
			}
		}
		return kept*2 > len(v.GetVoters())
	}
	if !safe(c.voters) {
		return false
	}
	for _, s := range c.sims {
		if s.disk.snap != nil && s.disk.snap.Index > c.votersAt && !safe(s.disk.snap.Voters) {
			return false
		}
		for _, e := range s.disk.entries {
			if e.Voters != nil && e.Index > c.votersAt && !safe(e.Voters) {
				return false
			}
		}
	}
	return true
}

// loseDisk empties an instance's folder; it returns under a new identity.
func (c *cluster) loseDisk(s *replicaSim) {
	if len(c.history) < 3 || !c.mayLose(s) {
		return
	}
	c.gone[s.id] = true
	c.nextID++
	s.id = c.nextID
	s.disk = &storage{}
	c.start(s)
}

func (c *cluster) propose(s *replicaSim) {
	c.nonce++
	c.step(s, Propose{Commands: []*statepb.Command{{Nonce: c.nonce}}})
}

func (c *cluster) read(s *replicaSim) {
	c.nonce++
	c.reads[c.nonce] = pendingRead{atLeast: uint64(len(c.history) - 1)}
	c.step(s, ReadIndex{ID: c.nonce})
}

func (c *cluster) compact(s *replicaSim) {
	if s.node != nil && !s.frozen && s.chain.index > 1 {
		c.step(s, Compact{Index: s.chain.index, State: s.chain.bytes()})
	}
}

// joinAll introduces every instance that is not a member to the leaders.
func (c *cluster) joinAll() {
	for _, s := range c.sims {
		for _, l := range c.sims {
			if l.node != nil && l.node.State().Role == Leader {
				c.step(l, Join{Name: s.name, ID: s.id})
			}
		}
	}
}

// leader returns a replica that takes itself for the leader, or any.
func (c *cluster) leader() *replicaSim {
	start := c.draw(len(c.sims))
	for i := range c.sims {
		s := c.sims[(start+i)%len(c.sims)]
		if s.node != nil && s.node.State().Role == Leader {
			return s
		}
	}
	return c.sims[start]
}

// storm lets every replica time out at once.
func (c *cluster) storm() {
	for range 2 * electionTicks {
		for _, s := range c.sims {
			c.step(s, Tick{})
		}
	}
}

// shuffle delivers some messages in random order, some of them twice.
func (c *cluster) shuffle(n int) {
	for ; n > 0 && len(c.flight) > 0; n-- {
		c.deliver(c.draw(len(c.flight)), c.draw(12) == 0)
	}
}

// thaw lets a frozen replica go on; a former leader is asked at once.
func (c *cluster) thaw(s *replicaSim) {
	if s.frozen {
		s.frozen = false
		c.read(s)
		c.propose(s)
	}
}

// act does one random thing.
func (c *cluster) act() {
	s := c.sims[c.draw(len(c.sims))]
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
		c.flight = c.flight[:c.draw(len(c.flight)+1)]
	case k < 58:
		c.propose(s)
	case k < 66:
		c.propose(c.leader())
	case k < 70:
		c.read(c.leader())
	case k < 72:
		c.compact(s)
	case k < 78:
		c.crashAt = 1 + c.draw(2)
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
		c.leader().frozen = true
	case k < 93:
		c.thaw(s)
	case k < 94:
		c.cut[s.name] = !c.cut[s.name]
	case k < 95:
		l := c.leader()
		c.cut[l.name] = !c.cut[l.name]
	case k < 96:
		c.step(c.leader(), Transfer{})
	case k < 97:
		c.joinAll()
	case k < 98:
		c.storm()
	default:
		c.loseDisk(s)
	}
}

// heal ends all faults and lets the cluster settle.
func (c *cluster) heal() {
	c.crashAt = 0
	c.cut = make(map[string]bool)
	for _, s := range c.sims {
		if s.node == nil {
			c.start(s)
		}
		s.frozen = false
	}
	for range 60 {
		c.round()
	}
}

// round passes one tick everywhere, introduces who is not a member, and
// delivers everything.
func (c *cluster) round() {
	for _, s := range c.sims {
		c.step(s, Tick{})
	}
	c.joinAll()
	for n := 0; len(c.flight) > 0 && n < 2000; n++ {
		c.deliver(0, false)
	}
}

func TestClusterUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3+2*rapid.IntRange(0, 1).Draw(t, "more"))
		for range rapid.IntRange(50, 900).Draw(t, "steps") {
			c.act()
		}
		c.heal()
		before := len(c.history)
		for try := 0; try < 40 && len(c.history) < before+1; try++ {
			for _, s := range c.sims {
				if s.node.State().Role == Leader {
					c.propose(s)
				}
			}
			c.round()
		}
		for range 20 {
			c.round()
		}
		if got := len(c.history); got <= before {
			t.Fatalf("no command committed after the faults ended")
		}
		for _, s := range c.sims {
			if got, want := s.chain.index, uint64(len(c.history)-1); got != want {
				t.Fatalf("%s has applied %d, want %d", s.name, got, want)
			}
		}
	})
}
