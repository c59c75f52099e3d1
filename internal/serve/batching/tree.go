package batching

import "time"

// orderKey is the position of a job in a tree: by time, in nanoseconds, and by order of
// arrival among jobs with the same time.
type orderKey struct {
	at  int64
	seq uint64
}

func keyOf(at time.Time, seq uint64) orderKey { return orderKey{at: at.UnixNano(), seq: seq} }

func (k orderKey) before(other orderKey) bool {
	return k.at < other.at || k.at == other.at && k.seq < other.seq
}

// tree is a set of jobs in the order of their keys that knows how many pieces wait in
// front of a key. It is a treap: a search tree that is also a heap by priorities that
// look random, which keeps it balanced. The zero value is empty. All operations take
// logarithmic time.
type tree struct {
	root *node
	// first is the job with the smallest key, nil if the tree is empty.
	first *node
}

type node struct {
	key         orderKey
	job         *Job
	priority    uint64
	left, right *node
	// pieces is the number of waiting pieces of the jobs in this subtree.
	pieces int
}

// pieces returns the number of waiting pieces of all jobs.
func (t *tree) pieces() int { return t.root.sum() }

func (n *node) sum() int {
	if n == nil {
		return 0
	}
	return n.pieces
}

func (n *node) update() *node {
	n.pieces = n.left.sum() + n.right.sum() + len(n.job.pending)
	return n
}

// insert adds a job under a key that the tree does not have.
func (t *tree) insert(key orderKey, j *Job) {
	n := &node{key: key, job: j, priority: mix(key.seq)}
	less, rest := split(t.root, key)
	t.root = merge(merge(less, n.update()), rest)
	if t.first == nil || key.before(t.first.key) {
		t.first = n
	}
}

// remove removes the job under a key. It does nothing if there is none.
func (t *tree) remove(key orderKey) {
	t.root = t.root.without(key)
	if t.first != nil && t.first.key == key {
		t.first = leftmost(t.root)
	}
}

// refresh brings the sums up to date after the number of waiting pieces of the job under
// a key has changed.
func (t *tree) refresh(key orderKey) { t.root.refresh(key) }

// after returns the node with the smallest key after the given one, nil if there is none.
func (t *tree) after(key orderKey) *node {
	var found *node
	for n := t.root; n != nil; {
		if key.before(n.key) {
			found, n = n, n.left
		} else {
			n = n.right
		}
	}
	return found
}

// piecesBefore returns the number of waiting pieces of the jobs in front of a key.
func (t *tree) piecesBefore(key orderKey) int {
	sum := 0
	for n := t.root; n != nil; {
		if n.key.before(key) {
			sum += n.left.sum() + len(n.job.pending)
			n = n.right
		} else {
			n = n.left
		}
	}
	return sum
}

func (n *node) refresh(key orderKey) {
	if n == nil {
		return
	}
	switch {
	case key.before(n.key):
		n.left.refresh(key)
	case n.key.before(key):
		n.right.refresh(key)
	}
	n.update()
}

func (n *node) without(key orderKey) *node {
	switch {
	case n == nil:
		return nil
	case key.before(n.key):
		n.left = n.left.without(key)
	case n.key.before(key):
		n.right = n.right.without(key)
	default:
		return merge(n.left, n.right)
	}
	return n.update()
}

func leftmost(n *node) *node {
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

// split divides a tree into the keys in front of key and the others.
func split(n *node, key orderKey) (less, rest *node) {
	if n == nil {
		return nil, nil
	}
	if n.key.before(key) {
		n.right, rest = split(n.right, key)
		return n.update(), rest
	}
	less, n.left = split(n.left, key)
	return less, n.update()
}

// merge joins two trees; all keys of a are in front of those of b.
func merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority < b.priority:
		a.right = merge(a.right, b)
		return a.update()
	default:
		b.left = merge(a, b.left)
		return b.update()
	}
}

// mix scatters a sequence number over all 64 bits, by the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
