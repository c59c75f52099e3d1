package member

import (
	"fmt"
	"hash/fnv"
	"math/bits"
	"sort"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// maxDatagramBytes bounds the records carried by one datagram.
	maxDatagramBytes = 1200
	// indirectProbes is the number of processes asked to probe on behalf.
	indirectProbes = 3
	// buckets is the number of parts that a table's digest has.
	buckets = 128
	// maxExchangeDatagrams bounds the answer to one exchange.
	maxExchangeDatagrams = 16
	// spreadFactor times the logarithm of the fleet's size is how often a
	// change is passed on.
	spreadFactor = 3
	// lonelyPeriods is the number of probe periods between exchanges while a
	// seed is not known.
	lonelyPeriods = 4
)

// Config builds a Table.
type Config struct {
	// Self is this process's own record.
	Self *fleetpb.Member
	// Seeds are the UDP addresses asked when nobody else is known.
	Seeds []string
	// ProbeTicks is the length of a probe period.
	ProbeTicks int
	// AckTicks is the wait for an answer before others are asked to probe.
	AckTicks int
	// SuspectTicks is the time a suspicion waits to be refuted.
	SuspectTicks int
	// ForgetTicks is the time a dead process is remembered.
	ForgetTicks int
	// ExchangeTicks is the time between exchanges while nothing differs.
	ExchangeTicks int
	// Random returns a number in [0, n).
	Random func(n int) int
}

// Input is one thing that happens to a Table.
type Input interface{ isInput() }

// Tick tells that one tick of the host's monotonic clock has passed.
type Tick struct{}

// Receive delivers an authenticated datagram.
type Receive struct{ Gossip *fleetpb.Gossip }

// Describe replaces what this process says of itself, except its identity.
type Describe struct{ Self *fleetpb.Member }

// Leave announces that this process takes no new work.
type Leave struct{}

func (Tick) isInput()     {}
func (Receive) isInput()  {}
func (Describe) isInput() {}
func (Leave) isInput()    {}

// Effect is one thing that the host carries out for a Table.
type Effect interface{ isEffect() }

// Send hands a datagram to the network. It may be lost.
type Send struct {
	Address string
	Gossip  *fleetpb.Gossip
}

// Changed tells of a new state of another process.
type Changed struct{ Member *fleetpb.Member }

func (Send) isEffect()    {}
func (Changed) isEffect() {}

type record struct {
	m *fleetpb.Member
	// age counts the ticks in the present state.
	age int
	// left is how often the record is still to be passed on.
	left int
}

type probe struct {
	seq      uint64
	target   string
	ticks    int
	indirect bool
	answered bool
}

// Table is what one process knows of the others. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	self    *fleetpb.Member
	records map[string]*record
	order   []string
	// aliveAt are the addresses of the processes that are not dead.
	aliveAt map[string]bool
	// fresh are the records that are still to be passed on.
	fresh     []*record
	turn      int
	probe     probe
	seq       uint64
	ticks     int
	exchange  int
	differing bool
	synced    bool
	selfLeft  int
	document  uint64
	out       []Effect
}

// NewTable returns a Table that knows only itself.
func NewTable(cfg Config) *Table {
	self := proto.Clone(cfg.Self).(*fleetpb.Member)
	self.State = fleetpb.MemberState_MEMBER_STATE_ALIVE
	t := &Table{cfg: cfg, self: self, records: make(map[string]*record), aliveAt: make(map[string]bool), differing: true}
	t.selfLeft = t.spread()
	return t
}

// Step takes one input and returns the effects that follow from it.
func (t *Table) Step(in Input) []Effect {
	t.out = nil
	switch in := in.(type) {
	case Tick:
		t.tick()
	case Receive:
		t.receive(in.Gossip)
	case Describe:
		t.describe(in.Self)
	case Leave:
		t.setSelf(fleetpb.MemberState_MEMBER_STATE_LEAVING)
		t.flood()
	default:
		panic(fmt.Sprintf("member: unhandled input %T", in))
	}
	out := t.out
	t.out = nil
	return out
}

