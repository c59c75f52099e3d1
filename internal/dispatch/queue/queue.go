package queue

// Lane separates short from long calls.
type Lane int

// The lanes.
const (
	Short Lane = iota
	Long
	lanes
)

// ageing is the slack in microseconds that a call loses for each microsecond
// it waits.
const ageing = 2

// Item is a waiting call. Times are microseconds of one monotonic clock.
type Item struct {
	ID   uint64
	Lane Lane
	// DeadlineUs is when the call must have ended.
	DeadlineUs int64
	// ServiceUs is the expected service time.
	ServiceUs int64
	// ArrivedUs is when the call was pushed.
	ArrivedUs int64
}

// slack orders the items: the lowest goes first.
func (i Item) slack(now int64) int64 {
	return i.DeadlineUs - now - i.ServiceUs - ageing*(now-i.ArrivedUs)
}

// Config describes the upstream.
type Config struct {
	// Slots is the number of calls the upstream runs at once.
	Slots int
	// LongShare is the greatest share of the slots for long calls; at least
	// one slot is theirs.
	LongShare float64
	// FIFO serves first come first served, without lanes.
	FIFO bool
}

// Queue is the set of waiting calls and the count of the running ones. It is
// not safe for concurrent use.
type Queue struct {
	cfg     Config
	waiting [lanes][]Item
	running [lanes]int
}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Configure replaces the description of the upstream.
func (q *Queue) Configure(cfg Config) { q.cfg = cfg }

// Push adds a call.
func (q *Queue) Push(i Item) { q.waiting[i.Lane] = append(q.waiting[i.Lane], i) }

// longSlots is the number of slots that long calls may hold.
func (q *Queue) longSlots() int {
	return max(1, int(float64(q.cfg.Slots)*q.cfg.LongShare))
}

// Next takes the call that is to run now, if a slot is free for one.
func (q *Queue) Next(now int64) (Item, bool) {
	if q.Running() >= q.cfg.Slots {
		return Item{}, false
	}
	if q.cfg.FIFO {
		return q.takeOldest()
	}
	lane := q.choose(now)
	if lane == lanes {
		return Item{}, false
	}
	return q.take(lane, q.least(lane, now)), true
}

// choose returns the lane to serve, or lanes for none. Long calls go first
// only while none runs and one has waited for longer than its service time.
func (q *Queue) choose(now int64) Lane {
	long := len(q.waiting[Long]) > 0 && q.running[Long] < q.longSlots()
	short := len(q.waiting[Short]) > 0
	switch {
	case short && long:
		head := q.waiting[Long][0]
		if q.running[Long] == 0 && now-head.ArrivedUs > head.ServiceUs {
			return Long
		}
		return Short
	case short:
		return Short
	case long:
		return Long
	default:
		return lanes
	}
}

func (q *Queue) least(lane Lane, now int64) int {
	best := 0
	for i, item := range q.waiting[lane] {
		if item.slack(now) < q.waiting[lane][best].slack(now) {
			best = i
		}
	}
	return best
}

func (q *Queue) takeOldest() (Item, bool) {
	lane := Short
	switch {
	case len(q.waiting[Short]) == 0 && len(q.waiting[Long]) == 0:
		return Item{}, false
	case len(q.waiting[Short]) == 0:
		lane = Long
	case len(q.waiting[Long]) > 0 && q.waiting[Long][0].ArrivedUs < q.waiting[Short][0].ArrivedUs:
		lane = Long
	}
	return q.take(lane, 0), true
}

func (q *Queue) take(lane Lane, at int) Item {
	item := q.waiting[lane][at]
	q.waiting[lane] = append(q.waiting[lane][:at], q.waiting[lane][at+1:]...)
	q.running[lane]++
	return item
}

// Done frees the slot of a call of a lane.
func (q *Queue) Done(lane Lane) { q.running[lane]-- }

// Remove withdraws a waiting call and reports whether it was there.
func (q *Queue) Remove(id uint64) bool {
	for lane := range q.waiting {
		for i, item := range q.waiting[lane] {
			if item.ID == id {
				q.waiting[lane] = append(q.waiting[lane][:i], q.waiting[lane][i+1:]...)
				return true
			}
		}
	}
	return false
}

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int { return q.running[Short] + q.running[Long] }

// Waiting returns the number of calls that wait.
func (q *Queue) Waiting() int { return len(q.waiting[Short]) + len(q.waiting[Long]) }

// BacklogUs returns the expected service time of the calls that a short call
// would wait for.
func (q *Queue) BacklogUs() int64 {
	sum := int64(0)
	for _, item := range q.waiting[Short] {
		sum += item.ServiceUs
	}
	if q.cfg.FIFO {
		for _, item := range q.waiting[Long] {
			sum += item.ServiceUs
		}
	}
	return sum
}
