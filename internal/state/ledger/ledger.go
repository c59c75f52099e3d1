package ledger

import (
	"bytes"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// Retention is the age up to which keys are kept.
	Retention = 24 * time.Hour
	// FutureSkew is how far the time in a key may be ahead of the replicated
	// clock, to allow for skew of the caller's clock.
	FutureSkew = 5 * time.Minute
	// MaxResultBytes is the maximum size of a result that is kept for a key.
	MaxResultBytes = 64 << 10
)

// ID identifies a claim.
type ID struct{ Account, Key string }

// Ledger holds the claims. It is part of the replicated state and not safe for
// concurrent use.
type Ledger struct {
	claims map[ID]*statepb.ClaimState
	// watermark is the time in Unix milliseconds before which keys are
	// rejected. It never decreases.
	watermark int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{claims: make(map[ID]*statepb.ClaimState)}
}

// Restore returns a ledger with the watermark and the claims of a snapshot.
func Restore(watermark int64, claims []*statepb.ClaimState) *Ledger {
	l := New()
	l.watermark = watermark
	for _, c := range claims {
		l.claims[ID{c.Account, c.Key}] = c
	}
	return l
}

// Check returns the result of a claim without recording it. The result is OK if
// Claim would record the claim.
func (l *Ledger) Check(nowMs int64, c *statepb.Claim) *statepb.Result {
	ms, err := KeyTime(c.Key)
	if err != nil {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: err.Error(), Remedy: "send a key that carries its time"}
	}
	if existing := l.claims[ID{c.Account, c.Key}]; existing != nil {
		return checkExisting(existing, c)
	}
	if ms < l.watermark || ms < nowMs-Retention.Milliseconds() {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_EXPIRED,
			Detail: "the key is older than the ledger remembers",
			Remedy: "look the outcome up with the service itself; a new key is a new call",
		}
	}
	if ms > nowMs+FutureSkew.Milliseconds() {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_INVALID,
			Detail: "the key's time is in the future",
			Remedy: "correct the caller's clock and send a new key",
		}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK}
}

// checkExisting returns the result of a claim whose key was claimed before. The
// key may be claimed again if the recorded attempt has not run and never will.
func checkExisting(existing *statepb.ClaimState, c *statepb.Claim) *statepb.Result {
	if !bytes.Equal(existing.Digest, c.Digest) || existing.Service != c.Service {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_CONFLICT,
			Detail: "the key was used with another input",
			Remedy: "send a new key for a new call",
		}
	}
	if existing.Outcome == statepb.Outcome_OUTCOME_NOT_RUN {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(existing)}
}

// Claim records a claim that was committed at a log index, as a new attempt. It
// records nothing unless Check returns OK.
func (l *Ledger) Claim(index uint64, nowMs int64, c *statepb.Claim) *statepb.Result {
	if r := l.Check(nowMs, c); r.Kind != statepb.ResultKind_RESULT_KIND_OK {
		return r
	}
	id := ID{c.Account, c.Key}
	attempt := l.claims[id].GetTarget().GetAttempt() + 1
	ms, _ := KeyTime(c.Key)
	claim := &statepb.ClaimState{
		Account:   c.Account,
		Key:       c.Key,
		Digest:    c.Digest,
		Service:   c.Service,
		Request:   c.Request,
		Target:    withAttempt(c.Target, attempt),
		Outcome:   statepb.Outcome_OUTCOME_CLAIMED,
		KeyMs:     ms,
		Owner:     c.Owner,
		ClaimedMs: nowMs,
		Index:     index,
	}
	l.claims[id] = claim
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(claim)}
}

// Rebind binds a claim without an outcome to a new target, as the next attempt.
// The caller must have proof that the previous attempt can never start.
func (l *Ledger) Rebind(index uint64, r *statepb.Rebind) *statepb.Result {
	existing := l.claims[ID{r.Account, r.Key}]
	if existing == nil {
		return noClaim()
	}
	if existing.Outcome != statepb.Outcome_OUTCOME_CLAIMED || existing.Target.GetAttempt() != r.FromAttempt {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(existing)}
	}
	next := clone(existing)
	next.Target = withAttempt(r.Target, r.FromAttempt+1)
	next.Index = index
	l.claims[ID{r.Account, r.Key}] = next
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(next)}
}

// Resolve records the outcome of an attempt. It does not change an outcome that
// is already recorded. A result larger than MaxResultBytes is not kept, and the
// claim is marked as oversized.
func (l *Ledger) Resolve(r *statepb.Resolve) *statepb.Result {
	existing := l.claims[ID{r.Account, r.Key}]
	if existing == nil {
		return noClaim()
	}
	if existing.Outcome != statepb.Outcome_OUTCOME_CLAIMED || existing.Target.GetAttempt() != r.Attempt {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(existing)}
	}
	next := clone(existing)
	next.Outcome = r.Outcome
	next.Oversized = len(r.Result) > MaxResultBytes
	if !next.Oversized {
		next.Result = r.Result
	}
	l.claims[ID{r.Account, r.Key}] = next
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(next)}
}

// RemoveExpired raises the watermark to nowMs minus Retention, removes the
// claims whose keys are older than it and returns their number.
func (l *Ledger) RemoveExpired(nowMs int64) int {
	l.watermark = max(l.watermark, nowMs-Retention.Milliseconds())
	n := 0
	for id, c := range l.claims {
		if c.KeyMs < l.watermark {
			delete(l.claims, id)
			n++
		}
	}
	return n
}

// Get returns a copy of the claim of a key, or nil if there is none.
func (l *Ledger) Get(account, key string) *statepb.ClaimState {
	existing := l.claims[ID{account, key}]
	if existing == nil {
		return nil
	}
	return clone(existing)
}

// Len returns the number of claims.
func (l *Ledger) Len() int { return len(l.claims) }

// Watermark returns the time in Unix milliseconds before which keys are
// rejected.
func (l *Ledger) Watermark() int64 { return l.watermark }

// All returns the claims, sorted by account and key.
func (l *Ledger) All() []*statepb.ClaimState {
	out := make([]*statepb.ClaimState, 0, len(l.claims))
	for _, c := range l.claims {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Account != out[j].Account {
			return out[i].Account < out[j].Account
		}
		return out[i].Key < out[j].Key
	})
	return out
}

func noClaim() *statepb.Result {
	return &statepb.Result{
		Kind:   statepb.ResultKind_RESULT_KIND_EXPIRED,
		Detail: "no claim under this key",
		Remedy: "claim the key first",
	}
}

func withAttempt(t *statepb.Target, attempt uint32) *statepb.Target {
	return &statepb.Target{Agent: t.GetAgent(), Incarnation: t.GetIncarnation(), Zone: t.GetZone(), Attempt: attempt}
}

func clone(c *statepb.ClaimState) *statepb.ClaimState {
	return proto.Clone(c).(*statepb.ClaimState)
}
