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

// fakeLedger applies commands to a single, unreplicated state machine. failures
// maps the type of a command to the failure of its first proposal.
type fakeLedger struct {
	mu       sync.Mutex
	machine  *fsm.Machine
	index    uint64
	failures map[string]string
}

func newFakeLedger(t *testing.T) *fakeLedger {
	t.Helper()
	m, err := fsm.New("")
	if err != nil {
		t.Fatal(err)
	}
	return &fakeLedger{machine: m, index: 1, failures: make(map[string]string)}
}

func (l *fakeLedger) Propose(_ context.Context, c *statepb.Command) (*statepb.Result, error) {
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

func (l *fakeLedger) Read(_ context.Context, r *fleetpb.Read) (*fleetpb.ReadReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &fleetpb.ReadReply{Claim: l.machine.Claim(r.ClaimAccount, r.ClaimKey)}, nil
}

// fakeAgent is an agent with a real dedup.Tracker. failurePoint says at which step
// it loses or refuses a call; executions counts by key how often the side effect
// was performed.
type fakeAgent struct {
	mu           sync.Mutex
	name         string
	server       *link.Server
	tracker      *dedup.Tracker
	incarnation  uint64
	failurePoint string
	executions   map[string]int
}

func newFakeAgent(t *testing.T, name, failurePoint string) *fakeAgent {
	t.Helper()
	a := &fakeAgent{name: name, incarnation: 7, failurePoint: failurePoint, executions: make(map[string]int), tracker: dedup.New(dedup.Config{Incarnation: 7})}
	s, err := link.Listen(link.ServerConfig{Address: "127.0.0.1:0", Local: link.Local{Name: name}, Auth: link.Auth{Key: testKey}, Handle: a.serve})
	if err != nil {
		t.Fatal(err)
	}
	a.server = s
	t.Cleanup(func() { _ = s.Close() })
	return a
}

var testKey = []byte("a fleet key for the tests")

func (a *fakeAgent) serve(_ context.Context, st *link.Stream, first *fleetpb.Envelope) {
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

func (a *fakeAgent) answer(q *fleetpb.Query) *fleetpb.QueryReply {
	if q.Incarnation != a.incarnation {
		return &fleetpb.QueryReply{Incarnation: a.incarnation}
	}
	got := a.tracker.Query(dedup.Claim{ID: dedup.ID{Account: q.Account, Key: q.Key, Attempt: q.Attempt}, Incarnation: q.Incarnation, Index: q.ClaimIndex})
	return &fleetpb.QueryReply{
		Incarnation: a.incarnation, Barred: got.State == dedup.Barred, Running: got.State == dedup.Running,
		Outcome: got.Outcome, Result: got.Result,
	}
}

// run handles a call up to the agent's failure point.
func (a *fakeAgent) run(st *link.Stream, call *fleetpb.Call) {
	id := dedup.ID{Account: call.Account, Key: call.Key, Attempt: call.Id.Attempt}
	end := &fleetpb.CallEnd{Id: call.Id, Digest: call.Digest, Outcome: statepb.Outcome_OUTCOME_DONE, ServiceUs: 1}
	if a.failurePoint == "lost before admission" {
		return
	}
	if err := a.tracker.Admit(dedup.Claim{ID: id, Incarnation: call.Incarnation, Index: call.ClaimIndex}); err != nil || a.failurePoint == "refuses" {
		a.tracker.Bar(id)
		end.Outcome = 0
		end.Failure = &fleetpb.Failure{Kind: "leaving", Ran: "no"}
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: end}})
		return
	}
	if a.failurePoint == "lost in the queue" {
		return
	}
	a.tracker.Start(id)
	a.executions[call.Key]++
	if a.failurePoint == "restarts after the side effect" {
		a.incarnation++
		a.tracker = dedup.New(dedup.Config{Incarnation: a.incarnation})
		return
	}
	output := []byte("van 7")
	if a.failurePoint == "large result" {
		output = make([]byte, ledger.MaxResultBytes+7)
	}
	a.tracker.Finish(id, statepb.Outcome_OUTCOME_DONE, output)
	if a.failurePoint == "answer lost" {
		return
	}
	end.Chunks = 2
	first := &fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Id: call.Id, Data: output[:2]}}}
	second := &fleetpb.Envelope{Body: &fleetpb.Envelope_Chunk{Chunk: &fleetpb.Chunk{Id: call.Id, Seq: 1, Data: output[2:]}}}
	last := &fleetpb.Envelope{Body: &fleetpb.Envelope_CallEnd{CallEnd: end}}
	switch a.failurePoint {
	case "first chunk lost":
		_ = st.Send(second, last)
	case "last chunk lost":
		_ = st.Send(first, last)
	case "chunk twice":
		_ = st.Send(first, second, second, last)
	case "chunks in another order":
		_ = st.Send(second, first, last)
	case "reply to another input":
		end.Digest = []byte("other")
		first.GetChunk().Data = []byte("tram")
		_ = st.Send(first, second, last)
	default:
		_ = st.Send(first, second, last)
	}
}

