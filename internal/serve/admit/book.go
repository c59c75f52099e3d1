package admit

import (
	"fmt"
	"sync"
	"time"
)

const (
	// usableShare is the part of the deadline that the expected end may use.
	usableShare = 0.85
	// crowdedShare is the part of the deadline that a wait may take before
	// accounts are held to their shares.
	crowdedShare = 0.35
)

// Pool is one lane of a pool of upstreams.
type Pool struct {
	Name string
	// Long is set for the lane of long work.
	Long bool
}

// Stage is the work of one stage of a request.
type Stage struct {
	Pool Pool
	// ServiceUs is the expected service time.
	ServiceUs float64
}

// Request is a request that asks to be admitted. Its Stages must not change.
type Request struct {
	Account  string
	Weight   float64
	Deadline time.Duration
	Stages   []Stage

	done int
}

// Capacity returns the slots of a pool that this entry may count on.
type Capacity func(pool string) float64

// RefusedError refuses a request that could not end in time.
type RefusedError struct {
	// Wait is the expected wait.
	Wait time.Duration
	// Fair is set where the account holds its share of the work already.
	Fair bool
}

// Error names the remedy.
func (e *RefusedError) Error() string {
	if e.Fair {
		return fmt.Sprintf("the account holds its share of a crowded fleet (expected wait %v); try again later", e.Wait)
	}
	return fmt.Sprintf("the request cannot end before its deadline (expected wait %v); try again later or allow more time", e.Wait)
}

// Book counts the work of the admitted requests. It is safe for concurrent
// use.
type Book struct {
	mu      sync.Mutex
	ahead   map[Pool]float64
	held    map[string]float64
	weights map[string]float64
	open    map[string]int
}

// NewBook returns a Book without requests.
func NewBook() *Book {
	return &Book{
		ahead:   make(map[Pool]float64),
		held:    make(map[string]float64),
		weights: make(map[string]float64),
		open:    make(map[string]int),
	}
}

// laneSlots is the part of a pool's slots that serves a lane. Long work has its
// share of them; short work has all that long work does not hold.
func (b *Book) laneSlots(p Pool, slots, longShare float64) float64 {
	if p.Long {
		return slots * longShare
	}
	if b.ahead[Pool{Name: p.Name, Long: true}] > 0 {
		return slots * (1 - longShare)
	}
	return slots
}

// Admit takes a request, or returns a *RefusedError. Long work may hold
// longShare of the slots.
func (b *Book) Admit(r *Request, longShare float64, capacity Capacity) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	service, wait := 0.0, 0.0
	for _, s := range r.Stages {
		service += s.ServiceUs
		if slots := b.laneSlots(s.Pool, capacity(s.Pool.Name), longShare); slots > 0 {
			wait = max(wait, b.ahead[s.Pool]/slots)
		}
	}
	deadline := float64(r.Deadline.Microseconds())
	expected := time.Duration(wait) * time.Microsecond
	if wait+service > usableShare*deadline {
		return &RefusedError{Wait: expected}
	}
	if wait > crowdedShare*deadline && b.overShare(r, service) {
		return &RefusedError{Wait: expected, Fair: true}
	}
	b.take(r, service)
	return nil
}

// overShare reports whether the account would hold more than its weighted
// share of the work, among the accounts that have work.
func (b *Book) overShare(r *Request, service float64) bool {
	weights, total := 0.0, 0.0
	for account, held := range b.held {
		total += held
		if account != r.Account && held > 0 {
			weights += b.weights[account]
		}
	}
	if weights == 0 {
		return false
	}
	share := r.Weight / (r.Weight + weights)
	return b.held[r.Account]+service > share*(total+service)
}

func (b *Book) take(r *Request, service float64) {
	for _, s := range r.Stages {
		b.ahead[s.Pool] += s.ServiceUs
	}
	b.held[r.Account] += service
	b.weights[r.Account] = r.Weight
	b.open[r.Account]++
}

// StageDone takes the stages up to and including stage off the books.
func (b *Book) StageDone(r *Request, stage int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(r, stage+1)
}

func (b *Book) release(r *Request, to int) {
	for ; r.done < to && r.done < len(r.Stages); r.done++ {
		s := r.Stages[r.done]
		b.ahead[s.Pool] = max(0, b.ahead[s.Pool]-s.ServiceUs)
		b.held[r.Account] = max(0, b.held[r.Account]-s.ServiceUs)
	}
}

// Leave takes a request off the books, however it ended.
func (b *Book) Leave(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(r, len(r.Stages))
	b.open[r.Account]--
	if b.open[r.Account] <= 0 {
		delete(b.open, r.Account)
		delete(b.held, r.Account)
		delete(b.weights, r.Account)
	}
}
