package raft

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// These are the times of a registry, in ticks of 50 ms. A round has one tick.
const (
	fleetElectionTicks = 10
	fleetRemovalTicks  = 3 * fleetElectionTicks
	// catchUpRounds is the shortest catch-up-s, 4 s.
	catchUpRounds = 80
	// leaveRounds is the time that a planned stop waits for its replacement.
	leaveRounds = 60
	// commitRounds is the time within which a command must be committed. It covers
	// elections with divided votes.
	commitRounds = 120
	// commandRounds and snapshotRounds are the rounds between commands and snapshots.
	commandRounds  = 5
	snapshotRounds = 100
)

// fleet is a cluster in which no more instances are lost at a time than faults.
// An instance is lost while it is down, paused or cut off, and for catchUpRounds
// after it is back or has started. One that was stopped as planned counts no longer,
// as its successor has had that time. One that was replaced after its loss counts
// until its successor has had it.
type fleet struct {
	*cluster
	faults int
	now    int
	// lostUntil is keyed by instance name.
	lostUntil map[string]int
	// away holds the instances that are lost and will be back.
	away []*simReplica
	// spare holds the instances that may be stopped for good: their successors run.
	spare int
	names int
}

func newFleet(t *rapid.T, faults, standbys int) *fleet {
	c := newCluster(t, 2*faults+1, 2*faults+1)
	c.ticks = fleetElectionTicks
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "jitter"), 0))
	c.jitter = random.IntN
	for _, s := range c.replicas {
		c.start(s)
	}
	f := &fleet{cluster: c, faults: faults, lostUntil: make(map[string]int), names: len(c.replicas)}
	f.run(5)
	for range standbys {
		f.add()
	}
	f.run(catchUpRounds)
	return f
}

// add starts a new instance.
func (f *fleet) add() *simReplica {
	f.names++
	f.nextID++
	s := &simReplica{name: fmt.Sprintf("c%d", f.names), id: f.nextID, disk: &storage{}}
	f.replicas = append(f.replicas, s)
	f.start(s)
	f.t.Logf("round %d: %s starts", f.now, s.name)
	f.lostUntil[s.name] = f.now + catchUpRounds
	return s
}

// run runs the fleet for some rounds, with a command in some of them, and a snapshot
// of each replica now and then.
func (f *fleet) run(rounds int) {
	for range rounds {
		for _, s := range f.replicas {
			if f.now%commandRounds == 0 && s.node != nil && s.node.State().Role == Leader {
				f.propose(s)
			}
			if f.now%snapshotRounds == 0 {
				f.compact(s)
			}
		}
		f.round()
		f.now++
	}
}

func (f *fleet) isLost(s *simReplica) bool { return f.lostUntil[s.name] > f.now }

// lost returns the number of instances that are lost.
func (f *fleet) lost() int {
	n := 0
	for _, until := range f.lostUntil {
		if until > f.now {
			n++
		}
	}
	return n
}

// pick draws an instance that is not lost, and nil if another loss is not allowed.
func (f *fleet) pick() *simReplica {
	if f.lost() >= f.faults {
		return nil
	}
	return f.pickPresent()
}

func (f *fleet) pickPresent() *simReplica {
	start := f.draw(len(f.replicas))
	for i := range f.replicas {
		if s := f.replicas[(start+i)%len(f.replicas)]; !f.isLost(s) {
			return s
		}
	}
	return nil
}

// lose makes an instance lost until it is back.
func (f *fleet) lose(s *simReplica) {
	f.t.Logf("round %d: %s is lost", f.now, s.name)
	f.lostUntil[s.name] = math.MaxInt
	f.away = append(f.away, s)
}

// back records that a lost instance is there again.
func (f *fleet) back(s *simReplica) {
	f.t.Logf("round %d: %s is back", f.now, s.name)
	f.away = slices.DeleteFunc(f.away, func(x *simReplica) bool { return x == s })
	if s.node == nil {
		f.start(s)
	}
	f.wake(s)
	delete(f.partitioned, s.name)
	f.lostUntil[s.name] = f.now + catchUpRounds
}

// forget removes an instance that will never be back.
func (f *fleet) forget(s *simReplica) {
	f.t.Logf("round %d: %s is gone for good", f.now, s.name)
	f.crash(s)
	f.lostDisks[s.id] = true
	f.replicas = slices.DeleteFunc(f.replicas, func(x *simReplica) bool { return x == s })
	delete(f.lostUntil, s.name)
	delete(f.partitioned, s.name)
}

// wipe erases the disk of an instance that is down, which takes a new identity.
func (f *fleet) wipe(s *simReplica) {
	f.lostDisks[s.id] = true
	f.nextID++
	s.id, s.disk = f.nextID, &storage{}
}

// leave asks the leaders to replace an instance, until one has or nobody can.
func (f *fleet) leave(s *simReplica) {
	for range leaveRounds {
		for _, l := range f.leadersInReach(s) {
			st := l.node.State()
			if _, member := st.Voters.GetNames()[s.id]; !member && st.VotersCommitted {
				return
			}
			if st.IsVoter(s.id) && !st.HasSuccessor {
				return
			}
			f.step(l, Leave{ID: s.id})
			if l == s {
				f.step(l, TransferLeadership{})
			}
		}
		f.run(1)
	}
}

