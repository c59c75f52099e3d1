// Package membudget divides the memory that an entry holds for its callers: one limit in
// bytes for everything, shared fairly by account.
//
// Half of the limit is guaranteed, in equal parts, to the accounts that the site document
// has. The other half is lent. While more than half of it is taken, the budget is tight,
// and an account whose use would exceed its equal share of the limit, divided by the
// accounts that hold something, gets nothing more. What is reserved is never taken back,
// so a share can be promised at any moment only if it is not lent; that is why a part is
// guaranteed.
//
// The package has no clock and does no I/O.
//
// # Usage
//
//	b := membudget.New(16 << 20)
//	b.SetAccounts(3)
//	h := b.Hold("acme")
//	defer h.Close()
//	if err := h.Resize(4096); err != nil { // a *FullError
//		...
//	}
package membudget
