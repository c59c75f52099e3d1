package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// seedCount is the number of instances that every one is told of at the first start.
	seedCount = 3
	// startRounds is the time within which all instances start, formRounds that after which
	// each seed has formed the log.
	startRounds = 6
	formRounds  = 20
	// formingRounds is Config.FormingTicks.
	formingRounds = 60
	// restartRounds is the time after which a process that was killed runs again.
	restartRounds = 20
)

// firstStart is a fleet that starts for the first time. Commands are proposed by the host's
// rule: not while the log is forming.
type firstStart struct {
	*fleet
	// formAt is the round in which a seed forms the log, by name.
	formAt map[string]int
	// startAt is the round in which an instance starts, by name.
	startAt map[string]int
	first   *statepb.Snapshot
}

func newFirstStart(t *rapid.T, faults, standbys int) *firstStart {
	c := newCluster(t, seedCount, 2*faults+1)
	c.ticks = fleetElectionTicks
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "jitter"), 0))
	c.jitter = random.IntN
	first := c.replicas[0].disk.snap
	first.Voters.Forming = true
	f := &firstStart{
		fleet:  &fleet{cluster: c, faults: faults, lostUntil: make(map[string]int), names: seedCount},
		formAt: make(map[string]int), startAt: make(map[string]int), first: first,
	}
	for range 2*faults + 1 + standbys - seedCount {
		f.names++
		f.nextID++
		c.replicas = append(c.replicas, &simReplica{name: fmt.Sprintf("c%d", f.names), id: f.nextID})
	}
	for i, s := range c.replicas {
		s.node, s.disk, s.chain = nil, &storage{}, hashChain{}
		f.startAt[s.name] = f.draw(startRounds + 1)
		if i < seedCount {
			f.formAt[s.name] = f.startAt[s.name] + f.draw(formRounds+1)
		}
	}
	return f
}

// run runs some rounds, in which instances start, seeds form the log, and the leader of a log
// that is formed proposes commands.
func (f *firstStart) run(rounds int) {
	for range rounds {
		for _, s := range f.replicas {
			if at, ok := f.startAt[s.name]; ok && at == f.now && s.node == nil {
				f.start(s)
			}
			if at, ok := f.formAt[s.name]; ok && at <= f.now && s.node != nil {
				delete(f.formAt, s.name)
				f.step(s, Form{Snapshot: f.first})
			}
			if s.node != nil && s.node.State().Role == Leader && !s.node.State().Voters.GetForming() {
				f.propose(s)
			}
		}
		f.round()
		f.now++
	}
}

// lose makes an instance lost for good, or lets it run again a little later, with its disk or
// with an empty one. It does not form the log any more then.
func (f *firstStart) lose(s *simReplica) {
	f.t.Logf("round %d: %s is lost", f.now, s.name)
	f.crash(s)
	delete(f.formAt, s.name)
	delete(f.startAt, s.name)
	kind := f.draw(3)
	if kind > 0 {
		f.startAt[s.name] = f.now + restartRounds
	}
	if kind == 2 && s.disk.snap != nil {
		f.wipe(s)
	}
}

// awaitCommand runs until a command was committed.
func (f *firstStart) awaitCommand(when string, rounds int) {
	f.t.Helper()
	before := f.commands()
	for range rounds {
		if f.commands() > before {
			return
		}
		f.run(1)
	}
	f.t.Fatalf("%s, no command was committed in %d rounds: %s", when, rounds, f.describe())
}

