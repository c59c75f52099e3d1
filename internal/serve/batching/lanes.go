package batching

import (
	"cmp"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// lanes holds the jobs of a queue in the order in which they are served: those on time
// before late ones, then by rank, then by the standing of their accounts. Jobs that agree
// in all of these are ordered by slack if they are on time, and by arrival if not. While
// capacity is scarce, late jobs of an account below its share follow its jobs on time at
// once: the overload that has made others late is not its own.
//
// Each account has a lane at each rank, because its standing may change at any moment; a
// walk merges the lanes of one standing. All operations take logarithmic time for each job
// that they visit, apart from the change of standings.
type lanes struct {
	// ranks is in ascending order.
	ranks []*rankLanes
	lanes map[laneKey]*lane
	// accounts holds the lanes of each account.
	accounts map[string][]*lane
	// callTime is the time of a call by which jobs count as late.
	callTime time.Duration
	seq      uint64
	meter    *fairshare.Meter
	// version is the version of the standings in the lanes.
	version uint64
}

type laneKey struct {
	rank    site.Rank
	account string
}

// rankLanes holds the lanes of one rank by standing and kind.
type rankLanes struct {
	rank   site.Rank
	groups [fairshare.Standings][kinds]laneHeap
	// jobs holds the jobs of all lanes, to count pieces without looking at each lane.
	jobs [kinds]tree
	// lanes is the number of lanes.
	lanes int
}

// kind tells jobs on time from late ones.
type kind int

const (
	onTime kind = iota
	late
	kinds
)

// lane holds the jobs of one account at one rank that have waiting pieces: those on time in
// the order of slack, late ones in the order of arrival.
type lane struct {
	laneKey
	rank     *rankLanes
	standing fairshare.Standing
	trees    [kinds]tree
	slots    [kinds]slot
}

// slot is the place of a lane in a laneHeap.
type slot struct {
	heap *laneHeap
	// index is the position in the heap.
	index int
	// pieces is the number of pieces that the heap counts for the lane.
	pieces int
}

func newLanes(callTime time.Duration, meter *fairshare.Meter) lanes {
	return lanes{callTime: callTime, meter: meter, lanes: make(map[laneKey]*lane), accounts: make(map[string][]*lane)}
}

// lane returns the lane of an account at a rank.
func (s *lanes) lane(rank site.Rank, account string) *lane {
	key := laneKey{rank: rank, account: account}
	if l := s.lanes[key]; l != nil {
		return l
	}
	i, ok := s.search(rank)
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, &rankLanes{rank: rank})
	}
	s.ranks[i].lanes++
	l := &lane{laneKey: key, rank: s.ranks[i], standing: s.meter.Standing(account)}
	s.lanes[key] = l
	s.accounts[account] = append(s.accounts[account], l)
	return l
}

func (s *lanes) search(rank site.Rank) (int, bool) {
	return slices.BinarySearchFunc(s.ranks, rank, func(r *rankLanes, rank site.Rank) int { return cmp.Compare(r.rank, rank) })
}

// insert adds a job to the lane of an account.
func (s *lanes) insert(now time.Time, j *Job, account string) {
	s.seq++
	j.lane, j.seq, j.kind = s.lane(j.Rank, account), s.seq, j.kindAt(now, s.callTime)
	j.lane.insert(j)
}

func (j *Job) kindAt(now time.Time, callTime time.Duration) kind {
	if j.late(now, callTime) {
		return late
	}
	return onTime
}

// key returns the key of the job in its tree.
func (j *Job) key() orderKey {
	if j.kind == late {
		return keyOf(j.Arrived, j.seq)
	}
	return keyOf(j.Objective.Add(-j.Remaining), j.seq)
}

func (l *lane) insert(j *Job) {
	l.trees[j.kind].insert(j.key(), j)
	l.rank.jobs[j.kind].insert(j.key(), j)
	l.settle(j.kind)
}

func (l *lane) remove(j *Job) {
	l.trees[j.kind].remove(j.key())
	l.rank.jobs[j.kind].remove(j.key())
	l.settle(j.kind)
}

// refresh takes note that the number of waiting pieces of the job has changed.
func (l *lane) refresh(j *Job) {
	l.trees[j.kind].refresh(j.key())
	l.rank.jobs[j.kind].refresh(j.key())
	l.settle(j.kind)
}

// settle puts the lane into the heap where it belongs after a change of its jobs of a kind
// or of its standing.
func (l *lane) settle(k kind) {
	t, at := &l.trees[k], &l.slots[k]
	target := &l.rank.groups[l.standing][k]
	if at.heap != nil && (at.heap != target || t.first == nil) {
		at.heap.remove(l, k)
	}
	if t.first == nil {
		return
	}
	if at.heap == nil {
		target.add(l, k)
	}
	target.pieces += t.pieces() - at.pieces
	at.pieces = t.pieces()
	target.entries[at.index].key = t.first.key
	target.fix(at.index, k)
}

// remove removes a job.
func (s *lanes) remove(j *Job) {
	l := j.lane
	l.remove(j)
	j.lane = nil
	if l.trees[onTime].root != nil || l.trees[late].root != nil {
		return
	}
	delete(s.lanes, l.laneKey)
	if s.accounts[l.account] = slices.DeleteFunc(s.accounts[l.account], func(other *lane) bool { return other == l }); len(s.accounts[l.account]) == 0 {
		delete(s.accounts, l.account)
	}
	if l.rank.lanes--; l.rank.lanes == 0 {
		i, _ := s.search(l.rank.rank)
		s.ranks = slices.Delete(s.ranks, i, i+1)
	}
}

