package queue

// Lane is a class of calls by length.
type Lane int

// The lanes.
const (
	Short Lane = iota
	Long
	numLanes
)

// ageingFactor is the slack in microseconds that a call loses for each
// microsecond in the queue, in addition to the time that passes to its deadline.
const ageingFactor = 2

// Item is a queued call. Times are in microseconds on one monotonic clock.
type Item struct {
	ID   uint64
	Lane Lane
	// DeadlineUs is when the call must have finished.
	DeadlineUs int64
	// ServiceUs is the expected service time.
	ServiceUs int64
	// ArrivedUs is when the call was pushed.
	ArrivedUs int64
}

// slack returns the priority of the item; the lowest value is next.
func (i Item) slack(now int64) int64 {
	return i.DeadlineUs - now - i.ServiceUs - ageingFactor*(now-i.ArrivedUs)
}

// Config sets the capacity of the upstream and the queueing policy.
type Config struct {
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int
	// LongShare is the maximum share of the slots that long calls may hold, but
	// at least one slot.
	LongShare float64
	// FIFO serves first come, first served, across both lanes, and ignores
	// LongShare.
	FIFO bool
}

// Queue holds the queued calls and counts the running ones. It is not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	waiting [numLanes][]Item
	running [numLanes]int
}

// New returns an empty Queue.
func New(cfg Config) *Queue { return &Queue{cfg: cfg} }

// Configure replaces the configuration.
func (q *Queue) Configure(cfg Config) { q.cfg = cfg }

// Push adds a call.
func (q *Queue) Push(i Item) { q.waiting[i.Lane] = append(q.waiting[i.Lane], i) }

// longSlots returns the number of slots that long calls may hold.
func (q *Queue) longSlots() int {
	return max(1, int(float64(q.cfg.Slots)*q.cfg.LongShare))
}

// Next removes and returns the next call to run. The call holds a slot until
// Done. Next returns false if no queued call may take a free slot.
func (q *Queue) Next(now int64) (Item, bool) {
	if q.Running() >= q.cfg.Slots {
		return Item{}, false
	}
	if q.cfg.FIFO {
		return q.popOldest()
	}
	lane := q.chooseLane(now)
	if lane == numLanes {
		return Item{}, false
	}
	return q.pop(lane, q.leastSlack(lane, now)), true
}

// chooseLane returns the lane to serve, or numLanes for none. A long call is
// preferred to short ones only while no long call runs and the oldest has waited
// for longer than its expected service time.
func (q *Queue) chooseLane(now int64) Lane {
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
		return numLanes
	}
}

func (q *Queue) leastSlack(lane Lane, now int64) int {
	best := 0
	for i, item := range q.waiting[lane] {
		if item.slack(now) < q.waiting[lane][best].slack(now) {
			best = i
		}
	}
	return best
}

func (q *Queue) popOldest() (Item, bool) {
	lane := Short
	switch {
	case len(q.waiting[Short]) == 0 && len(q.waiting[Long]) == 0:
		return Item{}, false
	case len(q.waiting[Short]) == 0:
		lane = Long
	case len(q.waiting[Long]) > 0 && q.waiting[Long][0].ArrivedUs < q.waiting[Short][0].ArrivedUs:
		lane = Long
	}
	return q.pop(lane, 0), true
}

func (q *Queue) pop(lane Lane, index int) Item {
	item := q.waiting[lane][index]
	q.waiting[lane] = append(q.waiting[lane][:index], q.waiting[lane][index+1:]...)
	q.running[lane]++
	return item
}

// Done frees the slot of a finished call of the lane.
func (q *Queue) Done(lane Lane) { q.running[lane]-- }

// Remove removes a queued call and reports whether it was queued.
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

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int { return len(q.waiting[Short]) + len(q.waiting[Long]) }

// BacklogUs returns the total expected service time of the queued calls ahead of
// a new short call, in microseconds.
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
