// Package limit enforces the rate limits of client accounts across all entries.
//
// An entry leases chunks of an account's limit from the control instances and
// spends them locally. A chunk expires at the end of its window, counted from
// before it was requested; its unspent units are lost. Together the entries may
// serve less than a limit, never more.
//
// # Usage
//
//	l := limit.New(limit.Config{Entry: name, Ledger: client, Entries: entries})
//	err := l.Take(ctx, "dakgoot", rate) // a *refuse.Error when the limit is used up
package limit
