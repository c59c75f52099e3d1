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
	// maxRecordBytes is the maximum size of the membership records in one
	// datagram.
	maxRecordBytes = 1200
	// indirectProbes is the number of processes asked for an indirect probe.
	indirectProbes = 3
	// digestBuckets is the number of buckets that the records are divided into, with
	// one digest each.
	digestBuckets = 128
	// maxExchangeDatagrams is the maximum number of datagrams with records in
	// reply to one digest exchange.
	maxExchangeDatagrams = 16
	// transmitMultiplier times the logarithm of the fleet size is the number of
	// times that a change is transmitted.
	transmitMultiplier = 3
	// seedExchangePeriods is the number of probe periods between exchanges while
	// a seed is unknown.
	seedExchangePeriods = 4
)

// Config configures a Table. One tick is 100 ms in a Service.
type Config struct {
	// Self is the local process's record.
	Self *fleetpb.Member
	// Seeds are the UDP addresses contacted until live processes are known there.
	Seeds []string
	// ProbeTicks is the probe period.
	ProbeTicks int
	// AckTicks is the wait for an ack before indirect probes are sent.
	AckTicks int
	// SuspectTicks is how long a process stays suspect before it is declared dead.
	SuspectTicks int
	// DeadRetentionTicks is how long the record of a dead process is kept.
	DeadRetentionTicks int
	// ExchangeTicks is the time between digest exchanges while the tables agree.
	ExchangeTicks int
	// Random returns a random number in [0, n).
	Random func(n int) int
}

// Input is an event that a Table handles in one Step.
type Input interface{ isInput() }

// Tick reports that one tick of a monotonic clock has passed.
type Tick struct{}

// Receive delivers an authenticated datagram.
type Receive struct{ Gossip *fleetpb.Gossip }

// UpdateSelf replaces the local process's record, except its name, incarnation,
// state and version.
type UpdateSelf struct{ Self *fleetpb.Member }

// Leave announces that the local process takes no new work.
type Leave struct{}

func (Tick) isInput()       {}
func (Receive) isInput()    {}
func (UpdateSelf) isInput() {}
func (Leave) isInput()      {}

// Effect is an action that the caller of Step performs for the Table.
type Effect interface{ isEffect() }

// Send sends a datagram. It may be lost.
type Send struct {
	Address string
	Gossip  *fleetpb.Gossip
}

// Changed reports a new record of another process.
type Changed struct{ Member *fleetpb.Member }

func (Send) isEffect()    {}
func (Changed) isEffect() {}

// record is what the Table knows of another process.
type record struct {
	m *fleetpb.Member
	// stateTicks is the number of ticks in the current state.
	stateTicks int
	// transmits is how many more times the record is to be piggybacked.
	transmits int
}

// probe is the state of the current probe period.
type probe struct {
	seq      uint64
	target   string
	ticks    int
	indirect bool
	answered bool
}

// Table is the membership state machine of one process. It performs no I/O. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	self    *fleetpb.Member
	records map[string]*record
	// probeOrder is the round-robin order of probes, in which new names are
	// inserted at random positions.
	probeOrder []string
	// liveAddresses is the set of UDP addresses of processes that are not dead.
	liveAddresses map[string]bool
	// changes are the records that are still to be piggybacked.
	changes    []*record
	probeIndex int
	probe      probe
	// seq is the sequence number of the latest probe.
	seq   uint64
	ticks int
	// exchangeTicks is the number of ticks since the last exchange was started.
	exchangeTicks int
	// diverged is whether the last exchange found a difference, or a process
	// has been added since.
	diverged bool
	synced   bool
	// selfTransmits is how many more times self is to be piggybacked.
	selfTransmits int
	// document is the highest document index seen in gossip or set locally.
	document uint64
	effects  []Effect
}

// NewTable returns a Table that contains only the local process.
func NewTable(cfg Config) *Table {
	self := proto.Clone(cfg.Self).(*fleetpb.Member)
	self.State = fleetpb.MemberState_MEMBER_STATE_ALIVE
	t := &Table{cfg: cfg, self: self, records: make(map[string]*record), liveAddresses: make(map[string]bool), diverged: true}
	t.selfTransmits = t.transmitLimit()
	return t
}

// Step handles one input and returns the resulting effects.
func (t *Table) Step(in Input) []Effect {
	t.effects = nil
	switch in := in.(type) {
	case Tick:
		t.tick()
	case Receive:
		t.receive(in.Gossip)
	case UpdateSelf:
		t.updateSelf(in.Self)
	case Leave:
		t.setSelfState(fleetpb.MemberState_MEMBER_STATE_LEAVING)
		t.broadcastSelf()
	default:
		panic(fmt.Sprintf("member: unhandled input %T", in))
	}
	effects := t.effects
	t.effects = nil
	return effects
}

