package watch

import "container/list"

// changeKind tells what a change is about.
type changeKind int

// Kinds of changes.
const (
	upstreamChange changeKind = iota + 1
	peerChange
	documentChange
)

// thing is what a change is about: an upstream or a process by its ID or name, or the
// site document.
type thing struct {
	kind changeKind
	id   string
}

// changes orders things by the number of their last change. A thing that changes
// again moves to the end, so that the size is bounded by the number of things. The
// zero value is not usable; it is not safe for concurrent use.
type changes struct {
	// order holds the numbered things, the last one changed at its back.
	order *list.List
	// byThing holds the element of each thing in order.
	byThing map[thing]*list.Element
	// last is the number of the last change.
	last uint64
	// forgotten is the number of the last change of the things that were removed.
	forgotten uint64
}

// numbered is a thing with the number of its last change.
type numbered struct {
	thing
	seq uint64
}

func newChanges() *changes {
	return &changes{order: list.New(), byThing: make(map[thing]*list.Element)}
}

// add records a change of a thing.
func (c *changes) add(t thing) {
	c.last++
	if e := c.byThing[t]; e != nil {
		c.order.Remove(e)
	}
	c.byThing[t] = c.order.PushBack(numbered{thing: t, seq: c.last})
}

// forget removes a thing. Who has no change since then cannot be told any more that
// the thing is gone, see holdsSince.
func (c *changes) forget(t thing) {
	e := c.byThing[t]
	if e == nil {
		return
	}
	c.forgotten = max(c.forgotten, e.Value.(numbered).seq)
	c.order.Remove(e)
	delete(c.byThing, t)
}

// holdsSince reports whether since returns all changes after seq.
func (c *changes) holdsSince(seq uint64) bool { return seq >= c.forgotten && seq <= c.last }

// since returns the things that changed after seq, the last one changed first.
func (c *changes) since(seq uint64) []thing {
	var out []thing
	for e := c.order.Back(); e != nil; e = e.Prev() {
		n := e.Value.(numbered)
		if n.seq <= seq {
			break
		}
		out = append(out, n.thing)
	}
	return out
}
