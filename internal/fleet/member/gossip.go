package member

import (
	"fmt"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

func (t *Table) tick() {
	t.ticks++
	t.age()
	t.probe.ticks++
	if t.probe.target != "" && !t.probe.answered && !t.probe.indirect && t.probe.ticks >= t.cfg.AckTicks {
		t.askOthers()
	}
	if t.ticks%t.cfg.ProbeTicks == 0 {
		t.endProbe()
		t.startProbe()
	}
	t.exchange++
	if t.exchange >= t.exchangePeriod() {
		t.startExchange()
	}
}

// exchangePeriod is short while the tables differ, and while a seed is not
// known, which may belong to a part of the fleet that knows nothing of this
// one.
func (t *Table) exchangePeriod() int {
	switch {
	case t.differing:
		return t.cfg.ProbeTicks
	case t.unknownSeed() != "":
		return lonelyPeriods * t.cfg.ProbeTicks
	default:
		return t.cfg.ExchangeTicks
	}
}

// unknownSeed returns the address of a seed that no living process has.
func (t *Table) unknownSeed() string {
	for _, seed := range t.cfg.Seeds {
		if seed != t.self.Udp && !t.aliveAt[seed] {
			return seed
		}
	}
	return ""
}

// age ends suspicions and forgets the dead, in the order of probing, so that a
// step depends only on its inputs.
func (t *Table) age() {
	var suspects, gone []string
	for _, name := range t.order {
		r := t.records[name]
		r.age++
		switch {
		case r.m.State == fleetpb.MemberState_MEMBER_STATE_SUSPECT && r.age >= t.cfg.SuspectTicks:
			suspects = append(suspects, name)
		case r.m.State == fleetpb.MemberState_MEMBER_STATE_DEAD && r.age >= t.cfg.ForgetTicks:
			gone = append(gone, name)
		}
	}
	for _, name := range suspects {
		t.setState(name, fleetpb.MemberState_MEMBER_STATE_DEAD)
	}
	for _, name := range gone {
		t.forget(name)
	}
}

func (t *Table) forget(name string) {
	delete(t.records, name)
	for i, n := range t.order {
		if n == name {
			t.order = append(t.order[:i], t.order[i+1:]...)
			return
		}
	}
}

func (t *Table) startProbe() {
	t.probe = probe{}
	for range t.order {
		t.turn++
		r := t.records[t.order[t.turn%len(t.order)]]
		if r.m.State == fleetpb.MemberState_MEMBER_STATE_DEAD {
			continue
		}
		t.seq++
		t.probe = probe{seq: t.seq, target: r.m.Name}
		t.send(r.m.Udp, t.withNews(&fleetpb.Gossip{
			Kind:   fleetpb.GossipKind_GOSSIP_KIND_PING,
			Seq:    t.seq,
			Target: r.m.Name,
		}, r.m))
		return
	}
}

func (t *Table) askOthers() {
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

func (t *Table) endProbe() {
	if t.probe.target != "" && !t.probe.answered {
		t.setState(t.probe.target, fleetpb.MemberState_MEMBER_STATE_SUSPECT)
	}
}

// sample returns up to n living processes other than the named one.
func (t *Table) sample(n int, except string) []*record {
	var out []*record
	if len(t.order) == 0 {
		return nil
	}
	start := t.cfg.Random(len(t.order))
	for i := 0; i < len(t.order) && len(out) < n; i++ {
		r := t.records[t.order[(start+i)%len(t.order)]]
		if r.m.Name != except && r.m.State != fleetpb.MemberState_MEMBER_STATE_DEAD {
			out = append(out, r)
		}
	}
	return out
}

// withNews adds the least spread changes that fit into a datagram, and always
// the records in also.
func (t *Table) withNews(g *fleetpb.Gossip, also ...*fleetpb.Member) *fleetpb.Gossip {
	size := 0
	add := func(m *fleetpb.Member) bool {
		n := proto.Size(m) + 3
		if size+n > maxDatagramBytes {
			return false
		}
		size += n
		g.Members = append(g.Members, m)
		return true
	}
	for _, m := range also {
		add(m)
	}
	if t.selfLeft > 0 && add(t.self) {
		t.selfLeft--
	}
	sort.SliceStable(t.fresh, func(i, j int) bool { return t.fresh[i].left > t.fresh[j].left })
	for _, r := range t.fresh {
		if !add(r.m) {
			break
		}
		r.left--
	}
	t.fresh = slices.DeleteFunc(t.fresh, func(r *record) bool { return r.left == 0 || t.records[r.m.Name] != r })
	return g
}

func (t *Table) receive(g *fleetpb.Gossip) {
	t.document = max(t.document, g.Document)
	for _, m := range g.Members {
		t.merge(m)
	}
	switch g.Kind {
	case fleetpb.GossipKind_GOSSIP_KIND_PING:
		t.answer(g)
	case fleetpb.GossipKind_GOSSIP_KIND_ACK:
		t.acked(g)
	case fleetpb.GossipKind_GOSSIP_KIND_PING_REQUEST:
		t.send(g.TargetUdp, t.withNews(&fleetpb.Gossip{
			Kind:     fleetpb.GossipKind_GOSSIP_KIND_PING,
			Seq:      g.Seq,
			Target:   g.Target,
			RelayFor: g.From,
			RelayUdp: g.Udp,
		}))
	case fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE:
		t.answerExchange(g)
	case fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY:
		t.endExchange(g)
	default:
		panic(fmt.Sprintf("member: unhandled gossip %v", g.Kind))
	}
}

func (t *Table) answer(g *fleetpb.Gossip) {
	if g.Target != "" && g.Target != t.self.Name {
		return
	}
	t.send(g.Udp, t.withNews(&fleetpb.Gossip{
		Kind:     fleetpb.GossipKind_GOSSIP_KIND_ACK,
		Seq:      g.Seq,
		Target:   t.self.Name,
		RelayFor: g.RelayFor,
		RelayUdp: g.RelayUdp,
	}, t.self))
}

// acked takes an answer to the own probe, or passes one on to the process that
// asked for it. The answer goes back the way the probe came, as the direct way
// may be what is broken.
func (t *Table) acked(g *fleetpb.Gossip) {
	if g.RelayFor != "" && g.RelayFor != t.self.Name {
		t.send(g.RelayUdp, &fleetpb.Gossip{Kind: g.Kind, Seq: g.Seq, Target: g.Target})
		return
	}
	if g.Seq == t.probe.seq && g.Target == t.probe.target {
		t.probe.answered = true
	}
}

func (t *Table) startExchange() {
	t.exchange = 0
	g := &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE, Digests: t.digests(), Members: []*fleetpb.Member{t.self}}
	if seed := t.unknownSeed(); seed != "" {
		t.send(seed, g)
		return
	}
	for _, peer := range t.sample(1, "") {
		t.send(peer.m.Udp, g)
	}
}

// answerExchange sends the records of the buckets that differ, then the own
// digest, so that the asker can send its records in turn.
func (t *Table) answerExchange(g *fleetpb.Gossip) {
	own := t.digests()
	t.sendDiffering(g.Udp, own, g.Digests)
	t.send(g.Udp, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY, Digests: own})
}

