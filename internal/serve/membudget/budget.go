package membudget

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
)

const (
	// guaranteedRatio divides the limit: one of so many parts is guaranteed, the rest lent.
	guaranteedRatio = 2
	// tightRatio divides what can be lent: the budget is tight while less than one of so
	// many parts is left.
	tightRatio = 2
	// spareRatio divides what is guaranteed to an account: one of so many parts is left by
	// holds that leave a spare.
	spareRatio = 4
)

// Budget is the memory of one process. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	// guaranteed is what each account gets in any case.
	guaranteed int64
	used       int64
	// lent is what the accounts hold beyond guaranteed, in sum.
	lent     int64
	accounts map[string]int64
}

// New returns a Budget of limit bytes for one account.
func New(limit int64) *Budget {
	b := &Budget{limit: max(0, limit), accounts: make(map[string]int64)}
	b.SetAccounts(1)
	return b
}

// SetAccounts sets the number of accounts between which the guaranteed part is divided.
// What is held stays held.
func (b *Budget) SetAccounts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guaranteed = b.limit / guaranteedRatio / int64(max(1, n))
	b.lent = 0
	for _, used := range b.accounts {
		b.lent += b.excess(used)
	}
}

// excess returns the part of an account's use that is lent.
func (b *Budget) excess(used int64) int64 { return max(0, used-b.guaranteed) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reserve takes n bytes for an account, all or nothing. Its error is a *FullError.
func (b *Budget) Reserve(account string, n int64) error { return b.reserve(account, n, false) }

// reserve takes n bytes. If spare is set, it does so only if a spareRatio-th of what is
// guaranteed to the account could be taken after it.
func (b *Budget) reserve(account string, n int64, spare bool) error {
	if n <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	used, left := b.accounts[account], int64(0)
	if spare {
		left = b.guaranteed / spareRatio
	}
	if n > b.limit || !b.fits(used, n+left) {
		return &FullError{Account: account, Wanted: n, Used: used, Share: b.share(used)}
	}
	b.lent += b.excess(used+n) - b.excess(used)
	b.accounts[account] = used + n
	b.used += n
	return nil
}

// fits reports whether an account that holds used bytes may have n more.
func (b *Budget) fits(used, n int64) bool {
	if n > b.limit-b.used {
		return false
	}
	after := used + n
	if after <= b.guaranteed {
		return true
	}
	lendable := b.limit - b.limit/guaranteedRatio
	left := lendable - (b.lent + b.excess(after) - b.excess(used))
	if left < 0 {
		return false
	}
	return left >= lendable/tightRatio || after <= b.share(used)
}

// share returns the equal share of an account that holds used bytes.
func (b *Budget) share(used int64) int64 {
	n := len(b.accounts)
	if used == 0 {
		n++
	}
	return max(b.guaranteed, b.limit/int64(n))
}

// Release gives back n bytes that were reserved for an account.
func (b *Budget) Release(account string, n int64) {
	if n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	used := b.accounts[account]
	if n > used {
		panic(fmt.Sprintf("membudget: account %q gives back %d bytes of %d; release each reservation once", account, n, used))
	}
	b.lent += b.excess(used-n) - b.excess(used)
	b.used -= n
	if used == n {
		delete(b.accounts, account)
		return
	}
	b.accounts[account] = used - n
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Excess is what an account holds above its equal share.
type Excess struct {
	Account string
	Bytes   int64
}

// Above returns the accounts that hold more than their equal share, at most n, the largest
// first.
func (b *Budget) Above(n int) []Excess {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Excess
	for account, used := range b.accounts {
		if over := used - b.share(used); over > 0 {
			out = append(out, Excess{Account: account, Bytes: over})
		}
	}
	slices.SortFunc(out, func(x, y Excess) int {
		return cmp.Or(cmp.Compare(y.Bytes, x.Bytes), cmp.Compare(x.Account, y.Account))
	})
	return out[:min(n, len(out))]
}

// FullError reports that an account gets no more memory at the moment.
type FullError struct {
	Account string
	// Wanted, Used and Share are in bytes.
	Wanted, Used, Share int64
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes of the account: it holds %d, its share is %d; send again later, or read answers faster", e.Wanted, e.Used, e.Share)
}

// Hold is what one request or answer holds. It is not safe for concurrent use.
type Hold struct {
	budget  *Budget
	account string
	bytes   int64
	// spare is set if the hold leaves a part to the others of its account.
	spare bool
}

// HoldSparing returns a Hold of no bytes that leaves a part of what is guaranteed to its
// account to holds of the other kind. It is for what can do without more memory.
func (b *Budget) HoldSparing(account string) *Hold {
	return &Hold{budget: b, account: account, spare: true}
}

// Hold returns a Hold of no bytes for an account.
func (b *Budget) Hold(account string) *Hold { return &Hold{budget: b, account: account} }

// Bytes returns the number of bytes that are held.
func (h *Hold) Bytes() int64 { return h.bytes }

// Resize changes the number of bytes that are held to n. On error, a *FullError, it
// changes nothing. To hold less always succeeds.
func (h *Hold) Resize(n int64) error {
	if n > h.bytes {
		if err := h.budget.reserve(h.account, n-h.bytes, h.spare); err != nil {
			return err
		}
	} else {
		h.budget.Release(h.account, h.bytes-n)
	}
	h.bytes = n
	return nil
}

// Close gives everything back.
func (h *Hold) Close() {
	h.budget.Release(h.account, h.bytes)
	h.bytes = 0
}
