package fsm

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/state/fence"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/state/quota"
	"hawthornhub.example/hawthornhub/internal/state/starts"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const dayMs = int64(24 * time.Hour / time.Millisecond)

// countKey identifies the calls of a service by an account on one UTC day, which
// is given in days since the Unix epoch.
type countKey struct {
	service, account string
	day              int64
}

// callCount counts the claimed calls and those that the insurer's conditions
// refused.
type callCount struct{ calls, refused uint64 }

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	// nowMs is the replicated clock in Unix milliseconds. It advances with the
	// times in the commands and never goes back.
	nowMs int64
	// applied is the log index of the last applied entry.
	applied  uint64
	ledger   *ledger.Ledger
	document *document.Store
	quota    *quota.Quota
	orders   *fence.Issuer
	counts   map[countKey]callCount
	// siteDocument is nil until the first one is committed.
	siteDocument *statepb.Adopted
	evacuations  *evacuation.State
	endedStarts  *starts.State
}

// New returns a Machine at log index 1 with the given document text.
func New(text string) (*Machine, error) {
	doc, err := document.NewStore(1, document.Split(text))
	if err != nil {
		return nil, err
	}
	return &Machine{
		applied:     1,
		ledger:      ledger.New(),
		document:    doc,
		quota:       quota.New(),
		orders:      &fence.Issuer{},
		counts:      make(map[countKey]callCount),
		evacuations: evacuation.Restore(nil),
		endedStarts: starts.Restore(nil),
	}, nil
}

// Restore returns a Machine with the state of a snapshot.
func Restore(state []byte) (*Machine, error) {
	s := &statepb.MachineState{}
	if err := proto.Unmarshal(state, s); err != nil {
		return nil, fmt.Errorf("decode snapshot of the state machine: %w; it may be from an incompatible version", err)
	}
	doc, err := document.RestoreStore(s.Document, s.Edits)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		nowMs:        s.NowMs,
		applied:      s.Applied,
		ledger:       ledger.Restore(s.WatermarkMs, s.Claims),
		document:     doc,
		quota:        quota.Restore(s.Windows),
		orders:       fence.Restore(s.Orders),
		counts:       make(map[countKey]callCount),
		siteDocument: s.Adopted,
		evacuations:  evacuation.Restore(s.Evacuations),
		endedStarts:  starts.Restore(s.EndedStarts),
	}
	for _, c := range s.Counts {
		m.counts[countKey{c.Service, c.Account, c.Day}] = callCount{calls: c.Calls, refused: c.Refused}
	}
	return m, nil
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &statepb.MachineState{
		NowMs:       m.nowMs,
		Applied:     m.applied,
		WatermarkMs: m.ledger.Watermark(),
		Claims:      m.ledger.All(),
		Document:    m.document.Document(),
		Edits:       m.document.Outcomes(),
		Windows:     m.quota.Windows(),
		Counts:      m.ServiceCounts(),
		Orders:      m.orders.All(),
		Adopted:     m.siteDocument,
		Evacuations: m.evacuations.Proto(),
		EndedStarts: m.endedStarts.Proto(),
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Apply applies one committed command and returns its result. A nil command
// changes nothing: it is the first entry of a leader's term, or a change of the
// voters.
func (m *Machine) Apply(index uint64, c *statepb.Command) *statepb.Result {
	m.applied = index
	if c == nil {
		return nil
	}
	m.nowMs = max(m.nowMs, c.NowMs)
	r := m.apply(index, c)
	r.Document = m.document.Index()
	return r
}

func (m *Machine) apply(index uint64, c *statepb.Command) *statepb.Result {
	switch body := c.Body.(type) {
	case *statepb.Command_Claim:
		return m.claim(index, body.Claim)
	case *statepb.Command_Rebind:
		return m.rebind(index, body.Rebind)
	case *statepb.Command_Resolve:
		return m.resolve(body.Resolve)
	case *statepb.Command_Edit:
		return m.document.Edit(index, m.nowMs, body.Edit)
	case *statepb.Command_Grant:
		return m.grant(body.Grant)
	case *statepb.Command_Order:
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Number: m.orders.Issue(index, m.nowMs, body.Order)}
	case *statepb.Command_Adopt:
		return m.adopt(index, body.Adopt)
	case *statepb.Command_Evacuate:
		return m.evacuations.Apply(index, body.Evacuate)
	case *statepb.Command_EndStart:
		return m.endedStarts.Apply(index, body.EndStart)
	case *statepb.Command_Sweep:
		return m.sweep()
	default:
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: "unknown command", Remedy: "bring the processes to one version"}
	}
}