// harness is a set of fake agents with a fake ledger, a routing table and a
// connection pool for the runners under test.
type harness struct {
	ledger *fakeLedger
	agents []*fakeAgent
	table  *route.Table
	pool   *link.Pool
}

func newHarness(t *testing.T, failurePoints ...string) *harness {
	t.Helper()
	h := &harness{ledger: newFakeLedger(t), table: route.NewTable(route.Config{Entry: "e", Random: func(int) int { return 0 }})}
	var members []*fleetpb.Member
	for i, failurePoint := range failurePoints {
		a := newFakeAgent(t, fmt.Sprintf("a%d", i), failurePoint)
		h.agents = append(h.agents, a)
		members = append(members, &fleetpb.Member{
			Name: a.name, Role: "agent", Kind: "booking", Slots: 1, Link: a.server.Address(),
			Incarnation: 7, State: fleetpb.MemberState_MEMBER_STATE_ALIVE,
		})
	}
	h.table.Update(members)
	h.pool = link.NewPool(link.PoolConfig{Local: link.Local{Name: "e"}, Auth: link.Auth{Key: testKey}})
	t.Cleanup(func() { _ = h.pool.Close() })
	return h
}

func (h *harness) runner(owner string, alive bool) *Runner {
	return NewRunner(Config{
		Owner: owner, Table: h.table, Pool: h.pool, Ledger: h.ledger, Timeline: timeline.NewRecorder(timeline.Config{}),
		OwnerAlive:    func(string) bool { return alive },
		AwaitDocument: func(context.Context, uint64) bool { return true },
		FindAgent: func(name string) (AgentStatus, bool) {
			u, ok := h.table.Find(name)
			return AgentStatus{Link: u.Link, Incarnation: u.Incarnation}, ok
		},
	})
}

func (h *harness) executions(key string) int {
	n := 0
	for _, a := range h.agents {
		a.mu.Lock()
		n += a.executions[key]
		a.mu.Unlock()
	}
	return n
}

func testCall(key string) Call {
	return Call{
		Account: "x", Key: key, Digest: []byte("d"), Pool: route.Pool{Kind: "booking"}, RequestID: "r-" + key,
		Deadline: time.Now().Add(time.Second), Routing: document.Routing{Policy: "expected", Candidates: 2, Subset: 8},
	}
}

// callerOutcome returns what a caller is told: "yes" for success, or the Ran and
// Kind of the refusal.
func callerOutcome(err error) string {
	var e *refuse.Error
	if errors.As(err, &e) {
		return string(e.Ran) + " " + string(e.Kind)
	}
	return "yes"
}

