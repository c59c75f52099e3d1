// Package queue schedules calls on the slots of an upstream.
//
// Short and long calls wait in separate lanes, and long calls may hold only a
// share of the slots, so that short calls are not blocked behind them. Within a
// lane the call with the least slack is next. Slack is the time to the deadline
// less the expected service time, and decreases further the longer a call has
// waited. First come, first served is available as a baseline for comparison.
//
// # Usage
//
//	q := queue.New(queue.Config{Slots: 8, LongShare: 0.5})
//	q.Push(queue.Item{ID: 1, Lane: queue.Short, DeadlineUs: d, ServiceUs: s, ArrivedUs: now})
//	item, ok := q.Next(now)
//	q.Done(item.Lane)
package queue
