// Package budget limits extra work, such as retries and hedges, to a share of
// the regular work.
//
// # Usage
//
//	b := budget.New(10)
//	b.Deposit(0.05)        // for each regular call
//	if b.TryWithdraw() { } // before an extra call
package budget
