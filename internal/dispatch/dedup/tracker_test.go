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

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// agentSim is a simulated agent.
type agentSim struct {
	name        string
	incarnation uint64
	tracker     *Tracker
	queue       []ID
	running     []ID
}

// message is a call on its way to an agent, which may arrive late or twice.
type message struct {
	agent string
	claim Claim
}

// simulation holds a ledger, agents and calls in flight, and counts how often
// each key was executed.
type simulation struct {
	t        *rapid.T
	nowMs    int64
	index    uint64
	ledger   *ledger.Ledger
	agents   []*agentSim
	inFlight []message
	// executions counts the executions by account and key.
	executions      map[string]int
	nextIncarnation uint64
	// delayed are outcomes that may reach the ledger later or again.
	delayed []*statepb.Resolve
	// final are the outcomes that callers may have been told, by key.
	final map[string]statepb.Outcome
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, nowMs: 1_000_000, ledger: ledger.New(), executions: make(map[string]int), final: make(map[string]statepb.Outcome)}
	for i := range 3 {
		a := &agentSim{name: fmt.Sprintf("a%d", i)}
		s.agents = append(s.agents, a)
		s.restart(a)
	}
	return s
}

func (s *simulation) draw(n int, label string) int { return rapid.IntRange(0, n-1).Draw(s.t, label) }

func (s *simulation) restart(a *agentSim) {
	s.nextIncarnation++
	a.incarnation = s.nextIncarnation
	a.tracker = New(Config{Incarnation: a.incarnation, Capacity: 4})
	a.queue, a.running = nil, nil
}

func (s *simulation) randomKey() string {
	return fmt.Sprintf("%d-k", s.nowMs/10_000*10_000+int64(s.draw(3, "key")))
}

func (s *simulation) randomTarget() *statepb.Target {
	a := s.agents[s.draw(len(s.agents), "agent")]
	return &statepb.Target{Agent: a.name, Incarnation: a.incarnation}
}

func (s *simulation) send(c *statepb.ClaimState) {
	s.inFlight = append(s.inFlight, message{agent: c.Target.Agent, claim: claimOf(c)})
}

func claimOf(c *statepb.ClaimState) Claim {
	return Claim{ID: ID{c.Account, c.Key, c.Target.Attempt}, Incarnation: c.Target.Incarnation, Index: c.Index}
}

func (s *simulation) agentByName(name string) *agentSim {
	for _, a := range s.agents {
		if a.name == name {
			return a
		}
	}
	return nil
}

// deliver delivers the call at index i; with duplicate, it stays in flight and
// may be delivered again.
func (s *simulation) deliver(i int, duplicate bool) {
	m := s.inFlight[i]
	if !duplicate {
		s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	}
	a := s.agentByName(m.agent)
	err := a.tracker.Admit(m.claim)
	var repeat *RepeatError
	var other *IncarnationError
	switch {
	case err == nil:
		a.queue = append(a.queue, m.claim.ID)
	case !errors.As(err, &repeat) && !errors.As(err, &other):
		s.t.Fatalf("unexpected error %v", err)
	}
}

// start starts the next queued attempt and counts it as executed.
func (s *simulation) start(a *agentSim) {
	if len(a.queue) == 0 {
		return
	}
	id := a.queue[0]
	a.queue = a.queue[1:]
	if a.tracker.Start(id) {
		a.running = append(a.running, id)
		s.executions[id.Account+"/"+id.Key]++
	}
}

func (s *simulation) finish(a *agentSim) {
	if len(a.running) > 0 {
		a.tracker.Finish(a.running[0], statepb.Outcome_OUTCOME_DONE, []byte("paid"))
		a.running = a.running[1:]
	}
}

// resolve resolves an unfinished claim as an entry or the sweep does.
func (s *simulation) resolve(c *statepb.ClaimState) {
	a := s.agentByName(c.Target.Agent)
	outcome := statepb.Outcome_OUTCOME_UNKNOWN
	var result []byte
	if a.incarnation == c.Target.Incarnation {
		got := a.tracker.Query(claimOf(c))
		switch got.State {
		case Barred:
			outcome = statepb.Outcome_OUTCOME_NOT_RUN
			if s.draw(2, "rebind") == 0 {
				s.rebind(c)
			}
		case Running:
			return
		default:
			outcome, result = got.Outcome, got.Result
		}
	}
	resolve := &statepb.Resolve{Account: c.Account, Key: c.Key, Attempt: c.Target.Attempt, Outcome: outcome, Result: result}
	s.delayed = append(s.delayed, resolve)
	if s.draw(2, "now") == 0 {
		s.ledger.Resolve(resolve)
	}
}

