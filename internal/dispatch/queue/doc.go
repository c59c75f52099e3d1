// Package queue orders the calls that wait for an upstream's slots.
//
// Short and long calls wait in separate lanes, and long calls may hold only a
// share of the slots, so that short calls are not blocked behind them. Within
// a lane the call with the least slack goes first: the time to its deadline
// less its expected service time, lowered the longer it has waited. The first
// come, first served order is kept as a baseline.
//
// # Usage
//
//	q := queue.New(queue.Config{Slots: 8, LongShare: 0.5})
//	q.Push(queue.Item{ID: 1, Lane: queue.Short, DeadlineUs: d, ServiceUs: s, ArrivedUs: now})
//	item, ok := q.Next(now)
//	q.Done(item.Lane)
package queue