// Members returns the known processes with this one, in the order of names.
func (t *Table) Members() []*fleetpb.Member {
	out := []*fleetpb.Member{t.self}
	for _, r := range t.records {
		out = append(out, r.m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Synced reports whether the table has ever equalled another's.
func (t *Table) Synced() bool { return t.synced }

// Document returns the highest document index heard of.
func (t *Table) Document() uint64 { return t.document }

// SetDocument tells the index of the document in force here.
func (t *Table) SetDocument(index uint64) { t.document = max(t.document, index) }

func (t *Table) send(address string, g *fleetpb.Gossip) {
	g.From = t.self.Name
	g.Udp = t.self.Udp
	g.Document = t.document
	t.out = append(t.out, Send{Address: address, Gossip: g})
}

// spread is how often a change is passed on at the present size.
func (t *Table) spread() int {
	return spreadFactor * (bits.Len(uint(len(t.records)+1)) + 1)
}

func (t *Table) describe(m *fleetpb.Member) {
	next := proto.Clone(m).(*fleetpb.Member)
	next.Name, next.Incarnation = t.self.Name, t.self.Incarnation
	next.State = t.self.State
	next.Version = t.self.Version
	if proto.Equal(next, t.self) {
		return
	}
	next.Version++
	t.self = next
	t.selfLeft = t.spread()
}

func (t *Table) setSelf(state fleetpb.MemberState) {
	next := proto.Clone(t.self).(*fleetpb.Member)
	next.State = state
	next.Version++
	t.self = next
	t.selfLeft = t.spread()
}

// flood sends the own record to a number of others at once.
func (t *Table) flood() {
	for _, r := range t.sample(t.spread(), "") {
		t.send(r.m.Udp, t.withNews(&fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING}))
	}
}

// severity orders the states of one incarnation and version.
func severity(s fleetpb.MemberState) int {
	switch s {
	case fleetpb.MemberState_MEMBER_STATE_ALIVE:
		return 1
	case fleetpb.MemberState_MEMBER_STATE_LEAVING:
		return 2
	case fleetpb.MemberState_MEMBER_STATE_SUSPECT:
		return 3
	case fleetpb.MemberState_MEMBER_STATE_DEAD:
		return 4
	default:
		return 0
	}
}

// newer reports whether a says more than b of the same process.
func newer(a, b *fleetpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return severity(a.State) > severity(b.State)
}

func (t *Table) merge(m *fleetpb.Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	have := t.records[m.Name]
	if have != nil && !newer(m, have.m) {
		return
	}
	if have == nil {
		if m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			return
		}
		t.insert(m.Name)
		t.differing = true
	}
	t.put(proto.Clone(m).(*fleetpb.Member))
	t.out = append(t.out, Changed{Member: m})
}

// put stores a record and begins to pass it on.
func (t *Table) put(m *fleetpb.Member) {
	r := &record{m: m, left: t.spread()}
	t.aliveAt[m.Udp] = m.State != fleetpb.MemberState_MEMBER_STATE_DEAD
	t.records[m.Name] = r
	t.fresh = append(t.fresh, r)
}

// insert puts a name at a random place of the probe order.
func (t *Table) insert(name string) {
	t.order = append(t.order, name)
	i := t.cfg.Random(len(t.order))
	last := len(t.order) - 1
	t.order[i], t.order[last] = t.order[last], t.order[i]
}

// refute answers what others wrongly say of this process.
func (t *Table) refute(m *fleetpb.Member) {
	if m.Incarnation != t.self.Incarnation || !newer(m, t.self) {
		return
	}
	t.self = proto.Clone(t.self).(*fleetpb.Member)
	t.self.Version = m.Version + 1
	t.selfLeft = t.spread()
}

func (t *Table) setState(name string, state fleetpb.MemberState) {
	r := t.records[name]
	if r == nil || severity(r.m.State) >= severity(state) {
		return
	}
	m := proto.Clone(r.m).(*fleetpb.Member)
	m.State = state
	t.put(m)
	t.out = append(t.out, Changed{Member: m})
}

// bucketOf returns the digest bucket of a name.
func bucketOf(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % buckets)
}

// digests summarises the table. The order of the records does not matter.
func (t *Table) digests() []uint64 {
	out := make([]uint64, buckets)
	for _, m := range t.Members() {
		if m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d %d %d", m.Name, m.Incarnation, m.Version, m.State)
		out[bucketOf(m.Name)] ^= h.Sum64()
	}
	return out
}
