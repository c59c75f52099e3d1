package budget

import "sync"

// Budget is a token bucket of extra calls that regular calls refill. It is safe
// for concurrent use.
type Budget struct {
	mu       sync.Mutex
	balance  float64
	capacity float64
}

// New returns a Budget that holds at most capacity extra calls. It starts full,
// so that the first failures of an idle system can be retried.
func New(capacity float64) *Budget { return &Budget{balance: capacity, capacity: capacity} }

// Deposit adds the share of extra calls that a regular call allows.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.capacity, b.balance+share)
}

// TryWithdraw takes one extra call from the balance. It reports whether the
// balance allowed it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
