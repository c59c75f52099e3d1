package member

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// network is a simulated network of tables without sockets or clocks.
type network struct {
	rnd    *rand.Rand
	tables map[string]*Table
	queue  []Send
	// drop reports whether a datagram is lost.
	drop func(from, to string) bool
	// sent is the number of datagrams sent.
	sent int
}

func newNetwork(seed uint64) *network {
	return &network{rnd: rand.New(rand.NewPCG(seed, seed)), tables: make(map[string]*Table)}
}

func (n *network) add(name string, incarnation uint64) {
	self := &fleetpb.Member{Name: name, Udp: name, Role: "agent", Incarnation: incarnation}
	cfg := DefaultConfig(self, []string{"p0", "p1"})
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
			if n.drop == nil || !n.drop(name, s.Address) {
				n.queue = append(n.queue, s)
			}
		}
	}
}

// run advances all tables by the given number of ticks. After each tick it
// delivers all datagrams in random order.
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

// state returns the state of a process in another's table.
func (n *network) state(observer, subject string) fleetpb.MemberState {
	for _, m := range n.tables[observer].Members() {
		if m.Name == subject {
			return m.State
		}
	}
	return fleetpb.MemberState_MEMBER_STATE_UNSPECIFIED
}

func (n *network) countAlive(observer string) int {
	alive := 0
	for _, m := range n.tables[observer].Members() {
		if m.State == fleetpb.MemberState_MEMBER_STATE_ALIVE {
			alive++
		}
	}
	return alive
}

func TestAllProcessesDiscoverEachOther(t *testing.T) {
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

// addAll adds processes p0, p1 and so on, and lets them discover each other.
func (n *network) addAll(size int) {
	for i := range size {
		n.add(fmt.Sprintf("p%d", i), 1)
	}
	n.run(100)
}

func TestDeathAndRestartAreDetected(t *testing.T) {
	n := newNetwork(2)
	n.addAll(20)
	dead := n.tables["p7"]
	n.drop = func(from, to string) bool { return from == "p7" || to == "p7" }
	n.run(150)
	for i := range 20 {
		if name := fmt.Sprintf("p%d", i); name != "p7" {
			if got, want := n.state(name, "p7"), fleetpb.MemberState_MEMBER_STATE_DEAD; got != want {
				t.Errorf("%s sees %v, want %v", name, got, want)
			}
		}
	}
	if dead == nil {
		t.Fatal("no such process")
	}
	n.drop = nil
	n.add("p7", 2)
	n.run(60)
	for i := range 20 {
		if got, want := n.state(fmt.Sprintf("p%d", i), "p7"), fleetpb.MemberState_MEMBER_STATE_ALIVE; got != want {
			t.Errorf("p%d sees %v after the restart, want %v", i, got, want)
		}
	}
}

// Total packet loss between two live processes does not get either declared dead:
// indirect probes still reach them.
func TestIndirectProbePreventsFalseDeath(t *testing.T) {
	n := newNetwork(3)
	n.addAll(10)
	n.drop = func(from, to string) bool { return from == "p2" && to == "p5" || from == "p5" && to == "p2" }
	n.run(300)
	for i := range 10 {
		if got, want := n.state(fmt.Sprintf("p%d", i), "p5"), fleetpb.MemberState_MEMBER_STATE_ALIVE; got != want {
			t.Errorf("p%d sees p5 as %v, want %v", i, got, want)
		}
	}
}

// All processes learn that a process is leaving within two seconds.
func TestLeavingSpreadsWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{10, 50, 150} {
		n := newNetwork(4)
		n.addAll(size)
		n.step("p3", Leave{})
		n.run(20)
		for i := range size {
			if got, want := n.state(fmt.Sprintf("p%d", i), "p3"), fleetpb.MemberState_MEMBER_STATE_LEAVING; got != want {
				t.Errorf("size %d: p%d sees %v, want %v", size, i, got, want)
			}
		}
	}
}

func TestPartitionHeals(t *testing.T) {
	n := newNetwork(5)
	n.addAll(20)
	firstHalf := func(name string) bool { return len(name) == 2 }
	n.drop = func(from, to string) bool { return firstHalf(from) != firstHalf(to) }
	n.run(900)
	n.drop = nil
	n.run(200)
	for i := range 20 {
		if got, want := n.countAlive(fmt.Sprintf("p%d", i)), 20; got != want {
			t.Errorf("p%d sees %d alive after the partition, want %d", i, got, want)
		}
	}
}

// The number of datagrams per process and second does not grow with the fleet.
func TestTrafficDoesNotGrowWithFleetSize(t *testing.T) {
	for _, size := range []int{10, 150} {
		n := newNetwork(6)
		n.addAll(size)
		n.sent = 0
		n.run(100)
		perSecond := float64(n.sent) / float64(size) / 10
		if got, limit := perSecond, 10.0; got > limit {
			t.Errorf("size %d: %.1f datagrams per process and second, want at most %.0f", size, got, limit)
		}
	}
}

func TestDatagramWithWrongMACIsRejected(t *testing.T) {
	b, err := encode([]byte("one fleet's key"), &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := decode([]byte("another fleet's key"), b); ok {
		t.Error("a datagram of another fleet was accepted")
	}
	b[len(b)-1] ^= 1
	if _, ok := decode([]byte("one fleet's key"), b); ok {
		t.Error("a modified datagram was accepted")
	}
}

func FuzzDecode(f *testing.F) {
	key := []byte("one fleet's key")
	b, _ := encode(key, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING, From: "a"})
	f.Add(b[macBytes:])
	f.Fuzz(func(_ *testing.T, body []byte) {
		if g, ok := decode(key, append(mac(key, body), body...)); ok {
			table := NewTable(Config{Self: &fleetpb.Member{Name: "x", Udp: "x"}, ProbeTicks: 5, Random: func(int) int { return 0 }})
			table.Step(Receive{Gossip: g})
		}
	})
}
