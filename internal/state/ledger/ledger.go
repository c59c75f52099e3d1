package ledger

import (
	"bytes"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// Retention is how long a key is remembered.
	Retention = 24 * time.Hour
	// FutureSkew is how far ahead of the ledger's clock a key may be.
	FutureSkew = 5 * time.Minute
	// MaxResultBytes is the greatest result that is kept for a key.
	MaxResultBytes = 64 << 10
)

// ID identifies a claim.
type ID struct{ Account, Key string }

// Ledger is the set of claims. It is not safe for concurrent use.
type Ledger struct {
	claims    map[ID]*statepb.ClaimState
	watermark int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{claims: make(map[ID]*statepb.ClaimState)}
}

// Restore returns a ledger with the given content.
func Restore(watermark int64, claims []*statepb.ClaimState) *Ledger {
	l := New()
	l.watermark = watermark
	for _, c := range claims {
		l.claims[ID{c.Account, c.Key}] = c
	}
	return l
}

// Check answers a claim without recording it: OK where Claim would record it.
func (l *Ledger) Check(nowMs int64, c *statepb.Claim) *statepb.Result {
	ms, err := KeyTime(c.Key)
	if err != nil {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: err.Error(), Remedy: "send a key that carries its time"}
	}
	if have := l.claims[ID{c.Account, c.Key}]; have != nil {
		return answerExisting(have, c)
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

func answerExisting(have *statepb.ClaimState, c *statepb.Claim) *statepb.Result {
	if !bytes.Equal(have.Digest, c.Digest) || have.Service != c.Service {
		return &statepb.Result{
			Kind:   statepb.ResultKind_RESULT_KIND_CONFLICT,
			Detail: "the key was used with another input",
			Remedy: "send a new key for a new call",
		}
	}
	if have.Outcome == statepb.Outcome_OUTCOME_NOT_RUN {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(have)}
}

// Claim records a claim whose Check is OK, at a log index and under a new
// attempt.
func (l *Ledger) Claim(index uint64, nowMs int64, c *statepb.Claim) *statepb.Result {
	if r := l.Check(nowMs, c); r.Kind != statepb.ResultKind_RESULT_KIND_OK {
		return r
	}
	id := ID{c.Account, c.Key}
	attempt := l.claims[id].GetTarget().GetAttempt() + 1
	ms, _ := KeyTime(c.Key)
	have := &statepb.ClaimState{
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
	l.claims[id] = have
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(have)}
}

// Rebind moves an unfinished claim to a new target under the next attempt. The
// caller holds proof that the former attempt can never start.
func (l *Ledger) Rebind(index uint64, r *statepb.Rebind) *statepb.Result {
	have := l.claims[ID{r.Account, r.Key}]
	if have == nil {
		return missing()
	}
	if have.Outcome != statepb.Outcome_OUTCOME_CLAIMED || have.Target.GetAttempt() != r.FromAttempt {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(have)}
	}
	next := clone(have)
	next.Target = withAttempt(r.Target, r.FromAttempt+1)
	next.Index = index
	l.claims[ID{r.Account, r.Key}] = next
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(next)}
}

// Resolve records the outcome of an attempt. A recorded outcome stands. A
// result over MaxResultBytes is not kept, and the claim says so.
func (l *Ledger) Resolve(r *statepb.Resolve) *statepb.Result {
	have := l.claims[ID{r.Account, r.Key}]
	if have == nil {
		return missing()
	}
	if have.Outcome != statepb.Outcome_OUTCOME_CLAIMED || have.Target.GetAttempt() != r.Attempt {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_EXISTS, Claim: clone(have)}
	}
	next := clone(have)
	next.Outcome = r.Outcome
	next.Oversized = len(r.Result) > MaxResultBytes
	if !next.Oversized {
		next.Result = r.Result
	}
	l.claims[ID{r.Account, r.Key}] = next
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Claim: clone(next)}
}

// Retire forgets the keys that are older than the retention at nowMs and
// returns how many there were.
func (l *Ledger) Retire(nowMs int64) int {
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

// Get returns the record of a key, or nil.
func (l *Ledger) Get(account, key string) *statepb.ClaimState {
	have := l.claims[ID{account, key}]
	if have == nil {
		return nil
	}
	return clone(have)
}

// Len returns the number of remembered keys.
func (l *Ledger) Len() int { return len(l.claims) }

// Watermark returns the time in Unix milliseconds before which keys are
// refused.
func (l *Ledger) Watermark() int64 { return l.watermark }

// All returns the records in the order of account and key.
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

func missing() *statepb.Result {
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
