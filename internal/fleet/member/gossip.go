package member

import (
	"fmt"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// tick advances all timers by one tick.
func (t *Table) tick() {
	t.ticks++
	t.expireRecords()
	t.probe.ticks++
	if t.probe.target != "" && !t.probe.answered && !t.probe.indirect && t.probe.ticks >= t.cfg.AckTicks {
		t.startIndirectProbe()
	}
	if t.ticks%t.cfg.ProbeTicks == 0 {
		t.finishProbe()
		t.startProbe()
	}
	t.exchangeTicks++
	if t.exchangeTicks >= t.exchangePeriod() {
		t.startExchange()
	}
}

// exchangePeriod returns the number of ticks between digest exchanges. It is
// short while the tables differ, and while no live process is known at the
// address of a seed: the seed may be in a partition that does not know this
// process.
func (t *Table) exchangePeriod() int {
	switch {
	case t.diverged:
		return t.cfg.ProbeTicks
	case t.unknownSeed() != "":
		return seedExchangePeriods * t.cfg.ProbeTicks
	default:
		return t.cfg.ExchangeTicks
	}
}

// unknownSeed returns the address of a seed at which no live process is known, or
// an empty string.
func (t *Table) unknownSeed() string {
	for _, seed := range t.cfg.Seeds {
		if seed != t.self.Udp && !t.liveAddresses[seed] {
			return seed
		}
	}
	return ""
}

// expireRecords marks long-suspected processes as dead and removes long-dead
// ones. It goes through them in probe order instead of map order, so that a step
// is deterministic.
func (t *Table) expireRecords() {
	var suspects, expired []string
	for _, name := range t.probeOrder {
		r := t.records[name]
		r.stateTicks++
		switch {
		case r.m.State == fleetpb.MemberState_MEMBER_STATE_SUSPECT && r.stateTicks >= t.cfg.SuspectTicks:
			suspects = append(suspects, name)
		case r.m.State == fleetpb.MemberState_MEMBER_STATE_DEAD && r.stateTicks >= t.cfg.DeadRetentionTicks:
			expired = append(expired, name)
		}
	}
	for _, name := range suspects {
		t.worsenState(name, fleetpb.MemberState_MEMBER_STATE_DEAD)
	}
	for _, name := range expired {
		t.remove(name)
	}
}

func (t *Table) remove(name string) {
	delete(t.records, name)
	for i, n := range t.probeOrder {
		if n == name {
			t.probeOrder = append(t.probeOrder[:i], t.probeOrder[i+1:]...)
			return
		}
	}
}

// startProbe pings the next process in probe order that is not dead.
func (t *Table) startProbe() {
	t.probe = probe{}
	for range t.probeOrder {
		t.probeIndex++
		r := t.records[t.probeOrder[t.probeIndex%len(t.probeOrder)]]
		if r.m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		t.seq++
		t.probe = probe{seq: t.seq, target: r.m.Name}
		t.send(r.m.Udp, t.piggyback(&fleetpb.Gossip{
			Kind:   fleetpb.GossipKind_GOSSIP_KIND_PING,
			Seq:    t.seq,
			Target: r.m.Name,
		}, r.m))
		return
	}
}

// startIndirectProbe asks a few processes to ping the target on behalf of this
// one.
func (t *Table) startIndirectProbe() {
	t.probe.indirect = true
	target := t.records[t.probe.target]
	if target == nil {
		return
	}
	for _, r := range t.sample(indirectProbes, t.probe.target) {
		t.send(r.m.Udp, &fleetpb.Gossip{
			Kind:      fleetpb.GossipKind_GOSSIP_KIND_PING_REQUEST,
			Seq:       t.probe.seq,
			Target:    t.probe.target,
			TargetUdp: target.m.Udp,
		})
	}
}

// finishProbe marks the target as suspect if it was not heard from.
func (t *Table) finishProbe() {
	if t.probe.target != "" && !t.probe.answered {
		t.worsenState(t.probe.target, fleetpb.MemberState_MEMBER_STATE_SUSPECT)
	}
}

// sample returns up to n processes that are not dead, except the named one. They
// are consecutive in probe order from a random position.
func (t *Table) sample(n int, except string) []*record {
	var out []*record
	if len(t.probeOrder) == 0 {
		return nil
	}
	start := t.cfg.Random(len(t.probeOrder))
	for i := 0; i < len(t.probeOrder) && len(out) < n; i++ {
		r := t.records[t.probeOrder[(start+i)%len(t.probeOrder)]]
		if r.m.Name != except && r.m.State != fleetpb.MemberState_MEMBER_STATE_DEAD {
			out = append(out, r)
		}
	}
	return out
}

// piggyback adds membership records to a datagram up to maxRecordBytes: first
// those passed in, then recent changes, those sent least often first.
func (t *Table) piggyback(g *fleetpb.Gossip, first ...*fleetpb.Member) *fleetpb.Gossip {
	size := 0
	add := func(m *fleetpb.Member) bool {
		n := proto.Size(m) + 3 // field tag and length prefix
		if size+n > maxRecordBytes {
			return false
		}
		size += n
		g.Members = append(g.Members, m)
		return true
	}
	for _, m := range first {
		add(m)
	}
	if t.selfTransmits > 0 && add(t.self) {
		t.selfTransmits--
	}
	sort.SliceStable(t.changes, func(i, j int) bool { return t.changes[i].transmits > t.changes[j].transmits })
	for _, r := range t.changes {
		if !add(r.m) {
			break
		}
		r.transmits--
	}
	t.changes = slices.DeleteFunc(t.changes, func(r *record) bool { return r.transmits == 0 || t.records[r.m.Name] != r })
	return g
}

// receive merges the records of a datagram and handles its message.
func (t *Table) receive(g *fleetpb.Gossip) {
	t.document = max(t.document, g.Document)
	for _, m := range g.Members {
		t.merge(m)
	}
	switch g.Kind {
	case fleetpb.GossipKind_GOSSIP_KIND_PING:
		t.ack(g)
	case fleetpb.GossipKind_GOSSIP_KIND_ACK:
		t.handleAck(g)
	case fleetpb.GossipKind_GOSSIP_KIND_PING_REQUEST:
		t.send(g.TargetUdp, t.piggyback(&fleetpb.Gossip{
			Kind:     fleetpb.GossipKind_GOSSIP_KIND_PING,
			Seq:      g.Seq,
			Target:   g.Target,
			RelayFor: g.From,
			RelayUdp: g.Udp,
		}))
	case fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE:
		t.replyExchange(g)
	case fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY:
		t.finishExchange(g)
	default:
		panic(fmt.Sprintf("member: unhandled gossip %v", g.Kind))
	}
}

// ack answers a ping that is addressed to this process, or to whichever process
// has its address.
func (t *Table) ack(g *fleetpb.Gossip) {
	if g.Target != "" && g.Target != t.self.Name {
		return
	}
	t.send(g.Udp, t.piggyback(&fleetpb.Gossip{
		Kind:     fleetpb.GossipKind_GOSSIP_KIND_ACK,
		Seq:      g.Seq,
		Target:   t.self.Name,
		RelayFor: g.RelayFor,
		RelayUdp: g.RelayUdp,
	}, t.self))
}

// handleAck takes an ack for this process's own probe, or relays one to the
// process that asked for an indirect probe. The ack returns through the relay
// because the direct path may be the broken one.
func (t *Table) handleAck(g *fleetpb.Gossip) {
	if g.RelayFor != "" && g.RelayFor != t.self.Name {
		t.send(g.RelayUdp, &fleetpb.Gossip{Kind: g.Kind, Seq: g.Seq, Target: g.Target})
		return
	}
	if g.Seq == t.probe.seq && g.Target == t.probe.target {
		t.probe.answered = true
	}
}

// startExchange sends this table's digests to an unknown seed, or else to a
// random process.
func (t *Table) startExchange() {
	t.exchangeTicks = 0
	g := &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE, Digests: t.digests(), Members: []*fleetpb.Member{t.self}}
	if seed := t.unknownSeed(); seed != "" {
		t.send(seed, g)
		return
	}
	for _, peer := range t.sample(1, "") {
		t.send(peer.m.Udp, g)
	}
}

