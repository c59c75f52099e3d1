package admit

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxDeadlineShare is the share of the time until the deadline that the
	// expected wait and service time may use.
	maxDeadlineShare = 0.85
	// fairShareWait is the share of the time until the deadline that the expected
	// wait may take before fair sharing between accounts is enforced.
	fairShareWait = 0.35
)

// Lane identifies one lane of a pool of upstreams. Short and long work wait in
// separate lanes.
type Lane struct {
	Pool string
	// Long is set for the lane of long work.
	Long bool
}

// Stage is the work of one stage of a request.
type Stage struct {
	Lane Lane
	// ServiceUs is the expected service time in microseconds.
	ServiceUs float64
}

// Request is a request for admission. Its Stages must not change.
type Request struct {
	Account string
	// Weight is the weight of the account in fair sharing.
	Weight float64
	// UntilDeadline is the time left until the deadline.
	UntilDeadline time.Duration
	Stages        []Stage

	// released is the number of stages that no longer count as outstanding.
	released int
}

// Capacity returns the number of slots of a pool that are available to this
// entry.
type Capacity func(pool string) float64

// RefusedError reports that a request was not admitted.
type RefusedError struct {
	// Wait is the expected wait.
	Wait time.Duration
	// OverShare is set if the account already holds its share of the work.
	OverShare bool
}

// Error returns the reason and the remedy.
func (e *RefusedError) Error() string {
	if e.OverShare {
		return fmt.Sprintf("the account holds its share of a crowded fleet (expected wait %v); try again later", e.Wait)
	}
	return fmt.Sprintf("the request cannot end before its deadline (expected wait %v); try again later or allow more time", e.Wait)
}

// Controller tracks the outstanding work of admitted requests. It is safe for
// concurrent use.
type Controller struct {
	mu sync.Mutex
	// pendingUs holds the outstanding service time by lane.
	pendingUs map[Lane]float64
	// heldUs holds the outstanding service time by account.
	heldUs map[string]float64
	// weights and open hold the weight and the number of admitted requests of
	// each account with open requests.
	weights map[string]float64
	open    map[string]int
}

// NewController returns a Controller without requests.
func NewController() *Controller {
	return &Controller{
		pendingUs: make(map[Lane]float64),
		heldUs:    make(map[string]float64),
		weights:   make(map[string]float64),
		open:      make(map[string]int),
	}
}

// laneSlots returns the number of slots of a pool that serve a lane. Long work
// gets its share of them. Short work gets the rest, or all if there is no long
// work.
func (c *Controller) laneSlots(lane Lane, slots, longShare float64) float64 {
	if lane.Long {
		return slots * longShare
	}
	if c.pendingUs[Lane{Pool: lane.Pool, Long: true}] > 0 {
		return slots * (1 - longShare)
	}
	return slots
}

// Admit admits a request, or returns a *RefusedError. Long work may use at most
// longShare of the slots.
func (c *Controller) Admit(r *Request, longShare float64, capacity Capacity) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	serviceUs, waitUs := 0.0, 0.0
	for _, s := range r.Stages {
		serviceUs += s.ServiceUs
		if slots := c.laneSlots(s.Lane, capacity(s.Lane.Pool), longShare); slots > 0 {
			waitUs = max(waitUs, c.pendingUs[s.Lane]/slots)
		}
	}
	deadlineUs := float64(r.UntilDeadline.Microseconds())
	wait := time.Duration(waitUs) * time.Microsecond
	if waitUs+serviceUs > maxDeadlineShare*deadlineUs {
		return &RefusedError{Wait: wait}
	}
	if waitUs > fairShareWait*deadlineUs && c.overShare(r, serviceUs) {
		return &RefusedError{Wait: wait, OverShare: true}
	}
	c.add(r, serviceUs)
	return nil
}

// overShare reports whether the account would hold more than its weighted
// share of the work, among the accounts that have work.
func (c *Controller) overShare(r *Request, serviceUs float64) bool {
	weights, total := 0.0, 0.0
	for account, us := range c.heldUs {
		total += us
		if account != r.Account && us > 0 {
			weights += c.weights[account]
		}
	}
	if weights == 0 {
		return false
	}
	share := r.Weight / (r.Weight + weights)
	return c.heldUs[r.Account]+serviceUs > share*(total+serviceUs)
}

// add counts the stages of an admitted request as outstanding.
func (c *Controller) add(r *Request, serviceUs float64) {
	for _, s := range r.Stages {
		c.pendingUs[s.Lane] += s.ServiceUs
	}
	c.heldUs[r.Account] += serviceUs
	c.weights[r.Account] = r.Weight
	c.open[r.Account]++
}

// StageDone records that the stages up to and including stage have ended.
func (c *Controller) StageDone(r *Request, stage int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseStages(r, stage+1)
}

// releaseStages stops counting the first n stages of a request as outstanding.
func (c *Controller) releaseStages(r *Request, n int) {
	for ; r.released < n && r.released < len(r.Stages); r.released++ {
		s := r.Stages[r.released]
		c.pendingUs[s.Lane] = max(0, c.pendingUs[s.Lane]-s.ServiceUs)
		c.heldUs[r.Account] = max(0, c.heldUs[r.Account]-s.ServiceUs)
	}
}

// Release removes a request that has ended, with whatever result.
func (c *Controller) Release(r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseStages(r, len(r.Stages))
	c.open[r.Account]--
	if c.open[r.Account] <= 0 {
		delete(c.open, r.Account)
		delete(c.heldUs, r.Account)
		delete(c.weights, r.Account)
	}
}
