// Package ledger records the calls that may run at most once.
//
// A claim binds an idempotency key of an account to the digest of the input
// and to the one target that may run the call. The first claim of a key
// succeeds; a claim of the same key with another digest or service is a
// conflict. Each binding to a target is an attempt. An attempt ends as done, not
// run or unknown, and its first recorded outcome is final. A claim may be
// rebound to another target, and a key claimed again, only after proof that the
// previous attempt can never start.
//
// Each key contains the time at which it was created. Keys older than the
// retention period are removed and rejected from then on, so that a removed
// key cannot run a second time.
//
// # Usage
//
//	l := ledger.New()
//	result := l.Claim(index, nowMs, claim)
//	if result.Kind == statepb.ResultKind_RESULT_KIND_OK {
//		// result.Claim may be dispatched to its target
//	}
package ledger
