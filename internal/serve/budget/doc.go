// Package budget keeps extra work, such as retries and hedges, to a share of
// the ordinary work.
//
// # Usage
//
//	b := budget.New(10)
//	b.Earn(0.05)     // for each ordinary call
//	if b.Spend() { } // before an extra one
package budget
