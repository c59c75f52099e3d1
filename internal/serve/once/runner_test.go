package once

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/dispatch/dedup"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/serve/route"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// ledgerFake is the machine without replicas. failures maps the kind of a
// command to what goes wrong with its first proposal.
type ledgerFake struct {
	mu       sync.Mutex
	machine  *fsm.Machine
	index    uint64
	failures map[string]string
}

func newLedger(t *testing.T) *ledgerFake {
	t.Helper()
	m, err := fsm.New("")
	if err != nil {
		t.Fatal(err)
	}
	return &ledgerFake{machine: m, index: 1, failures: make(map[string]string)}
}

func (l *ledgerFake) Propose(_ context.Context, c *statepb.Command) (*statepb.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kind := fmt.Sprintf("%T", c.Body)
	failure := l.failures[kind]
	delete(l.failures, kind)
	if failure == "unreachable" {
		return nil, errors.New("no quorum")
	}
	l.index++
	c.NowMs = time.Now().UnixMilli()
	r := l.machine.Apply(l.index, c)
	if failure == "answer lost" {
		return nil, errors.New("answer lost")
	}
	return r, nil
}

func (l *ledgerFake) Read(_ context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &fleetpb.ReadReply{Claim: l.machine.Claim(r.ClaimAccount, r.ClaimKey)}, nil
}

// agentFake is an agent with a real gate; step says where it fails a call.
type agentFake struct {
	mu          sync.Mutex
	name        string
	server      *link.Server
	gate        *dedup.Gate
	incarnation uint64
	step        string
	paid        map[string]int
}

func newAgent(t *testing.T, name, step string) *agentFake {
	t.Helper()
	a := &agentFake{name: name, incarnation: 7, step: step, paid: make(map[string]int), gate: dedup.New(dedup.Config{Incarnation: 7})}
	s, err := link.Listen(link.ServerConfig{Address: "127.0.0.1:0", Local: link.Local{Name: name}, Auth: link.Auth{Key: testKey}, Handle: a.serve})
	if err != nil {
		t.Fatal(err)
	}
	a.server = s
	t.Cleanup(func() { _ = s.Close() })
	return a
}

var testKey = []byte("a fleet key for the tests")

func (a *agentFake) serve(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := first.GetQuery(); q != nil {
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_QueryReply{QueryReply: a.answer(q)}})
		return
	}
	if call := first.GetCall(); call != nil {
		a.run(st, call)
	}
}

func (a *agentFake) answer(q *fleetpb.Query) *fleetpb.QueryReply {
	if q.Incarnation != a.incarnation {
		return &fleetpb.QueryReply{Incarnation: a.incarnation}
	}
	got := a.gate.Ask(dedup.Claim{ID: dedup.ID{Account: q.Account, Key: q.Key, Attempt: q.Attempt}, Incarnation: q.Incarnation, Index: q.ClaimIndex})
	return &fleetpb.QueryReply{
		Incarnation: a.incarnation, Barred: got.State == dedup.Barred, Running: got.State == dedup.Running,
		Outcome: got.Outcome, Result: got.Result,
	}
}

// run takes a call as far as the step at which the agent fails.
func (a *agentFake) run(st *link.Stream, call *fleetpb.Call) {
	id := dedup.ID{Account: call.Account, Key: call.Key, Attempt: call.Id.Attempt}
	end := &fleetpb.CallEnd{Id: call.Id, Digest: call.Digest, Outcome: statepb.Outcome_OUTCOME_DONE, ServiceUs: 1}
	if a.step == "lost before the gate" {
		return
	}
	if err := a.gate.Admit(dedup.Claim{ID: id, Incarnation: call.Incarnation, Index: call.ClaimIndex}); err != nil || a.step == "refuses" {
		a.gate.Bar(id)
		end.Outcome = 0
		end.Failure = &fleetpb.Failure{Kind: "leaving", Ran: "no"}
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: end}})
		return
	}
	if a.step == "lost in the queue" {
		return
	}
	a.gate.Start(id)
	a.paid[call.Key]++
	if a.step == "restarts after the paid action" {
		a.incarnation++
		a.gate = dedup.New(dedup.Config{Incarnation: a.incarnation})
		return
	}
	output := []byte("van 7")
	if a.step == "large result" {
		output = make([]byte, ledger.MaxResultBytes+7)
	}
	a.gate.Finish(id, statepb.Outcome_OUTCOME_DONE, output)
	if a.step == "answer lost" {
		return
	}
	_ = st.Send(
		&fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Id: call.Id, Data: output}}},
		&fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: end}},
	)
}

// bed is a runner over fake agents and a fake ledger.
type bed struct {
	ledger *ledgerFake
	agents []*agentFake
	table  *route.Table
	pool   *link.Pool
}