// Members returns all known processes, including the local one, sorted by name.
func (t *Table) Members() []*fleetpb.Member {
	out := []*fleetpb.Member{t.self}
	for _, r := range t.records {
		out = append(out, r.m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Synced reports whether an exchange has ever found this table equal to another
// process's table.
func (t *Table) Synced() bool { return t.synced }

// Document returns the highest document index seen in gossip or set locally.
func (t *Table) Document() uint64 { return t.document }

// SetDocument sets the index of the document that the local process applies. A
// lower index than the highest one seen is ignored.
func (t *Table) SetDocument(index uint64) { t.document = max(t.document, index) }

// send fills in the sender's fields of a datagram and adds it to the effects.
func (t *Table) send(address string, g *fleetpb.Gossip) {
	g.From = t.self.Name
	g.Udp = t.self.Udp
	g.Document = t.document
	t.effects = append(t.effects, Send{Address: address, Gossip: g})
}

// transmitLimit returns the number of times that a change is transmitted at the
// current fleet size.
func (t *Table) transmitLimit() int {
	return transmitMultiplier * (bits.Len(uint(len(t.records)+1)) + 1)
}

func (t *Table) updateSelf(m *fleetpb.Member) {
	next := proto.Clone(m).(*fleetpb.Member)
	next.Name, next.Incarnation = t.self.Name, t.self.Incarnation
	next.State = t.self.State
	next.Version = t.self.Version
	if proto.Equal(next, t.self) {
		return
	}
	next.Version++
	t.self = next
	t.selfTransmits = t.transmitLimit()
}

// setSelfState changes the local process's state under a new version.
func (t *Table) setSelfState(state fleetpb.MemberState) {
	next := proto.Clone(t.self).(*fleetpb.Member)
	next.State = state
	next.Version++
	t.self = next
	t.selfTransmits = t.transmitLimit()
}

// broadcastSelf sends the local record to several other processes at once.
func (t *Table) broadcastSelf() {
	for _, r := range t.sample(t.transmitLimit(), "") {
		t.send(r.m.Udp, t.piggyback(&fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_PING}))
	}
}

// statePrecedence orders the states that one incarnation and version can have.
// The higher one wins a merge.
func statePrecedence(s fleetpb.MemberState) int {
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

// supersedes reports whether record a replaces record b of the same process.
func supersedes(a, b *fleetpb.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return statePrecedence(a.State) > statePrecedence(b.State)
}

// merge stores a received record if it supersedes the known one.
func (t *Table) merge(m *fleetpb.Member) {
	if m.Name == t.self.Name {
		t.refute(m)
		return
	}
	known := t.records[m.Name]
	if known != nil && !supersedes(m, known.m) {
		return
	}
	if known == nil {
		if m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			return
		}
		t.insert(m.Name)
		t.diverged = true
	}
	t.store(proto.Clone(m).(*fleetpb.Member))
	t.effects = append(t.effects, Changed{Member: m})
}

// store sets a process's record and queues it to be piggybacked.
func (t *Table) store(m *fleetpb.Member) {
	r := &record{m: m, transmits: t.transmitLimit()}
	t.liveAddresses[m.Udp] = m.State != fleetpb.MemberState_MEMBER_STATE_DEAD
	t.records[m.Name] = r
	t.changes = append(t.changes, r)
}

// insert adds a name at a random position of the probe order.
func (t *Table) insert(name string) {
	t.probeOrder = append(t.probeOrder, name)
	i := t.cfg.Random(len(t.probeOrder))
	last := len(t.probeOrder) - 1
	t.probeOrder[i], t.probeOrder[last] = t.probeOrder[last], t.probeOrder[i]
}

// refute overrides a received record of the local process, such as a suspicion,
// by raising the version of its own record above it.
func (t *Table) refute(m *fleetpb.Member) {
	if m.Incarnation != t.self.Incarnation || !supersedes(m, t.self) {
		return
	}
	t.self = proto.Clone(t.self).(*fleetpb.Member)
	t.self.Version = m.Version + 1
	t.selfTransmits = t.transmitLimit()
}

// worsenState changes a process's state to one of higher precedence.
func (t *Table) worsenState(name string, state fleetpb.MemberState) {
	r := t.records[name]
	if r == nil || statePrecedence(r.m.State) >= statePrecedence(state) {
		return
	}
	m := proto.Clone(r.m).(*fleetpb.Member)
	m.State = state
	t.store(m)
	t.effects = append(t.effects, Changed{Member: m})
}

// digestBucket returns the digest bucket of a process.
func digestBucket(name string) int {
	h := fnv.New32a()
	h.Write([]byte(name))
	return int(h.Sum32() % digestBuckets)
}

// digests returns one digest per bucket of the records that are not dead. XOR
// makes it independent of the order of the records.
func (t *Table) digests() []uint64 {
	out := make([]uint64, digestBuckets)
	for _, m := range t.Members() {
		if m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d %d %d", m.Name, m.Incarnation, m.Version, m.State)
		out[digestBucket(m.Name)] ^= h.Sum64()
	}
	return out
}
