package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/api/caller"
	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/member"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// ticksPerSecond is the number of membership ticks per second.
const ticksPerSecond = 10

// convergenceSeconds is the simulated time after which every member knows every
// other and no membership change is left to disseminate.
const convergenceSeconds = 120

func slopesCommand(app *kingpin.Application) command {
	clause := app.Command("slopes", "Measure the costs per member, call, chunk and claim from which docs/CAPACITY.md is calculated.")
	part := clause.Flag("part", "Run only this part.").Enum("", "gossip", "document", "route", "idle", "stream", "claims")
	return command{clause: clause, run: func() error { return runSlopes(*part) }}
}

func runSlopes(part string) error {
	parts := []struct {
		name string
		run  func() error
	}{
		{"gossip", measureGossip},
		{"document", measureDocument},
		{"route", measureRouting},
		{"idle", measureIdle},
		{"stream", measureStreaming},
		{"claims", measureClaimCost},
	}
	for _, p := range parts {
		if part != "" && part != p.name {
			continue
		}
		if err := p.run(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}

// gossipNet simulates the membership protocol of a fleet in memory, without sockets.
type gossipNet struct {
	tables map[string]*member.Table
	names  []string
	queue  []member.Send
	sent   int
	bytes  int
}

func newGossipNet(n int) *gossipNet {
	g := &gossipNet{tables: make(map[string]*member.Table)}
	for i := range n {
		g.start(fmt.Sprintf("agent-%05d", i), 1)
	}
	return g
}

// start adds a member or restarts one under a new incarnation.
func (g *gossipNet) start(name string, incarnation uint64) {
	self := &fleetpb.Member{
		Name: name, Udp: name, Role: "agent", Zone: "nl-noord-a", Link: "10.100.100.100:7100", Http: "10.100.100.100:8080",
		Incarnation: incarnation, Kind: "generate", Model: "winter-route", Slots: 8,
	}
	cfg := member.DefaultConfig(self, []string{"agent-00000", "agent-00001", "agent-00002"})
	if g.tables[name] == nil {
		g.names = append(g.names, name)
	}
	g.tables[name] = member.NewTable(cfg)
}

// step passes an input to a member and queues the datagrams that it sends.
func (g *gossipNet) step(name string, in member.Input) {
	t := g.tables[name]
	if t == nil {
		return
	}
	for _, e := range t.Step(in) {
		if s, ok := e.(member.Send); ok {
			g.sent++
			// A datagram has 16 bytes of MAC and 28 bytes of IP and UDP headers.
			g.bytes += proto.Size(s.Gossip) + 16 + 28
			g.queue = append(g.queue, s)
		}
	}
}

// run advances all members by a number of ticks and delivers their datagrams.
func (g *gossipNet) run(ticks int) {
	for range ticks {
		for _, name := range g.names {
			g.step(name, member.Tick{})
		}
		for len(g.queue) > 0 {
			s := g.queue[0]
			g.queue = g.queue[1:]
			g.step(s.Address, member.Receive{Gossip: s.Gossip})
		}
	}
}

// measureGossip measures the membership protocol at several fleet sizes: traffic
// and CPU time without changes, extra traffic per restart, and memory per record.
func measureGossip() error {
	for _, n := range []int{10, 50, 150, 450} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		g := newGossipNet(n)
		g.run(convergenceSeconds * ticksPerSecond)
		runtime.GC()
		runtime.ReadMemStats(&after)
		memory := float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / float64(n) / float64(n)
		const seconds = 30
		g.sent, g.bytes = 0, 0
		start := time.Now()
		g.run(seconds * ticksPerSecond)
		us := float64(time.Since(start).Microseconds()) / float64(n*seconds)
		idleSent, idleBytes := g.sent, g.bytes
		g.sent, g.bytes = 0, 0
		const restarts = 5
		for i := range restarts {
			g.start(g.names[rand.IntN(len(g.names))], uint64(i+2))
			g.run(seconds * ticksPerSecond)
		}
		extra := float64(g.bytes-restarts*idleBytes) / restarts / float64(n)
		fmt.Printf("gossip, %d members: %.2f datagrams and %.0f bytes a process and second at rest, %.0f us of processor; %.0f more bytes a process for each restart; %.0f bytes of memory a record\n",
			n, float64(idleSent)/float64(n*seconds), float64(idleBytes)/float64(n*seconds), us, extra, memory)
	}
	return nil
}

// bigDocument returns a document with n additional accounts.
func bigDocument(n int) string {
	text := documentText("")
	for i := range n {
		text += fmt.Sprintf("\n[accounts.client-%04d]\nkey_sha256 = %q\nrate = 500\nweight = 1\n", i, hashOf(fmt.Sprint(i)))
	}
	return text
}

// measureDocument measures the size of the replies that carry document changes, and
// the CPU time for parsing a document.
func measureDocument() error {
	for _, accounts := range []int{70, 140, 280} {
		text := bigDocument(accounts)
		store, err := document.NewStore(1, document.Split(text))
		if err != nil {
			return err
		}
		leased := &control.LeasedDocument{Index: 1, Sections: make(map[string]*statepb.Section), Schema: store.Schema(), ConfirmedAt: time.Now()}
		for _, s := range store.Document().Sections {
			leased.Sections[s.Name] = s
		}
		whole := proto.Size(control.NewReadReply(leased, 0, time.Now()))
		leased.Sections["routing"].Version = 9
		leased.Index = 9
		small := proto.Size(control.NewReadReply(leased, 8, time.Now()))
		leased.Sections["accounts"].Version = 10
		leased.Index = 10
		large := proto.Size(control.NewReadReply(leased, 9, time.Now()))
		idle := proto.Size(control.NewReadReply(leased, 10, time.Now()))
		const parses = 50
		start := time.Now()
		for range parses {
			if _, err := document.Parse(text); err != nil {
				return err
			}
		}
		fmt.Printf("document, %d accounts: whole %d bytes, an edit of routing %d bytes, of accounts %d bytes, nothing new %d bytes; %.0f us of processor to take a change\n",
			accounts, whole, small, large, idle, float64(time.Since(start).Microseconds())/parses)
	}
	return nil
}

// measureRouting measures the time to pick an upstream, the time to process a
// membership change, and the memory per upstream.
func measureRouting() error {
	for _, n := range []int{50, 500, 5000} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := route.NewTable(route.Config{Entry: "entry-1", Zone: "z1", Random: rand.IntN})
		var members []*fleetpb.Member
		for i := range n {
			members = append(members, &fleetpb.Member{
				Name: fmt.Sprintf("agent-%05d", i), Role: "agent", Zone: fmt.Sprintf("z%d", i%22), Link: fmt.Sprint(i),
				Kind: "generate", Model: fmt.Sprint(i % 11), Slots: 8, State: fleetpb.MemberState_MEMBER_STATE_ALIVE,
			})
		}
		start := time.Now()
		table.Update(members)
		update := time.Since(start)
		runtime.GC()
		runtime.ReadMemStats(&after)
		routing := document.Routing{Policy: "expected", Candidates: 2, Subset: 32}
		need := route.PickInfo{Pool: route.Pool{Kind: "generate", Model: "3"}, Size: 64}
		const picks = 100_000
		start = time.Now()
		for range picks {
			u, _ := table.Pick(time.Now(), need, routing)
			c := table.Begin(time.Now(), u, need)
			table.Done(time.Now(), c, route.DoneInfo{ServiceUs: 1000})
		}
		fmt.Printf("route, %d upstreams: %.2f us a call, %.0f us to take a change of membership, %.0f bytes an upstream\n",
			n, float64(time.Since(start).Microseconds())/picks, float64(update.Microseconds()), float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n))
		runtime.KeepAlive(table)
	}
	return nil
}