func newBed(t *testing.T, steps ...string) *bed {
	t.Helper()
	b := &bed{ledger: newLedger(t), table: route.NewTable(route.Config{Entry: "e", Random: func(int) int { return 0 }})}
	var members []*fleetpb.Member
	for i, step := range steps {
		a := newAgent(t, fmt.Sprintf("a%d", i), step)
		b.agents = append(b.agents, a)
		members = append(members, &fleetpb.Member{
			Name: a.name, Role: "agent", Kind: "booking", Slots: 1, Link: a.server.Address(),
			Incarnation: 7, State: fleetpb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	b.table.Update(members)
	b.pool = link.NewPool(link.PoolConfig{Local: link.Local{Name: "e"}, Auth: link.Auth{Key: testKey}})
	t.Cleanup(func() { _ = b.pool.Close() })
	return b
}

func (b *bed) runner(owner string, alive bool) *Runner {
	return NewRunner(Config{
		Owner: owner, Table: b.table, Pool: b.pool, Ledger: b.ledger, Timeline: timeline.NewRecorder(timeline.Config{}),
		Alive: func(string) bool { return alive },
		Await: func(context.Context, uint64) bool { return true },
		Find: func(name string) (Place, bool) {
			u, ok := b.table.Find(name)
			return Place{Link: u.Link, Incarnation: u.Incarnation}, ok
		},
	})
}

func (b *bed) paid(key string) int {
	n := 0
	for _, a := range b.agents {
		a.mu.Lock()
		n += a.paid[key]
		a.mu.Unlock()
	}
	return n
}

func testCall(key string) Call {
	return Call{
		Account: "x", Key: key, Digest: []byte("d"), Group: route.Group{Kind: "booking"}, Request: "r-" + key,
		Deadline: time.Now().Add(time.Second), Routing: document.Routing{Policy: "expected", Candidates: 2, Subset: 8},
	}
}

// word is what a caller is told: yes for done, or the refusal's ran and kind.
func word(err error) string {
	var e *refuse.Error
	if errors.As(err, &e) {
		return string(e.Ran) + " " + string(e.Kind)
	}
	return "yes"
}

// Each step of a once-only call at which something is lost: what the caller is
// told first, what another entry tells it for the same key afterwards, and how
// often the action was paid.
func TestEveryStep(t *testing.T) {
	claim, resolve := "*statepb.Command_Claim", "*statepb.Command_Resolve"
	for _, c := range []struct {
		name   string
		agents []string
		ledger map[string]string
		first  string
		again  string
		paid   int
	}{
		{name: "nothing is lost", agents: []string{""}, first: "yes", again: "yes", paid: 1},
		{name: "ledger unreachable before the claim", agents: []string{""}, ledger: map[string]string{claim: "unreachable"}, first: "unknown ledger_unavailable", again: "yes", paid: 1},
		{name: "claimed, answer lost", agents: []string{""}, ledger: map[string]string{claim: "answer lost"}, first: "unknown ledger_unavailable", again: "no upstream_failed", paid: 0},
		{name: "call lost before the gate", agents: []string{"lost before the gate"}, first: "no upstream_failed", again: "no upstream_failed", paid: 0},
		{name: "call lost in the queue", agents: []string{"lost in the queue"}, first: "no upstream_failed", again: "no upstream_failed", paid: 0},
		{name: "refused, another takes it", agents: []string{"refuses", "refuses", ""}, first: "yes", again: "yes", paid: 1},
		{name: "all refuse", agents: []string{"refuses", "refuses"}, first: "no upstream_failed", again: "no upstream_failed", paid: 0},
		{name: "agent restarts after the paid action", agents: []string{"restarts after the paid action"}, first: "unknown unknown", again: "unknown unknown", paid: 1},
		{name: "answer of the agent lost", agents: []string{"answer lost"}, first: "yes", again: "yes", paid: 1},
		{name: "ledger unreachable for the outcome", agents: []string{""}, ledger: map[string]string{resolve: "unreachable"}, first: "unknown pending", again: "yes", paid: 1},
		{name: "outcome recorded, answer lost", agents: []string{""}, ledger: map[string]string{resolve: "answer lost"}, first: "unknown pending", again: "yes", paid: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, c.agents...)
			for kind, failure := range c.ledger {
				b.ledger.failures[kind] = failure
			}
			key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
			_, err := b.runner("e1/1", false).Run(context.Background(), testCall(key))
			if got := word(err); got != c.first {
				t.Errorf("first told %q (%v), want %q", got, err, c.first)
			}
			call := testCall(key)
			call.Request = "another"
			_, err = b.runner("e2/1", false).Run(context.Background(), call)
			if got := word(err); got != c.again {
				t.Errorf("again told %q (%v), want %q", got, err, c.again)
			}
			if got := b.paid(key); got != c.paid {
				t.Errorf("paid %d times, want %d", got, c.paid)
			}
		})
	}
}

// A result that is too large for the ledger reaches the caller whose call ran
// it; later ones are told that it was done and not kept.
func TestOversizedResultIsNotLostSilently(t *testing.T) {
	b := newBed(t, "large result")
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	result, err := b.runner("e1/1", false).Run(context.Background(), testCall(key))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(result.Output), ledger.MaxResultBytes+7; got != want {
		t.Errorf("%d bytes, want %d", got, want)
	}
	call := testCall(key)
	call.Request = "another"
	_, err = b.runner("e2/1", false).Run(context.Background(), call)
	if got, want := word(err), "yes too_large"; got != want {
		t.Errorf("again told %q, want %q", got, want)
	}
}

// A frozen entry that wakes after its claim was settled meets the bar.
func TestThawedEntryMeetsTheBar(t *testing.T) {
	b := newBed(t, "")
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	frozen := b.runner("e1/1", false)
	u, _ := b.table.Find("a0")
	r, err := b.ledger.Propose(context.Background(), &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "x", Key: key, Digest: []byte("d"), Service: "booking", Request: "r", Owner: "e1/1", Target: targetOf(u),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	settled, err := b.runner("e2/1", false).Settle(context.Background(), r.Claim)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := settled.Outcome, statepb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Fatalf("settled as %v, want %v", got, want)
	}
	_, err = frozen.dispatch(context.Background(), testCall(key), r.Claim, u)
	if got, want := word(err), "no upstream_failed"; got != want {
		t.Errorf("thawed entry tells %q, want %q", got, want)
	}
	if got := b.paid(key); got != 0 {
		t.Errorf("paid %d times after the bar, want 0", got)
	}
}
