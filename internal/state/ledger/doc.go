// Package ledger records the calls that may run at most once.
//
// A claim names an account, an idempotency key, the digest of the input and
// the one target that may run it. The first claim of a key wins; the same key
// with another digest is a conflict. An attempt ends as done, not run or
// unknown, and the first recorded outcome of an attempt stands. Only after
// proof that an attempt can never start may the claim be bound to another
// target, or the key be claimed again.
//
// Each key carries the time at which it was made. Keys older than the
// retention are forgotten and refused from then on, so that a forgotten key
// cannot run a second time.
//
// # Usage
//
//	l := ledger.New()
//	result := l.Claim(index, nowMs, claim)
//	if result.Kind == statepb.ResultKind_RESULT_KIND_OK {
//		// result.Claim may be dispatched to its target
//	}
package ledger