func (s *simulation) rebind(c *statepb.ClaimState) {
	s.index++
	r := s.ledger.Rebind(s.index, &statepb.Rebind{Account: c.Account, Key: c.Key, FromAttempt: c.Target.Attempt, Target: s.randomTarget()})
	if r.Kind == statepb.ResultKind_RESULT_KIND_OK {
		s.send(r.Claim)
	}
}

func (s *simulation) check() {
	for key, n := range s.executions {
		if n > 1 {
			s.t.Fatalf("%s was executed %d times", key, n)
		}
	}
	for _, c := range s.ledger.All() {
		n := s.executions[c.Account+"/"+c.Key]
		if final := s.final[c.Key]; final != 0 && final != c.Outcome {
			s.t.Fatalf("%s was %v and is now %v", c.Key, final, c.Outcome)
		}
		switch c.Outcome {
		case statepb.Outcome_OUTCOME_UNKNOWN:
			s.final[c.Key] = c.Outcome
		case statepb.Outcome_OUTCOME_DONE:
			if n != 1 {
				s.t.Fatalf("%s is done and was executed %d times", c.Key, n)
			}
			s.final[c.Key] = c.Outcome
		case statepb.Outcome_OUTCOME_NOT_RUN:
			if n != 0 {
				s.t.Fatalf("%s is not run and was executed %d times", c.Key, n)
			}
		}
	}
}

func (s *simulation) step() {
	a := s.agents[s.draw(len(s.agents), "agent")]
	switch s.draw(10, "act") {
	case 0, 1:
		s.index++
		r := s.ledger.Claim(s.index, s.nowMs, &statepb.Claim{Account: "x", Key: s.randomKey(), Target: s.randomTarget()})
		if r.Kind == statepb.ResultKind_RESULT_KIND_OK && s.draw(8, "dies") > 0 {
			s.send(r.Claim)
		}
	case 2, 3:
		if len(s.inFlight) > 0 {
			s.deliver(s.draw(len(s.inFlight), "which"), s.draw(4, "twice") == 0)
		}
	case 4:
		s.start(a)
	case 5:
		s.finish(a)
	case 6:
		all := s.ledger.All()
		if len(all) > 0 {
			if c := all[s.draw(len(all), "claim")]; c.Outcome == statepb.Outcome_OUTCOME_CLAIMED {
				s.resolve(c)
			}
		}
	case 7:
		if s.draw(3, "restart") == 0 {
			s.restart(a)
		}
	case 9:
		if len(s.delayed) > 0 {
			s.ledger.Resolve(s.delayed[s.draw(len(s.delayed), "late")])
		}
	case 8:
		s.nowMs += int64(s.draw(2, "jump")) * ledger.Retention.Milliseconds() / 2
		s.ledger.RemoveExpired(s.nowMs)
	}
}

// Even if calls are lost, duplicated and delayed and agents are restarted, a key
// is executed at most once, and its outcome in the ledger is correct.
func TestKeyIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			s.step()
			s.check()
		}
	})
}

func TestEvictedAttemptIsNotAdmittedAgain(t *testing.T) {
	tr := New(Config{Incarnation: 1, Capacity: 2})
	for i := range uint64(5) {
		c := Claim{ID: ID{"x", fmt.Sprint(i), 1}, Incarnation: 1, Index: i + 1}
		if err := tr.Admit(c); err != nil {
			t.Fatal(err)
		}
		tr.Start(c.ID)
		tr.Finish(c.ID, statepb.Outcome_OUTCOME_DONE, nil)
	}
	old := Claim{ID: ID{"x", "0", 1}, Incarnation: 1, Index: 1}
	if err := tr.Admit(old); err == nil {
		t.Error("an evicted attempt was admitted again")
	}
	if got, want := tr.Query(old).State, Forgotten; got != want {
		t.Errorf("state %v, want %v", got, want)
	}
}

// The first recorded outcome of an attempt is final; later ones are ignored.
func TestFirstOutcomeIsFinal(t *testing.T) {
	l := ledger.New()
	claim := l.Claim(1, 5000, &statepb.Claim{Account: "x", Key: "5000-k", Target: &statepb.Target{Agent: "a", Incarnation: 1}}).Claim
	for _, o := range []statepb.Outcome{statepb.Outcome_OUTCOME_DONE, statepb.Outcome_OUTCOME_UNKNOWN, statepb.Outcome_OUTCOME_NOT_RUN} {
		r := l.Resolve(&statepb.Resolve{Account: "x", Key: "5000-k", Attempt: claim.Target.Attempt, Outcome: o})
		if got, want := r.Claim.Outcome, statepb.Outcome_OUTCOME_DONE; got != want {
			t.Errorf("outcome %v after %v was recorded, want %v", got, o, want)
		}
	}
}