// idleSpec returns a fleet with n upstreams in two zones.
func idleSpec(n int) fleetSpec {
	spec := fleetSpec{controls: 3, entries: 2, zones: []string{"a", "b"}, document: documentText("")}
	for i := range n {
		spec.upstreams = append(spec.upstreams, upstreamSpec{
			name: fmt.Sprintf("encode-%d", i+1), zone: spec.zones[i%2], kind: "encode", slots: 8, baseUs: 1000,
		})
	}
	return spec
}

// measureIdle measures CPU time and memory of processes that serve no requests.
func measureIdle() error {
	for _, n := range []int{6, 24, 72} {
		err := withFleet(idleSpec(n), func(f *fleet) error {
			time.Sleep(15 * time.Second)
			const window = 10 * time.Second
			names := []string{"entry-1", "encode-1", "control-1", "control-2", "control-3"}
			before, err := f.usages(names)
			if err != nil {
				return err
			}
			time.Sleep(window)
			for _, name := range names {
				u, err := f.usageOf(name)
				if err != nil {
					return err
				}
				fmt.Printf("idle, %d upstreams: %s %.2f%% of a core, %.1f MiB resident\n",
					n, name, 100*(u.cpu-before[name].cpu).Seconds()/window.Seconds(), float64(u.rss)/(1<<20))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// streamSpec returns a fleet with one engine that takes 1 ms per token and streams
// one chunk per eight tokens.
func streamSpec() fleetSpec {
	return fleetSpec{
		controls: 3, entries: 1, zones: []string{"a"}, document: documentText(""),
		upstreams: []upstreamSpec{{name: "pattern-1", zone: "a", kind: "generate", model: "pattern", slots: 256, baseUs: 0, perUnitUs: 1000}},
	}
}

// measureStreaming measures the CPU time of agent and entry per streamed chunk.
func measureStreaming() error {
	return withFleet(streamSpec(), func(f *fleet) error {
		for _, streams := range []int{16, 64, 192} {
			if err := measureStreams(f, streams); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureStreams runs a number of concurrent streams and prints their cost.
func measureStreams(f *fleet, streams int) error {
	const tokens = 2000
	names := []string{"entry-1", "pattern-1"}
	before, err := f.usages(names)
	if err != nil {
		return err
	}
	chunks := make(chan int, streams)
	errs := make(chan error, streams)
	for i := range streams {
		go func() {
			r, err := call(context.Background(), request{
				entry: f.entry(0), account: "calados", pipeline: "check",
				body: caller.Body{Input: fmt.Sprint(i), Tokens: tokens, Stream: true},
			})
			if err == nil && !r.ok() {
				err = fmt.Errorf("refused: %+v", r.refusal)
			}
			chunks <- len(r.chunks)
			errs <- err
		}()
	}
	total := 0
	for range streams {
		total += <-chunks
		if err := <-errs; err != nil {
			return err
		}
	}
	for _, name := range names {
		u, err := f.usageOf(name)
		if err != nil {
			return err
		}
		fmt.Printf("stream, %d at once: %s %.1f us of processor a chunk, over %d chunks, %.1f MiB resident\n",
			streams, name, float64((u.cpu-before[name].cpu).Microseconds())/float64(total), total, float64(u.rss)/(1<<20))
	}
	return nil
}

// measureClaimCost measures the cost of a claim at three numbers of callers.
func measureClaimCost() error {
	return withFleet(matrixSpec(), func(f *fleet) error {
		for _, callers := range []int{32, 128, 512} {
			if _, err := measureClaims(f, callers, 3*time.Second); err != nil {
				return err
			}
		}
		return nil
	})
}
