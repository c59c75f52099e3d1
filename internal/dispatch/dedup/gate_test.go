package dedup

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/test/seed"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain fixes the seed.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// agentSim is an agent with its gate and the attempts it has started.
type agentSim struct {
	name        string
	incarnation uint64
	gate        *Gate
	// queue and running are the attempts that wait and that have started.
	queue   []ID
	running []ID
}

// sent is a call on its way to an agent, which may arrive late or twice.
type sent struct {
	agent string
	claim Claim
}

// world holds a ledger, agents and calls in flight, and the oracle: how often
// each key's paid action ran.
type world struct {
	t      *rapid.T
	nowMs  int64
	index  uint64
	ledger *ledger.Ledger
	agents []*agentSim
	flight []sent
	paid   map[string]int
	nextIn uint64
	// late are outcomes that were found and reach the ledger later.
	late []*statepb.Resolve
	// final is what callers may have been told of a key.
	final map[string]statepb.Outcome
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, nowMs: 1_000_000, ledger: ledger.New(), paid: make(map[string]int), final: make(map[string]statepb.Outcome)}
	for i := range 3 {
		a := &agentSim{name: fmt.Sprintf("a%d", i)}
		w.agents = append(w.agents, a)
		w.restart(a)
	}
	return w
}

func (w *world) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) restart(a *agentSim) {
	w.nextIn++
	a.incarnation = w.nextIn
	a.gate = New(Config{Incarnation: a.incarnation, Capacity: 4})
	a.queue, a.running = nil, nil
}

func (w *world) key() string {
	return fmt.Sprintf("%d-k", w.nowMs/10_000*10_000+int64(w.draw(3, "key")))
}

func (w *world) target() *statepb.Target {
	a := w.agents[w.draw(len(w.agents), "agent")]
	return &statepb.Target{Agent: a.name, Incarnation: a.incarnation}
}

func (w *world) send(c *statepb.ClaimState) {
	w.flight = append(w.flight, sent{agent: c.Target.Agent, claim: claimOf(c)})
}

func claimOf(c *statepb.ClaimState) Claim {
	return Claim{ID: ID{c.Account, c.Key, c.Target.Attempt}, Incarnation: c.Target.Incarnation, Index: c.Index}
}