// advance moves the jobs that have become late since the last call, and notes the present
// standings.
func (s *lanes) advance(now time.Time) {
	if s.version != s.meter.Version() {
		s.version = s.meter.Version()
		for _, l := range s.lanes {
			if standing := s.meter.Standing(l.account); standing != l.standing {
				l.standing = standing
				l.settle(onTime)
				l.settle(late)
			}
		}
	}
	for _, r := range s.ranks {
		for i := range r.groups {
			for h := &r.groups[i][onTime]; len(h.entries) > 0; {
				l := h.entries[0].lane
				j := l.trees[onTime].first.job
				if !j.late(now, s.callTime) {
					break
				}
				l.remove(j)
				j.kind = late
				l.insert(j)
			}
		}
	}
}

// walk visits the jobs in order until visit returns false. visit must not change the
// queue.
func (s *lanes) walk(visit func(j *Job) bool) {
	scarce := s.meter.Scarce()
	for _, r := range s.ranks {
		for standing := range fairshare.Standing(fairshare.Standings) {
			if !r.groups[standing][onTime].walk(onTime, visit) {
				return
			}
			if promoted(standing, scarce) && !r.groups[standing][late].walk(late, visit) {
				return
			}
		}
	}
	for _, r := range s.ranks {
		for standing := range fairshare.Standing(fairshare.Standings) {
			if !promoted(standing, scarce) && !r.groups[standing][late].walk(late, visit) {
				return
			}
		}
	}
}

// promoted reports whether late jobs of accounts with a standing go before jobs on time of
// other accounts and of less urgent ranks.
func promoted(standing fairshare.Standing, scarce bool) bool {
	return scarce && standing == fairshare.Below
}

// onTimePieces returns the number of waiting pieces of all jobs on time.
func (s *lanes) onTimePieces() int {
	sum := 0
	for _, r := range s.ranks {
		sum += r.jobs[onTime].pieces()
	}
	return sum
}

// own returns the number of waiting pieces of an account, by kind.
func (s *lanes) own(account string) [kinds]int {
	var out [kinds]int
	for _, l := range s.accounts[account] {
		out[onTime] += l.trees[onTime].pieces()
		out[late] += l.trees[late].pieces()
	}
	return out
}

// urgent returns the pieces that go before those of less urgent ranks.
func (r *rankLanes) urgent(scarce bool) int {
	sum := 0
	for standing := range fairshare.Standing(fairshare.Standings) {
		sum += r.groups[standing][onTime].pieces
		if promoted(standing, scarce) {
			sum += r.groups[standing][late].pieces
		}
	}
	return sum
}

// notUrgent returns the pieces that go after the jobs on time of all ranks.
func (r *rankLanes) notUrgent(scarce bool) int {
	sum := 0
	for standing := range fairshare.Standing(fairshare.Standings) {
		if !promoted(standing, scarce) {
			sum += r.groups[standing][late].pieces
		}
	}
	return sum
}

// ahead returns the number of waiting pieces that are served before a job that is not in
// the queue yet. If there are other jobs with its key, they go first.
func (s *lanes) ahead(now time.Time, j *Job, account string) int {
	scarce, standing := s.meter.Scarce(), s.meter.Standing(account)
	place := Job{Arrived: j.Arrived, Objective: j.Objective, Remaining: j.Remaining, seq: s.seq + 1, kind: j.kindAt(now, s.callTime)}
	last := place.kind == late && !promoted(standing, scarce)
	sum := 0
	for _, r := range s.ranks {
		switch {
		case r.rank < j.Rank && last:
			sum += r.urgent(scarce) + r.notUrgent(scarce)
		case r.rank < j.Rank:
			sum += r.urgent(scarce)
		case r.rank == j.Rank:
			sum += r.ahead(&place, standing, last, scarce)
		case last:
			sum += r.urgent(scarce)
		}
	}
	return sum
}

// ahead returns the number of pieces of this rank that are served before a job of the same
// rank.
func (r *rankLanes) ahead(j *Job, standing fairshare.Standing, last, scarce bool) int {
	sum := r.piecesBefore(j, standing)
	if last {
		sum += r.urgent(scarce)
	}
	for better := range standing {
		if !last {
			sum += r.groups[better][onTime].pieces
		}
		if last != promoted(better, scarce) {
			sum += r.groups[better][late].pieces
		}
	}
	if j.kind == late && !last {
		sum += r.groups[standing][onTime].pieces
	}
	return sum
}

// piecesBefore returns the number of pieces of the jobs of the same kind and standing in
// front of a job. It looks at the lanes with that standing or at those with another one,
// whichever are fewer.
func (r *rankLanes) piecesBefore(j *Job, standing fairshare.Standing) int {
	own := &r.groups[standing][j.kind]
	others := -len(own.entries)
	for s := range r.groups {
		others += len(r.groups[s][j.kind].entries)
	}
	if len(own.entries) <= others {
		return own.piecesBefore(j.kind, j.key())
	}
	sum := r.jobs[j.kind].piecesBefore(j.key())
	for s := range fairshare.Standing(fairshare.Standings) {
		if s != standing {
			sum -= r.groups[s][j.kind].piecesBefore(j.kind, j.key())
		}
	}
	return sum
}