// commands returns the number of commands that were committed.
func (f *firstStart) commands() int {
	highest := 0
	for _, s := range f.replicas {
		if s.node == nil {
			continue
		}
		n := 0
		for i := s.node.snapshot.Index + 1; i <= s.node.commitIndex; i++ {
			if s.node.entries[i-s.node.snapshot.Index-1].Command != nil {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// Guards against a log that is never formed because an instance is lost at the first start
// (review/9), and against commands that are committed before so many voters hold them that
// the losses to be borne leave a quorum (review/11). One seed of three may be lost before the
// log is formed; all other losses may hit anyone, the first of them right after the first
// command.
func TestFirstStartUnderAllowedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.IntRange(1, 2).Draw(t, "faults")
		f := newFirstStart(t, faults, rapid.IntRange(0, 1).Draw(t, "standbys"))
		early := f.draw(faults + 1)
		victims := slices.Clone(f.replicas[seedCount:])
		victims = append(victims, f.replicas[f.draw(seedCount)])
		for range early {
			f.run(f.draw(formRounds + startRounds))
			i := f.draw(len(victims))
			f.lose(victims[i])
			victims = slices.Delete(victims, i, i+1)
			if len(victims) == 0 {
				break
			}
		}
		f.awaitCommand("at the first start", 2*formingRounds+commitRounds)
		present := slices.DeleteFunc(slices.Clone(f.replicas), func(s *simReplica) bool { return s.node == nil })
		for range faults - early {
			i := f.draw(len(present))
			if at := f.leaderIndex(present); f.draw(2) == 0 && at >= 0 {
				i = at
			}
			s := present[i]
			present = slices.Delete(present, i, i+1)
			f.t.Logf("round %d: %s loses its disk", f.now, s.name)
			f.crash(s)
			f.wipe(s)
			f.startAt[s.name] = f.now + 1
		}
		for _, s := range f.replicas {
			f.crash(s)
		}
		f.inFlight = nil
		for _, s := range f.replicas {
			if _, back := f.startAt[s.name]; back {
				f.startAt[s.name] = f.now + 1
			}
		}
		f.awaitCommand("after all lost power", 2*formingRounds+commitRounds)
	})
}

// leaderIndex returns the position of a leader, -1 if there is none.
func (f *firstStart) leaderIndex(replicas []*simReplica) int {
	return slices.IndexFunc(replicas, func(s *simReplica) bool { return s.node.State().Role == Leader })
}

// formed returns a replica without a log that has formed one with three voters.
func formed(id uint64) (*Node, *statepb.Snapshot) {
	v := voters(1, 2, 3)
	v.Forming = true
	n := New(Config{ID: id, ElectionTicks: 3, HeartbeatTicks: 1, TargetVoters: 3, VoterRemovalTicks: 9, FormingTicks: 20}, InitialState{})
	first := &statepb.Snapshot{Index: 1, Term: 1, Voters: v}
	n.Step(Form{Snapshot: first})
	return n, first
}

// Guards against a second vote in a term: a seed may have voted for another one before it
// forms the log itself.
func TestFormKeepsVote(t *testing.T) {
	n := New(Config{ID: 3, ElectionTicks: 3, HeartbeatTicks: 1}, InitialState{})
	vote := func(from uint64) {
		n.Step(Receive{Message: &statepb.Message{Kind: statepb.MessageKind_MESSAGE_KIND_VOTE, From: from, To: 3, Term: 5, LogIndex: 1, LogTerm: 1}})
	}
	vote(2)
	_, first := formed(1)
	var hard *statepb.HardState
	for _, e := range n.Step(Form{Snapshot: first}) {
		if s, ok := e.(SaveSnapshot); ok {
			hard = s.Hard
		}
	}
	if got, want := fmt.Sprint(hard.GetTerm(), hard.GetVote()), "5 2"; got != want {
		t.Errorf("saved term and vote %s, want %s", got, want)
	}
	vote(1)
	if got, want := n.votedFor, uint64(2); got != want {
		t.Errorf("voted for %d, want %d", got, want)
	}
}

// Guards against a log that is begun anew by a replica that has one.
func TestFormIsIgnoredWithLog(t *testing.T) {
	n := newNodeWithLog(1, voters(1, 2, 3), 3, 2, 3)
	_, first := formed(1)
	if effects := n.Step(Form{Snapshot: first}); len(effects) != 0 || n.lastIndex() != 3 {
		t.Errorf("effects %v and last index %d, want none and 3", effects, n.lastIndex())
	}
}

// A log is formed once all first voters hold it, and not as soon as a majority does.
func TestFormingEndsWithLastVoter(t *testing.T) {
	n, _ := formed(1)
	elect(n, 2)
	ackAll(n, 2)
	n.Step(Tick{})
	ackAll(n, 2)
	n.Step(Tick{})
	if !n.State().Voters.Forming {
		t.Fatal("the log is formed with two of three voters")
	}
	ackAll(n, 2, 3)
	n.Step(Tick{})
	if n.State().Voters.Forming {
		t.Error("the log is not formed with all three voters")
	}
}

// A voter that never comes is waited for FormingTicks, not for good.
func TestFormingEndsWithoutLostVoter(t *testing.T) {
	n, _ := formed(1)
	elect(n, 2)
	ticks := 0
	for ; n.State().Voters.Forming && ticks < 2*n.cfg.FormingTicks; ticks++ {
		ackAll(n, 2)
		n.Step(Tick{})
	}
	if got, want := ticks, n.cfg.FormingTicks; got != want {
		t.Errorf("formed after %d ticks, want %d", got, want)
	}
}