func (w *world) find(name string) *agentSim {
	for _, a := range w.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

// arrive delivers a call. keep leaves a copy on its way.
func (w *world) arrive(i int, keep bool) {
	s := w.flight[i]
	if !keep {
		w.flight = append(w.flight[:i], w.flight[i+1:]...)
	}
	a := w.find(s.agent)
	err := a.gate.Admit(s.claim)
	var repeat *RepeatError
	var other *IncarnationError
	switch {
	case err == nil:
		a.queue = append(a.queue, s.claim.ID)
	case !errors.As(err, &repeat) && !errors.As(err, &other):
		w.t.Fatalf("unexpected refusal %v", err)
	}
}

// begin starts the next waiting attempt, which pays at once.
func (w *world) begin(a *agentSim) {
	if len(a.queue) == 0 {
		return
	}
	id := a.queue[0]
	a.queue = a.queue[1:]
	if a.gate.Start(id) {
		a.running = append(a.running, id)
		w.paid[id.Account+"/"+id.Key]++
	}
}

func (w *world) end(a *agentSim) {
	if len(a.running) > 0 {
		a.gate.Finish(a.running[0], statepb.Outcome_OUTCOME_DONE, []byte("paid"))
		a.running = a.running[1:]
	}
}

// settle does what an entry or the sweep does with an unfinished claim.
func (w *world) settle(c *statepb.ClaimState) {
	a := w.find(c.Target.Agent)
	outcome := statepb.Outcome_OUTCOME_UNKNOWN
	var result []byte
	if a.incarnation == c.Target.Incarnation {
		got := a.gate.Ask(claimOf(c))
		switch got.State {
		case Barred:
			outcome = statepb.Outcome_OUTCOME_NOT_RUN
			if w.draw(2, "rebind") == 0 {
				w.rebind(c)
			}
		case Running:
			return
		default:
			outcome, result = got.Outcome, got.Result
		}
	}
	found := &statepb.Resolve{Account: c.Account, Key: c.Key, Attempt: c.Target.Attempt, Outcome: outcome, Result: result}
	w.late = append(w.late, found)
	if w.draw(2, "now") == 0 {
		w.ledger.Resolve(found)
	}
}

func (w *world) rebind(c *statepb.ClaimState) {
	w.index++
	r := w.ledger.Rebind(w.index, &statepb.Rebind{Account: c.Account, Key: c.Key, FromAttempt: c.Target.Attempt, Target: w.target()})
	if r.Kind == statepb.ResultKind_RESULT_KIND_OK {
		w.send(r.Claim)
	}
}

func (w *world) check() {
	for key, n := range w.paid {
		if n > 1 {
			w.t.Fatalf("%s was paid %d times", key, n)
		}
	}
	for _, c := range w.ledger.All() {
		n := w.paid[c.Account+"/"+c.Key]
		if told := w.final[c.Key]; told != 0 && told != c.Outcome {
			w.t.Fatalf("%s was %v and is %v", c.Key, told, c.Outcome)
		}
		switch c.Outcome {
		case statepb.Outcome_OUTCOME_UNKNOWN:
			w.final[c.Key] = c.Outcome
		case statepb.Outcome_OUTCOME_DONE:
			if n != 1 {
				w.t.Fatalf("%s is done and was paid %d times", c.Key, n)
			}
			w.final[c.Key] = c.Outcome
		case statepb.Outcome_OUTCOME_NOT_RUN:
			if n != 0 {
				w.t.Fatalf("%s is not run and was paid %d times", c.Key, n)
			}
		}
	}
}

func (w *world) act() {
	a := w.agents[w.draw(len(w.agents), "agent")]
	switch w.draw(10, "act") {
	case 0, 1:
		w.index++
		r := w.ledger.Claim(w.index, w.nowMs, &statepb.Claim{Account: "x", Key: w.key(), Target: w.target()})
		if r.Kind == statepb.ResultKind_RESULT_KIND_OK && w.draw(8, "dies") > 0 {
			w.send(r.Claim)
		}
	case 2, 3:
		if len(w.flight) > 0 {
			w.arrive(w.draw(len(w.flight), "which"), w.draw(4, "twice") == 0)
		}
	case 4:
		w.begin(a)
	case 5:
		w.end(a)
	case 6:
		all := w.ledger.All()
		if len(all) > 0 {
			if c := all[w.draw(len(all), "claim")]; c.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
				w.settle(c)
			}
		}
	case 7:
		if w.draw(3, "restart") == 0 {
			w.restart(a)
		}
	case 9:
		if len(w.late) > 0 {
			w.ledger.Resolve(w.late[w.draw(len(w.late), "late")])
		}
	case 8:
		w.nowMs += int64(w.draw(2, "jump")) * ledger.Retention.Milliseconds() / 2
		w.ledger.Retire(w.nowMs)
	}
}

// However calls are lost, doubled and delayed, and agents restarted, a key is
// paid at most once, and what the ledger says of it is true.
func TestKeyIsPaidAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			w.act()
			w.check()
		}
	})
}

func TestForgottenAttemptIsNotStartedAgain(t *testing.T) {
	g := New(Config{Incarnation: 1, Capacity: 2})
	for i := range uint64(5) {
		c := Claim{ID: ID{"x", fmt.Sprint(i), 1}, Incarnation: 1, Index: i + 1}
		if err := g.Admit(c); err != nil {
			t.Fatal(err)
		}
		g.Start(c.ID)
		g.Finish(c.ID, statepb.Outcome_OUTCOME_DONE, nil)
	}
	old := Claim{ID: ID{"x", "0", 1}, Incarnation: 1, Index: 1}
	if err := g.Admit(old); err == nil {
		t.Error("an attempt that was dropped from memory was admitted again")
	}
	if got, want := g.Ask(old).State, Forgotten; got != want {
		t.Errorf("state %v, want %v", got, want)
	}
}

// The first outcome of an attempt stands, whatever is found later.
func TestFirstOutcomeStands(t *testing.T) {
	l := ledger.New()
	claim := l.Claim(1, 5000, &statepb.Claim{Account: "x", Key: "5000-k", Target: &statepb.Target{Agent: "a", Incarnation: 1}}).Claim
	for _, o := range []statepb.Outcome{statepb.Outcome_OUTCOME_DONE, statepb.Outcome_OUTCOME_UNKNOWN, statepb.Outcome_OUTCOME_NOT_RUN} {
		r := l.Resolve(&statepb.Resolve{Account: "x", Key: "5000-k", Attempt: claim.Target.Attempt, Outcome: o})
		if got, want := r.Claim.Outcome, statepb.Outcome_OUTCOME_DONE; got != want {
			t.Errorf("outcome %v after %v was found, want %v", got, o, want)
		}
	}
}
