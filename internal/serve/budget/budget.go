package budget

import "sync"

// Budget is a balance of extra calls. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
	most    float64
}

// New returns a Budget that saves up to most extra calls and begins with all
// of them, so that the first failures of a quiet system can be retried.
func New(most float64) *Budget { return &Budget{balance: most, most: most} }

// Earn adds the share of an ordinary call.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.most, b.balance+share)
}

// Spend takes one extra call from the balance, if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