func (t *Table) endExchange(g *fleetpb.Gossip) {
	if len(g.Digests) == 0 {
		return
	}
	t.differing = t.sendDiffering(g.Udp, t.digests(), g.Digests)
	t.synced = t.synced || !t.differing
}

// sendDiffering sends the records of differing buckets, a bounded number of
// datagrams, and reports whether any bucket differed.
func (t *Table) sendDiffering(address string, own, theirs []uint64) bool {
	differs := make(map[int]bool)
	for i := range own {
		if i >= len(theirs) || own[i] != theirs[i] {
			differs[i] = true
		}
	}
	if len(differs) == 0 {
		return false
	}
	var page []*fleetpb.Member
	size, pages := 0, 0
	flush := func() {
		if len(page) > 0 {
			t.send(address, &fleetpb.Gossip{Kind: fleetpb.GossipKind_GOSSIP_KIND_EXCHANGE_REPLY, Members: page})
			pages++
		}
		page, size = nil, 0
	}
	all := t.Members()
	start := t.cfg.Random(len(all))
	for i := range all {
		m := all[(start+i)%len(all)]
		if !differs[bucketOf(m.Name)] {
			continue
		}
		n := proto.Size(m) + 3
		if size+n > maxDatagramBytes {
			flush()
		}
		if pages >= maxExchangeDatagrams {
			return true
		}
		page = append(page, m)
		size += n
	}
	flush()
	return true
}
