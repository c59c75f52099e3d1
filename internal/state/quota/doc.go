// Package quota grants the accounts' limits to entries in chunks.
//
// A limit is counted in fixed windows of the replicated clock. What was
// granted stays spent until its window ends, whether or not the entry that
// holds it lives: the fleet may serve less than a limit, never more.
//
// # Usage
//
//	q := quota.New()
//	units, expires := q.Grant(nowMs, "dakgoot", 100, 20)
package quota