// claim checks the insurer's conditions and counts the call here, in log order,
// so that concurrent claims cannot exceed a daily limit.
func (m *Machine) claim(index uint64, c *statepb.Claim) *statepb.Result {
	if r := m.ledger.Check(m.nowMs, c); r.Kind != statepb.ResultKind_RESULT_KIND_OK {
		return r
	}
	if r := m.checkConditions(c.Service, c.Account, c.Target.GetZone(), true); r != nil {
		return r
	}
	key := m.countKey(c.Service, c.Account, m.nowMs)
	n := m.counts[key]
	n.calls++
	m.counts[key] = n
	return m.ledger.Claim(index, m.nowMs, c)
}

// checkConditions returns and counts a refusal if the insurer's conditions do not
// allow the call, else nil. newCall is set for a call that is not counted yet.
func (m *Machine) checkConditions(service, account, zone string, newCall bool) *statepb.Result {
	cond, ok := m.document.Schema().Insurer.Services[service]
	if !ok {
		return nil
	}
	key := m.countKey(service, account, m.nowMs)
	n := m.counts[key]
	reason, remedy := violation(cond, m.nowMs, zone, newCall, n.calls)
	if reason == "" {
		return nil
	}
	n.refused++
	m.counts[key] = n
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_REFUSED, Detail: reason, Remedy: remedy}
}

// violation returns the condition that a call violates and a remedy, or empty
// strings. The daily limit applies to new calls only.
func violation(cond document.Condition, nowMs int64, zone string, newCall bool, calls uint64) (reason, remedy string) {
	hour := int(nowMs % dayMs / int64(time.Hour/time.Millisecond))
	switch {
	case cond.Stopped:
		return "the service is stopped by the insurer's conditions", "wait until it is released"
	case len(cond.Zones) > 0 && !slices.Contains(cond.Zones, zone):
		return "the service may not run in zone " + zone, "use an upstream in an allowed zone"
	case cond.ToHour > 0 && (hour < cond.FromHour || hour >= cond.ToHour):
		return "the service may not run at this hour", "call again within the allowed hours of UTC"
	case newCall && cond.DailyLimit > 0 && calls >= cond.DailyLimit:
		return "the account's calls of the service for the day are used up", "call again on the next day of UTC"
	default:
		return "", ""
	}
}

// rebind checks the insurer's conditions again, since the new target may be in
// another zone. The call was counted when it was claimed.
func (m *Machine) rebind(index uint64, r *statepb.Rebind) *statepb.Result {
	claim := m.ledger.Get(r.Account, r.Key)
	if claim != nil {
		if refusal := m.checkConditions(claim.Service, claim.Account, r.Target.GetZone(), false); refusal != nil {
			return refusal
		}
	}
	return m.ledger.Rebind(index, r)
}

// resolve records an outcome. A call that did not run no longer counts towards
// the daily limit.
func (m *Machine) resolve(r *statepb.Resolve) *statepb.Result {
	out := m.ledger.Resolve(r)
	if out.Kind != statepb.ResultKind_RESULT_KIND_OK || r.Outcome != statepb.Outcome_OUTCOME_NOT_RUN {
		return out
	}
	key := m.countKey(out.Claim.Service, out.Claim.Account, out.Claim.ClaimedMs)
	if n := m.counts[key]; n.calls > 0 {
		n.calls--
		m.counts[key] = n
	}
	return out
}

func (m *Machine) countKey(service, account string, ms int64) countKey {
	return countKey{service: service, account: account, day: ms / dayMs}
}

func (m *Machine) grant(g *statepb.Grant) *statepb.Result {
	account, ok := m.document.Schema().Accounts[g.Account]
	if !ok {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_FORBIDDEN, Detail: "unknown account", Remedy: "add the account to the document"}
	}
	units, expiresInMs := m.quota.Grant(m.nowMs, g.Account, account.Rate, g.Units)
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Units: units, ExpiresInMs: expiresInMs}
}

// sweep removes expired keys from the ledger, and the counts of days that are
// older than the ledger's retention period.
func (m *Machine) sweep() *statepb.Result {
	n := m.ledger.RemoveExpired(m.nowMs)
	oldestDay := (m.nowMs - ledger.Retention.Milliseconds()) / dayMs
	for k := range m.counts {
		if k.day < oldestDay {
			delete(m.counts, k)
		}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Units: uint64(n)}
}

// ServiceCounts returns the call counts that the insurer's conditions limit,
// sorted by day, service and account.
func (m *Machine) ServiceCounts() []*statepb.ServiceCount {
	out := make([]*statepb.ServiceCount, 0, len(m.counts))
	for k, n := range m.counts {
		out = append(out, &statepb.ServiceCount{Service: k.service, Account: k.account, Day: k.day, Calls: n.calls, Refused: n.refused})
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Day != b.Day {
			return a.Day < b.Day
		}
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Account < b.Account
	})
	return out
}