// replyExchange sends the records of the buckets that differ, then this table's
// digests, so that the other process can send its records in turn.
func (t *Table) replyExchange(g *fleetpb.Gossip) {
	own := t.digests()
	t.sendDifferingBuckets(g.Udp, own, g.Digests)
	t.send(g.Udp, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY, Digests: own})
}

// finishExchange sends this table's records of the buckets that differ from the
// digests in the reply, and notes whether any did.
func (t *Table) finishExchange(g *fleetpb.Gossip) {
	if len(g.Digests) == 0 {
		return
	}
	t.diverged = t.sendDifferingBuckets(g.Udp, t.digests(), g.Digests)
	t.synced = t.synced || !t.diverged
}

// sendDifferingBuckets sends the records of the buckets whose digests differ, in at
// most maxExchangeDatagrams datagrams, and reports whether any bucket differed.
// It starts at a random record, so that repeated exchanges reach all of them.
func (t *Table) sendDifferingBuckets(address string, own, peerDigests []uint64) bool {
	differs := make(map[int]bool)
	for i := range own {
		if i >= len(peerDigests) || own[i] != peerDigests[i] {
			differs[i] = true
		}
	}
	if len(differs) == 0 {
		return false
	}
	var batch []*fleetpb.Member
	size, datagrams := 0, 0
	flush := func() {
		if len(batch) > 0 {
			t.send(address, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY, Members: batch})
			datagrams++
		}
		batch, size = nil, 0
	}
	all := t.Members()
	start := t.cfg.Random(len(all))
	for i := range all {
		m := all[(start+i)%len(all)]
		if !differs[digestBucket(m.Name)] {
			continue
		}
		n := proto.Size(m) + 3 // field tag and length prefix
		if size+n > maxRecordBytes {
			flush()
		}
		if datagrams >= maxExchangeDatagrams {
			return true
		}
		batch = append(batch, m)
		size += n
	}
	flush()
	return true
}
