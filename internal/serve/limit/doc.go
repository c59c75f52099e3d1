// Package limit holds the accounts to their limits over all entries.
//
// An entry leases chunks of an account's limit from control and spends them
// locally. A chunk ends with its window, counted from before it was asked for;
// what is not spent by then is lost. Together the entries may serve less than
// a limit, never more.
//
// # Usage
//
//	l := limit.New(limit.Config{Entry: name, Ledger: client, Entries: entries})
//	err := l.Take(ctx, "dakgoot", rate) // a *refuse.Error when the limit is used up
package limit
