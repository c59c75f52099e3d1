package member

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// net is a network of tables without sockets or clocks.
type network struct {
	rnd    *rand.Rand
	tables map[string]*Table
	queue  []Send
	// cut reports whether a datagram is lost.
	cut func(from, to string) bool
	// sent counts datagrams.
	sent int
}

func newNetwork(seed uint64) *network {
	return &network{rnd: rand.New(rand.NewPCG(seed, seed)), tables: make(map[string]*Table)}
}

func (n *network) add(name string, incarnation uint64) {
	self := &fleetpb.Member{Name: name, Udp: name, Role: "agent", Incarnation: incarnation}
	cfg := TableConfig(self, []string{"p0", "p1"})
	cfg.Random = n.rnd.IntN
	n.tables[name] = NewTable(cfg)
}

func (n *network) step(name string, in Input) {
	t := n.tables[name]
	if t == nil {
		return
	}
	for _, e := range t.Step(in) {
		if s, ok := e.(Send); ok {
			n.sent++
			if n.cut == nil || !n.cut(name, s.Address) {
				n.queue = append(n.queue, s)
			}
		}
	}
}

// run passes ticks and delivers all datagrams after each, in random order.
func (n *network) run(ticks int) {
	for range ticks {
		for i := range len(n.tables) {
			n.step(fmt.Sprintf("p%d", i), Tick{})
		}
		for len(n.queue) > 0 {
			i := n.rnd.IntN(len(n.queue))
			s := n.queue[i]
			n.queue = append(n.queue[:i], n.queue[i+1:]...)
			n.step(s.Address, Receive{Gossip: s.Gossip})
		}
	}
}

func (n *network) state(at, of string) fleetpb.MemberState {
	for _, m := range n.tables[at].Members() {
		if m.Name == of {
			return m.State
		}
	}
	return fleetpb.MemberState_MEMBER_STATE_UNSPECIFIED
}

func (n *network) countAlive(at string) int {
	alive := 0
	for _, m := range n.tables[at].Members() {
		if m.State == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			alive++
		}
	}
	return alive
}

func TestAllFindEachOther(t *testing.T) {
	for _, size := range []int{2, 20, 150} {
		n := newNetwork(1)
		for i := range size {
			n.add(fmt.Sprintf("p%d", i), 1)
		}
		n.run(100)
		for i := range size {
			name := fmt.Sprintf("p%d", i)
			if got, want := n.countAlive(name), size; got != want {
				t.Errorf("size %d: %s sees %d alive, want %d", size, name, got, want)
			}
		}
	}
}

func (n *network) fill(size int) {
	for i := range size {
		n.add(fmt.Sprintf("p%d", i), 1)
	}
	n.run(100)
}

func TestDeadProcessIsFoundAndItsReturnIsSeen(t *testing.T) {
	n := newNetwork(2)
	n.fill(20)
	gone := n.tables["p7"]
	n.cut = func(from, to string) bool { return from == "p7" || to == "p7" }
	n.run(150)
	for i := range 20 {
		if name := fmt.Sprintf("p%d", i); name != "p7" {
			if got, want := n.state(name, "p7"), fleetpb.MemberState_MEMBER_STATE_DEAD; got != want {
				t.Errorf("%s sees %v, want %v", name, got, want)
			}
		}
	}
	if gone == nil {
		t.Fatal("no such process")
	}
	n.cut = nil
	n.add("p7", 2)
	n.run(60)
	for i := range 20 {
		if got, want := n.state(fmt.Sprintf("p%d", i), "p7"), fleetpb.MemberState_MEMBER_STATE_ALIVE; got != want {
			t.Errorf("p%d sees %v after the return, want %v", i, got, want)
		}
	}
}

// One link that loses everything does not make a living process dead: others
// probe on behalf.
func TestOneBrokenLinkKillsNobody(t *testing.T) {
	n := newNetwork(3)
	n.fill(10)
	n.cut = func(from, to string) bool { return from == "p2" && to == "p5" || from == "p5" && to == "p2" }
	n.run(300)
	for i := range 10 {
		if got, want := n.state(fmt.Sprintf("p%d", i), "p5"), fleetpb.MemberState_MEMBER_STATE_ALIVE; got != want {
			t.Errorf("p%d sees p5 as %v, want %v", i, got, want)
		}
	}
}

// A leaving process is known as such everywhere within two seconds.
func TestLeavingSpreadsWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{10, 50, 150} {
		n := newNetwork(4)
		n.fill(size)
		n.step("p3", Leave{})
		n.run(20)
		for i := range size {
			if got, want := n.state(fmt.Sprintf("p%d", i), "p3"), fleetpb.MemberState_MEMBER_STATE_LEAVING; got != want {
				t.Errorf("size %d: p%d sees %v, want %v", size, i, got, want)
			}
		}
	}
}

func TestCutHealsToOneFleet(t *testing.T) {
	n := newNetwork(5)
	n.fill(20)
	half := func(name string) bool { return len(name) == 2 }
	n.cut = func(from, to string) bool { return half(from) != half(to) }
	n.run(900)
	n.cut = nil
	n.run(200)
	for i := range 20 {
		if got, want := n.countAlive(fmt.Sprintf("p%d", i)), 20; got != want {
			t.Errorf("p%d sees %d alive after the cut, want %d", i, got, want)
		}
	}
}

// The datagrams a process and second do not grow with the fleet.
func TestTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{10, 150} {
		n := newNetwork(6)
		n.fill(size)
		n.sent = 0
		n.run(100)
		perSecond := float64(n.sent) / float64(size) / 10
		if got, most := perSecond, 10.0; got > most {
			t.Errorf("size %d: %.1f datagrams a process and second, want at most %.0f", size, got, most)
		}
	}
}

func TestDatagramWithoutTheKeyIsDropped(t *testing.T) {
	b, err := seal([]byte("one fleet's key"), &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := open([]byte("another fleet's key"), b); ok {
		t.Error("a datagram of another fleet was taken")
	}
	b[len(b)-1] ^= 1
	if _, ok := open([]byte("one fleet's key"), b); ok {
		t.Error("a changed datagram was taken")
	}
}

func FuzzOpen(f *testing.F) {
	key := []byte("one fleet's key")
	b, _ := seal(key, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING, From: "a"})
	f.Add(b[macBytes:])
	f.Fuzz(func(_ *testing.T, body []byte) {
		if g, ok := open(key, append(mac(key, body), body...)); ok {
			table := NewTable(Config{Self: &fleetpb.Member{Name: "x", Udp: "x"}, ProbeTicks: 5, Random: func(int) int { return 0 }})
			table.Step(Receive{Gossip: g})
		}
	})
}
