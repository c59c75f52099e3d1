package batching

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Config describes each upstream of a service.
type Config struct {
	// Batch is the greatest number of pieces in one call.
	Batch int
	// Call is the time of a call without its pieces, Item that of one piece.
	Call, Item time.Duration
}

// ConfigOf returns the Config of a service.
func ConfigOf(p *site.Pieces) Config {
	return Config{Batch: p.Batch, Call: p.Call, Item: p.Item}
}

// Duration returns the expected time of a call with n pieces.
func (c Config) Duration(n int) time.Duration {
	return c.Call + time.Duration(n)*c.Item
}

// Usual is the expected time of a call while there is much to do.
func (c Config) Usual() time.Duration { return c.Duration(c.Batch * usualShare / 100) }

// usualShare is the usual filling of a batch, in percent.
const usualShare = 60

// Queue holds the groups with pieces to hand out. It is not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	groups  []*Group
	waiting int
}

// NewQueue returns an empty Queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Configure replaces the description of the upstreams.
func (q *Queue) Configure(cfg Config) { q.cfg = cfg }

// Waiting returns the number of pieces to hand out.
func (q *Queue) Waiting() int { return q.waiting }

// Duration returns the expected time of a call with n pieces.
func (q *Queue) Duration(n int) time.Duration { return q.cfg.Duration(n) }

// rate returns the pieces a second of upstreams with full batches. A slow
// upstream counts as the part of a usual one that it is.
func (q *Queue) rate(upstreams float64) float64 {
	return upstreams * float64(q.cfg.Batch) / q.Duration(q.cfg.Batch).Seconds()
}

// Backlog is how long the upstreams need for what waits: at each rank for the
// groups that are on time, last of all for every group.
func (q *Queue) Backlog(now time.Time, upstreams float64) Backlog {
	if upstreams == 0 {
		return Backlog{Last: q.Duration(q.cfg.Batch)}
	}
	pieces := make(map[site.Rank]int)
	for _, g := range q.groups {
		if !g.late(now, q.cfg.Usual()) {
			pieces[g.Rank] += len(g.todo)
		}
	}
	wait := func(n int) time.Duration {
		return time.Duration(float64(n) / q.rate(upstreams) * float64(time.Second))
	}
	out := Backlog{Last: wait(q.waiting)}
	ahead := 0
	for _, rank := range slices.Sorted(maps.Keys(pieces)) {
		ahead += pieces[rank]
		out.Ranks = append(out.Ranks, RankWait{Rank: rank, Wait: wait(ahead)})
	}
	return out
}

// Admit reports whether the pieces of a group can be made before its deadline
// behind those that go before it, and otherwise when there will be room.
func (q *Queue) Admit(now time.Time, g *Group, upstreams float64) (time.Duration, bool) {
	if upstreams == 0 {
		return q.Duration(q.cfg.Batch), false
	}
	ahead := 0
	for _, other := range q.groups {
		if compare(now, other, g, q.cfg.Usual()) < 0 {
			ahead += len(other.todo)
		}
	}
	need := q.need(g, ahead, upstreams)
	if left := g.Deadline.Sub(now); need > left {
		return need - left, false
	}
	return 0, true
}

// Push adds a group.
func (q *Queue) Push(g *Group) {
	q.groups = append(q.groups, g)
	q.waiting += len(g.todo)
}

// Upstream is what a call is filled for.
type Upstream struct {
	// Idle is the number of upstreams that are free, this one included: few
	// pieces are spread over them.
	Idle int
	// Room is the memory for results that the upstream has left; pieces that
	// do not fit wait for another.
	Room int64
	// Zone is its availability zone. Pieces of another wait a little for an
	// upstream of theirs.
	Zone string
	// Pace is how many times the time of the fastest upstream a call takes
	// there; 0 counts as 1. Pieces that only a faster upstream makes on time
	// wait for one.
	Pace float64
}

// slowFrom is the pace from which an upstream is kept from pieces that it would
// make late.
const slowFrom = 1.5

const (
	// foreignWait is how long pieces wait for an upstream of their own zone for
	// each megabyte that would cross zones otherwise, and foreignMost the
	// longest wait.
	foreignWait = 250 * time.Millisecond
	foreignMost = 250 * time.Millisecond
)

