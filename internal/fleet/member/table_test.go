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
