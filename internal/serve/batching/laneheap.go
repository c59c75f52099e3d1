package batching

// laneHeap is a binary heap of the lanes whose accounts have the same standing, by their
// first job of one kind.
type laneHeap struct {
	entries []laneEntry
	// pieces is the number of waiting pieces of all jobs.
	pieces int
}

// laneEntry is a lane with the key of its first job.
type laneEntry struct {
	key  orderKey
	lane *lane
}

// add appends a lane; fix puts it into its place.
func (h *laneHeap) add(l *lane, k kind) {
	h.entries = append(h.entries, laneEntry{lane: l})
	l.slots[k] = slot{heap: h, index: len(h.entries) - 1}
}

// remove removes a lane.
func (h *laneHeap) remove(l *lane, k kind) {
	i, last := l.slots[k].index, len(h.entries)-1
	h.pieces -= l.slots[k].pieces
	h.swap(i, last, k)
	h.entries[last] = laneEntry{}
	h.entries = h.entries[:last]
	l.slots[k] = slot{}
	if i < last {
		h.fix(i, k)
	}
}

func (h *laneHeap) swap(a, b int, k kind) {
	h.entries[a], h.entries[b] = h.entries[b], h.entries[a]
	h.entries[a].lane.slots[k].index = a
	h.entries[b].lane.slots[k].index = b
}

// fix restores the order after the key at i has changed.
func (h *laneHeap) fix(i int, k kind) {
	for i > 0 && h.entries[i].key.before(h.entries[(i-1)/2].key) {
		h.swap(i, (i-1)/2, k)
		i = (i - 1) / 2
	}
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.entries); child++ {
			if h.entries[child].key.before(h.entries[least].key) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least, k)
		i = least
	}
}

// piecesBefore returns the number of pieces of the jobs in front of a key.
func (h *laneHeap) piecesBefore(k kind, key orderKey) int { return h.piecesBeforeFrom(0, k, key) }

func (h *laneHeap) piecesBeforeFrom(i int, k kind, key orderKey) int {
	if i >= len(h.entries) || !h.entries[i].key.before(key) {
		return 0
	}
	return h.entries[i].lane.trees[k].piecesBefore(key) + h.piecesBeforeFrom(2*i+1, k, key) + h.piecesBeforeFrom(2*i+2, k, key)
}

// walk visits the jobs in order until visit returns false, and reports whether it visited
// all. It looks only at the lanes that it comes to.
func (h *laneHeap) walk(k kind, visit func(*Job) bool) bool {
	var next frontier
	next.pushLane(h, 0)
	for len(next) > 0 {
		c := next.pop()
		job := c.node
		if c.index >= 0 {
			job = h.entries[c.index].lane.trees[k].first
			next.pushLane(h, 2*c.index+1)
			next.pushLane(h, 2*c.index+2)
			c.tree = &h.entries[c.index].lane.trees[k]
		}
		if !visit(job.job) {
			return false
		}
		if n := c.tree.after(c.key); n != nil {
			next.push(candidate{key: n.key, index: noLane, tree: c.tree, node: n})
		}
	}
	return true
}

// candidate is a job that may come next in a walk: the first job of the lane at index, or a
// later one of a tree if index is noLane.
type candidate struct {
	key   orderKey
	index int
	tree  *tree
	node  *node
}

const noLane = -1

// frontier is a binary heap of candidates; the smallest key is first.
type frontier []candidate

func (f *frontier) pushLane(h *laneHeap, index int) {
	if index < len(h.entries) {
		f.push(candidate{key: h.entries[index].key, index: index})
	}
}

func (f *frontier) push(c candidate) {
	s := append(*f, c)
	for i := len(s) - 1; i > 0 && s[i].key.before(s[(i-1)/2].key); i = (i - 1) / 2 {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
	}
	*f = s
}

func (f *frontier) pop() candidate {
	s := *f
	first, last := s[0], len(s)-1
	s[0] = s[last]
	s = s[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(s); child++ {
			if s[child].key.before(s[least].key) {
				least = child
			}
		}
		if least == i {
			break
		}
		s[i], s[least] = s[least], s[i]
		i = least
	}
	*f = s
	return first
}