// Batch takes the pieces of the next call.
func (q *Queue) Batch(now time.Time, to Upstream) []Piece {
	if q.waiting == 0 {
		return nil
	}
	q.sort(now)
	idle, room := to.Idle, to.Room
	n := min(q.cfg.Batch, max(q.leastBatch(), (q.waiting+idle-1)/max(1, idle)))
	extra := time.Duration((to.Pace - 1) * float64(q.Duration(n)))
	usual := q.cfg.Usual()
	var out []Piece
	kept := q.groups[:0]
	for _, g := range q.groups {
		took := min(n-len(out), len(g.todo), g.fitting(room))
		if g.foreign(to.Zone) && now.Sub(g.Arrived) < g.patience() {
			took = 0
		}
		if to.Pace >= slowFrom && !g.late(now, usual) && g.late(now, usual+extra) {
			took = 0
		}
		room -= int64(took) * g.ResultBytes
		for _, i := range g.todo[:took] {
			out = append(out, Piece{Group: g, Index: i})
		}
		g.todo = g.todo[took:]
		if took > 0 {
			g.calls++
		}
		if len(g.todo) > 0 {
			kept = append(kept, g)
		}
	}
	clear(q.groups[len(kept):])
	q.groups = kept
	q.waiting -= len(out)
	return out
}

// foreign reports whether the group belongs to another zone.
func (g *Group) foreign(zone string) bool { return g.Zone != "" && g.Zone != zone }

// patience is how long the group waits for an upstream of its own zone.
func (g *Group) patience() time.Duration {
	crossing := float64(g.InputBytes+int64(g.Pieces())*g.ResultBytes) / (1 << 20)
	return min(foreignMost, time.Duration(crossing*float64(foreignWait)))
}

// fitting is the number of results that fit into room.
func (g *Group) fitting(room int64) int {
	if g.ResultBytes <= 0 {
		return len(g.todo)
	}
	return int(max(0, room) / g.ResultBytes)
}

// leastBatch is the number of pieces below which spreading over idle upstreams
// gains too little time for the call that it costs.
func (q *Queue) leastBatch() int {
	if q.cfg.Item <= 0 {
		return q.cfg.Batch
	}
	return max(1, int(q.cfg.Call/q.cfg.Item/spreadShare))
}

// spreadShare is the part of a call's fixed time that its pieces must take
// before they are spread.
const spreadShare = 4

func (q *Queue) sort(now time.Time) {
	usual := q.cfg.Usual()
	slices.SortStableFunc(q.groups, func(a, b *Group) int { return compare(now, a, b, usual) })
}

// compare orders groups: on time before late, then by rank, then by slack; late
// ones by rank and age.
func compare(now time.Time, a, b *Group, usual time.Duration) int {
	late := a.late(now, usual)
	switch {
	case late != b.late(now, usual):
		if late {
			return 1
		}
		return -1
	case a.Rank != b.Rank:
		return cmp.Compare(a.Rank, b.Rank)
	case late:
		return a.Arrived.Compare(b.Arrived)
	default:
		return cmp.Compare(a.slack(now, usual), b.slack(now, usual))
	}
}

// late reports whether the group cannot be on time any more.
func (g *Group) late(now time.Time, least time.Duration) bool { return g.slack(now, least) < 0 }

// slack is the time that a group can still wait and be on time.
func (g *Group) slack(now time.Time, least time.Duration) time.Duration {
	return g.Objective.Sub(now) - g.Rest - least
}

// Done notes a result and reports whether it was the last of its group.
func (q *Queue) Done(p Piece, handle string) bool {
	if p.Group.handles[p.Index] == "" {
		p.Group.made++
	}
	p.Group.handles[p.Index] = handle
	return p.Group.made == len(p.Group.handles)
}

// Return puts a piece back that was handed out and not made.
func (q *Queue) Return(p Piece) {
	if len(p.Group.todo) == 0 {
		q.groups = append(q.groups, p.Group)
	}
	p.Group.todo = append(p.Group.todo, p.Index)
	q.waiting++
}

// Remove withdraws a group.
func (q *Queue) Remove(g *Group) {
	q.groups = slices.DeleteFunc(q.groups, func(other *Group) bool {
		if other != g {
			return false
		}
		q.waiting -= len(g.todo)
		return true
	})
	g.todo = nil
}

// Hopeless removes and returns the groups that cannot be made before their
// deadline behind those that go before them.
func (q *Queue) Hopeless(now time.Time, upstreams float64) []*Group {
	q.sort(now)
	var out []*Group
	ahead := 0
	for _, g := range q.groups {
		if q.need(g, ahead, upstreams) > g.Deadline.Sub(now) {
			out = append(out, g)
			continue
		}
		ahead += len(g.todo)
	}
	for _, g := range out {
		q.Remove(g)
	}
	return out
}

// need is the expected time until the caller has the first event of a group
// that goes behind a number of pieces.
func (q *Queue) need(g *Group, ahead int, upstreams float64) time.Duration {
	wait := time.Duration(0)
	if upstreams > 0 {
		wait = time.Duration(float64(ahead) / q.rate(upstreams) * float64(time.Second))
	}
	return wait + q.Duration(min(len(g.todo), q.cfg.Batch)) + g.Rest
}