// stop stops an instance as planned: it hands over, leaves, and ends.
func (f *fleet) stop(s *simReplica) {
	f.t.Logf("round %d: %s stops as planned", f.now, s.name)
	f.step(s, TransferLeadership{})
	f.run(fleetElectionTicks)
	f.leave(s)
	f.crash(s)
}

// startSuccessor starts an instance that takes the place of another one.
func (f *fleet) startSuccessor() {
	if (f.lost() < f.faults || f.faults == 0) && f.spare == 0 {
		f.add()
		f.spare++
	}
}

// stopReplaced stops an instance for good, as planned, once the successor has had the
// time to catch up. Other losses may come in between.
func (f *fleet) stopReplaced() {
	if f.spare == 0 || slices.ContainsFunc(f.replicas[len(f.replicas)-1:], f.isLost) {
		return
	}
	s := f.pickPresent()
	if s == nil || s == f.replicas[len(f.replicas)-1] {
		return
	}
	f.spare--
	f.stop(s)
	f.forget(s)
}

// randomLoss performs one allowed loss, return or planned change. Planned changes are
// frequent, as each needs a successor first.
func (f *fleet) randomLoss() {
	switch f.draw(12) {
	case 0:
		f.ifAllowed(func(s *simReplica) { s.paused = true })
	case 1:
		f.ifAllowed(func(s *simReplica) { f.partitioned[s.name] = true })
	case 2:
		f.ifAllowed(f.crash)
	case 3:
		f.ifAllowed(func(s *simReplica) {
			f.crash(s)
			f.wipe(s)
		})
	case 4:
		if s := f.pick(); s != nil {
			f.replaceLost(s)
		}
	case 5:
		f.ifAllowed(f.stop)
	case 6, 7:
		f.startSuccessor()
	case 8, 9:
		f.stopReplaced()
	default:
		if len(f.away) > 0 {
			f.back(f.away[f.draw(len(f.away))])
		}
	}
}

// ifAllowed makes an instance lost until it is back, if another loss is allowed.
func (f *fleet) ifAllowed(loss func(s *simReplica)) {
	if s := f.pick(); s != nil {
		f.lose(s)
		loss(s)
	}
}

// replaceLost ends an instance for good and starts its successor a little later. The
// successor may be lost before it has had its time, and be replaced as well: together
// they are one loss.
func (f *fleet) replaceLost(s *simReplica) {
	f.crash(s)
	f.lose(s)
	f.run(f.draw(fleetElectionTicks))
	f.away = slices.DeleteFunc(f.away, func(x *simReplica) bool { return x == s })
	for successor := f.add(); f.draw(3) == 0; successor = f.add() {
		f.run(f.draw(catchUpRounds))
		f.forget(successor)
	}
	f.forget(s)
}

// checkCommits fails the test unless a command is committed in time.
func (f *fleet) checkCommits(when string) {
	before := len(f.committed)
	for range commitRounds {
		f.run(1)
		if len(f.committed) > before {
			return
		}
	}
	f.t.Fatalf("%s, no command was committed in %d rounds: %s", when, commitRounds, f.describe())
}

// checkVoters fails the test unless the wanted number of instances, all of them
// present, are voters, and each instance is a member.
func (f *fleet) checkVoters() {
	for _, s := range f.replicas {
		st := s.node.State()
		if !st.IsMember() || st.Leader == 0 {
			f.t.Fatalf("%s has not come back by itself: %s", s.name, f.describe())
		}
		if got, want := len(st.Voters.GetVoters()), f.target; got != want {
			f.t.Fatalf("%d voters, want %d: %s", got, want, f.describe())
		}
		for _, id := range st.Voters.GetVoters() {
			if f.byID(id) == nil {
				f.t.Fatalf("voter %d is gone: %s", id, f.describe())
			}
		}
	}
}

// pauses are the rounds between losses: few, and just enough for the next one to be
// allowed.
var pauses = []int{0, 1, fleetElectionTicks, fleetRemovalTicks, catchUpRounds, catchUpRounds + 1}

// While no more instances are lost at a time than allowed, commands are committed,
// whatever is replaced, stopped as planned, paused or cut off in between. This guards
// against a change of voters that leaves no quorum after the next allowed loss, and
// against an instance that was removed and does not come back.
func TestVotersUnderAllowedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(0, 2).Draw(t, "faults"), rapid.IntRange(0, 2).Draw(t, "standbys"))
		for range rapid.IntRange(1, 20).Draw(t, "losses") {
			f.randomLoss()
			f.run(rapid.SampledFrom(pauses).Draw(t, "pause"))
			if f.draw(4) == 0 {
				f.checkCommits("with losses that are allowed")
			}
		}
		for len(f.away) > 0 {
			f.back(f.away[0])
		}
		f.run(2*catchUpRounds + 2*fleetRemovalTicks)
		f.checkCommits("after all losses")
		f.checkVoters()
	})
}
