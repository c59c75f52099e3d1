package batching

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Job is the work of one stage of one request: a fixed number of pieces that
// may run in different calls.
type Job struct {
	RequestID string
	Service   string
	Stage     int
	// Key is the caller's piece key, set for stages without inputs.
	Key string
	// Inputs are the handles of the results that the stage takes as input.
	Inputs []string
	// Arrived is the time at which the job was queued.
	Arrived time.Time
	// Deadline is the time at which the caller gives up, Objective the time
	// from which the response counts as late.
	Deadline, Objective time.Time
	// Remaining is the expected time of the stages after this one.
	Remaining time.Duration
	Rank      site.Rank
	// Account is the account of the caller, empty if there is none.
	Account string
	Zone    string
	// ResultBytes is the size of the result of one piece.
	ResultBytes int64
	// InputBytes is the total size of all inputs.
	InputBytes int64
	// InputsExpire is the time at which the first of the inputs expires, zero if that is
	// not known.
	InputsExpire time.Time

	handles   []string
	pending   []int
	completed int
	calls     int

	// lane holds the job while pieces wait, in the tree of its kind, under a key with seq.
	lane *lane
	kind kind
	seq  uint64
}

// NewJob returns a Job of n pieces, none of which has run.
func NewJob(j Job, n int) *Job {
	j.handles = make([]string, n)
	j.pending = make([]int, n)
	for i := range j.pending {
		j.pending[i] = i
	}
	return &j
}

// Pieces returns the number of pieces.
func (j *Job) Pieces() int { return len(j.handles) }

// Handles returns the handles of the results, which the upstreams keep, in the
// order of the pieces. Pieces without a result have an empty handle.
func (j *Job) Handles() []string { return j.handles }

// Completed returns the handles of the results that exist, in the order of the
// pieces.
func (j *Job) Completed() []string {
	var out []string
	for _, h := range j.handles {
		if h != "" {
			out = append(out, h)
		}
	}
	return out
}

// Dispatched reports whether every piece is completed or part of a batch.
func (j *Job) Dispatched() bool { return len(j.pending) == 0 }

// Calls returns the number of batches that have contained pieces of the job.
func (j *Job) Calls() int { return j.calls }

// Piece is one piece of a job.
type Piece struct {
	Job   *Job
	Index int
}
