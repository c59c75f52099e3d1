package gate

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// TestMain fixes the seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// agentSim is an agent with its gate and the attempts it has started.
type agentSim struct {
	name        string
	incarnation uint64
	gate        *Gate
	running     map[ID]bool
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
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, nowMs: 1_000_000, ledger: ledger.New(), paid: make(map[string]int)}
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
	a.running = make(map[ID]bool)
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
	if err != nil && !errors.As(err, &repeat) && !errors.As(err, &other) {
		w.t.Fatalf("unexpected refusal %v", err)
	}
}

// begin starts an admitted attempt, which pays at once.
func (w *world) begin(a *agentSim) {
	for id, e := range a.gate.attempts {
		if e.State == Admitted {
			if a.gate.Start(id) {
				a.running[id] = true
				w.paid[id.Account+"/"+id.Key]++
			}
			return
		}
	}
}

func (w *world) end(a *agentSim) {
	for id := range a.running {
		delete(a.running, id)
		a.gate.Finish(id, statepb.Outcome_OUTCOME_DONE, []byte("paid"))
		return
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
			if w.draw(2, "rebind") == 0 {
				w.index++
				r := w.ledger.Rebind(w.index, &statepb.Rebind{Account: c.Account, Key: c.Key, FromAttempt: c.Target.Attempt, Target: w.target()})
				if r.Kind == statepb.ResultKind_RESULT_KIND_OK {
					w.send(r.Claim)
				}
				return
			}
			outcome = statepb.Outcome_OUTCOME_NOT_RUN
		case Running:
			return
		default:
			outcome, result = got.Outcome, got.Result
		}
	}
	w.ledger.Resolve(&statepb.Resolve{Account: c.Account, Key: c.Key, Attempt: c.Target.Attempt, Outcome: outcome, Result: result})
}

func (w *world) check() {
	for key, n := range w.paid {
		if n > 1 {
			w.t.Fatalf("%s was paid %d times", key, n)
		}
	}
	for _, c := range w.ledger.All() {
		n := w.paid[c.Account+"/"+c.Key]
		switch c.Outcome {
		case statepb.Outcome_OUTCOME_DONE:
			if n != 1 {
				w.t.Fatalf("%s is done and was paid %d times", c.Key, n)
			}
		case statepb.Outcome_OUTCOME_NOT_RUN:
			if n != 0 {
				w.t.Fatalf("%s is not run and was paid %d times", c.Key, n)
			}
		}
	}
}

func (w *world) act() {
	a := w.agents[w.draw(len(w.agents), "agent")]
	switch w.draw(9, "act") {
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
		w.restart(a)
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