// Loses a message, an agent or the ledger at each step of an at-most-once call.
// Checks what the first caller is told, what another entry answers for the same
// key afterwards, and how often the side effect was performed.
func TestLossAtEveryStep(t *testing.T) {
	claim, resolve := "*statepb.Command_Claim", "*statepb.Command_Resolve"
	for _, c := range []struct {
		name       string
		agents     []string
		ledger     map[string]string
		first      string
		second     string
		executions int
	}{
		{name: "nothing is lost", agents: []string{""}, first: "yes", second: "yes", executions: 1},
		{name: "ledger unreachable before the claim", agents: []string{""}, ledger: map[string]string{claim: "unreachable"}, first: "unknown ledger_unavailable", second: "yes", executions: 1},
		{name: "claimed, answer lost", agents: []string{""}, ledger: map[string]string{claim: "answer lost"}, first: "unknown ledger_unavailable", second: "no upstream_failed", executions: 0},
		{name: "call lost before admission", agents: []string{"lost before admission"}, first: "no upstream_failed", second: "no upstream_failed", executions: 0},
		{name: "call lost in the queue", agents: []string{"lost in the queue"}, first: "no upstream_failed", second: "no upstream_failed", executions: 0},
		{name: "refused, another upstream runs it", agents: []string{"refuses", "refuses", ""}, first: "yes", second: "yes", executions: 1},
		{name: "all upstreams refuse", agents: []string{"refuses", "refuses"}, first: "no upstream_failed", second: "no upstream_failed", executions: 0},
		{name: "agent restarts after the side effect", agents: []string{"restarts after the side effect"}, first: "unknown unknown", second: "unknown unknown", executions: 1},
		{name: "agent's answer lost", agents: []string{"answer lost"}, first: "yes", second: "yes", executions: 1},
		{name: "ledger unreachable for the outcome", agents: []string{""}, ledger: map[string]string{resolve: "unreachable"}, first: "unknown pending", second: "yes", executions: 1},
		{name: "outcome recorded, answer lost", agents: []string{""}, ledger: map[string]string{resolve: "answer lost"}, first: "unknown pending", second: "yes", executions: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, c.agents...)
			for kind, failure := range c.ledger {
				h.ledger.failures[kind] = failure
			}
			key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
			_, err := h.runner("e1/1", false).Run(context.Background(), testCall(key))
			if got := callerOutcome(err); got != c.first {
				t.Errorf("first caller was told %q (%v), want %q", got, err, c.first)
			}
			call := testCall(key)
			call.RequestID = "another"
			_, err = h.runner("e2/1", false).Run(context.Background(), call)
			if got := callerOutcome(err); got != c.second {
				t.Errorf("second caller was told %q (%v), want %q", got, err, c.second)
			}
			if got := h.executions(key); got != c.executions {
				t.Errorf("side effect performed %d times, want %d", got, c.executions)
			}
		})
	}
}

// A result that is too large for the ledger still reaches the caller whose
// request ran the call; later callers are told that the call was done and its
// result not kept.
func TestOversizedResultReachesOriginalCaller(t *testing.T) {
	h := newHarness(t, "large result")
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	result, err := h.runner("e1/1", false).Run(context.Background(), testCall(key))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(result.Output), ledger.MaxResultBytes+7; got != want {
		t.Errorf("%d bytes, want %d", got, want)
	}
	call := testCall(key)
	call.RequestID = "another"
	_, err = h.runner("e2/1", false).Run(context.Background(), call)
	if got, want := callerOutcome(err), "yes too_large"; got != want {
		t.Errorf("second caller was told %q, want %q", got, want)
	}
}

// newerLedger is a ledger that checks claims against document 9.
type newerLedger struct{ *fakeLedger }

func (l newerLedger) Propose(ctx context.Context, c *statepb.Command) (*statepb.Result, error) {
	r, err := l.fakeLedger.Propose(ctx, c)
	if r != nil {
		r.Document = 9
	}
	return r, err
}

// The ledger may have admitted a call under a newer document than this process has,
// for instance one that releases the service again. Agents refuse a call under the
// older one, so it must not be sent before the newer one has arrived.
func TestCallWaitsForDocumentOfItsClaim(t *testing.T) {
	h := newHarness(t, "")
	r := h.runner("e1/1", true)
	r.cfg.Ledger = newerLedger{h.ledger}
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	polls := 0
	r.cfg.AwaitDocument = func(_ context.Context, index uint64) bool {
		if got, want := index, uint64(9); got != want {
			t.Errorf("waited for document %d, want %d", got, want)
		}
		if got := h.executions(key); polls < 2 && got != 0 {
			t.Errorf("the call ran before the document had arrived")
		}
		polls++
		return polls > 2
	}
	if _, err := r.Run(context.Background(), testCall(key)); err != nil {
		t.Fatal(err)
	}
	if got, want := h.executions(key), 1; polls < 3 || got != want {
		t.Errorf("side effect performed %d times after %d waits for the document, want %d after 3", got, polls, want)
	}
}

