package watch

import "container/list"

// changeKind tells what a change is about.
type changeKind int

// Kinds of changes.
const (
	upstreamChange changeKind = iota + 1
	peerChange
	documentChange
	breakerChange
	evacuationChange
)

// key identifies an item of the hub's state: an upstream, a process or the breaker of a
// prompt segment by its ID or name, the site document or the evacuated zones.
type key struct {
	kind changeKind
	id   string
}

// changes orders keys by the number of their last change. A key that changes again
// moves to the end, so that the size is bounded by the number of keys. The zero value
// is not usable; it is not safe for concurrent use.
type changes struct {
	// order holds a change for each key, the last one at its back.
	order *list.List
	// byKey holds the element of each key in order.
	byKey map[key]*list.Element
	// last is the number of the last change.
	last uint64
	// forgotten is the number of the last change of the keys that were removed.
	forgotten uint64
}

// change is the last change of a key.
type change struct {
	key key
	seq uint64
}

func newChanges() *changes {
	return &changes{order: list.New(), byKey: make(map[key]*list.Element)}
}

// add records a change of a key.
func (c *changes) add(k key) {
	c.last++
	if e := c.byKey[k]; e != nil {
		c.order.Remove(e)
	}
	c.byKey[k] = c.order.PushBack(change{key: k, seq: c.last})
}

// seqOf returns the number of the last change of a key, 0 if there is none.
func (c *changes) seqOf(k key) uint64 {
	if e := c.byKey[k]; e != nil {
		return e.Value.(change).seq
	}
	return 0
}

// forget removes a key. A watcher that has not seen its last change cannot be told of
// it any more, see holdsSince.
func (c *changes) forget(k key) {
	e := c.byKey[k]
	if e == nil {
		return
	}
	c.forgotten = max(c.forgotten, e.Value.(change).seq)
	c.order.Remove(e)
	delete(c.byKey, k)
}

// holdsSince reports whether since returns all changes after seq.
func (c *changes) holdsSince(seq uint64) bool { return seq >= c.forgotten && seq <= c.last }

// since returns the keys that changed after seq, the last one changed first.
func (c *changes) since(seq uint64) []key {
	var out []key
	for e := c.order.Back(); e != nil; e = e.Prev() {
		ch := e.Value.(change)
		if ch.seq <= seq {
			break
		}
		out = append(out, ch.key)
	}
	return out
}
