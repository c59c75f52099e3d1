// Package quota grants portions of the accounts' rate limits to entry instances.
//
// A limit is enforced over fixed windows of the replicated clock, which advances
// with the committed commands. Granted units count as used until their window
// ends, even if the entry instance that holds them has failed. The fleet may
// therefore serve less than a limit, but never more.
//
// # Usage
//
//	q := quota.New()
//	units, expiresInMs := q.Grant(nowMs, "dakgoot", 100, 20)
package quota