// resolvingLedger records an outcome of a claim just before it is rebound, as another
// process may.
type resolvingLedger struct{ *fakeLedger }

func (l resolvingLedger) Propose(ctx context.Context, c *statepb.Command) (*statepb.Result, error) {
	if b := c.GetRebind(); b != nil {
		_, err := l.fakeLedger.Propose(ctx, &statepb.Command{Body: &statepb.Command_Resolve{Resolve: &statepb.Resolve{
			Account: b.Account, Key: b.Key, Attempt: b.FromAttempt, Outcome: statepb.Outcome_OUTCOME_DONE, Result: []byte("van 9"),
		}}})
		if err != nil {
			return nil, err
		}
	}
	return l.fakeLedger.Propose(ctx, c)
}

// A claim that turns out to be resolved when it is to be rebound gives its recorded
// outcome, and the call is not sent again.
func TestRebindOfResolvedClaimReturnsItsOutcome(t *testing.T) {
	h := newHarness(t, "refuses", "refuses")
	r := h.runner("e1/1", true)
	r.cfg.Ledger = resolvingLedger{h.ledger}
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	result, err := r.Run(context.Background(), testCall(key))
	if got, want := callerOutcome(err), "yes"; got != want {
		t.Fatalf("told %q, want %q", got, want)
	}
	if got, want := string(result.Output), "van 9"; got != want {
		t.Errorf("output %q, want %q", got, want)
	}
	if got := h.executions(key); got != 0 {
		t.Errorf("side effect performed %d times here, want 0", got)
	}
}

// An entry is paused after its claim, and another entry resolves that claim as
// not run. When the paused entry resumes and dispatches the call, the agent must
// refuse it.
func TestResumedEntryCannotRunResolvedClaim(t *testing.T) {
	h := newHarness(t, "")
	key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
	paused := h.runner("e1/1", false)
	u, _ := h.table.Find("a0")
	r, err := h.ledger.Propose(context.Background(), &statepb.Command{Body: &statepb.Command_Claim{Claim: &statepb.Claim{
		Account: "x", Key: key, Digest: []byte("d"), Service: "booking", Request: "r", Owner: "e1/1", Target: targetFor(u),
	}}})
	if err != nil {
		t.Fatal(err)
	}
	resolved, err := h.runner("e2/1", false).Resolve(context.Background(), r.Claim)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := resolved.Outcome, statepb.Outcome_OUTCOME_NOT_RUN; got != want {
		t.Fatalf("resolved as %v, want %v", got, want)
	}
	_, err = paused.dispatch(context.Background(), testCall(key), r.Claim, u)
	if got, want := callerOutcome(err), "no upstream_failed"; got != want {
		t.Errorf("resumed entry tells %q, want %q", got, want)
	}
	if got := h.executions(key); got != 0 {
		t.Errorf("side effect performed %d times after the claim was resolved as not run, want 0", got)
	}
}

// A reply with chunks missing or repeated, or to a call with another input, is no reply: the
// outcome is that which the agent keeps, not what can be joined from the reply.
func TestBrokenReplyIsNoResult(t *testing.T) {
	for _, point := range []string{"first chunk lost", "last chunk lost", "chunk twice", "chunks in another order", "reply to another input"} {
		h := newHarness(t, point)
		key := fmt.Sprintf("%d-k", time.Now().UnixMilli())
		result, err := h.runner("e1/1", true).Run(context.Background(), testCall(key))
		if got, want := callerOutcome(err), "yes"; got != want {
			t.Errorf("%s: told %q, want %q", point, got, want)
		}
		if got, want := string(result.Output), "van 7"; got != want {
			t.Errorf("%s: output %q, want %q", point, got, want)
		}
		if got, want := h.executions(key), 1; got != want {
			t.Errorf("%s: side effect performed %d times, want %d", point, got, want)
		}
	}
}
