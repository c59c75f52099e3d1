package fsm

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/state/fence"
	"hawthornhub.example/hawthornhub/internal/state/ledger"
	"hawthornhub.example/hawthornhub/internal/state/quota"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const dayMs = int64(24 * time.Hour / time.Millisecond)

type countKey struct {
	service, account string
	day              int64
}

type count struct{ calls, refused uint64 }

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	nowMs   int64
	applied uint64
	ledger  *ledger.Ledger
	book    *document.Store
	quota   *quota.Quota
	orders  *fence.Issuer
	counts  map[countKey]count
	// adopted is the site document, nil for none.
	adopted *statepb.Adopted
}

// New returns a Machine whose document is text, at index 1.
func New(text string) (*Machine, error) {
	book, err := document.NewStore(1, document.Split(text))
	if err != nil {
		return nil, err
	}
	return &Machine{
		applied: 1,
		ledger:  ledger.New(),
		book:    book,
		quota:   quota.New(),
		orders:  &fence.Issuer{},
		counts:  make(map[countKey]count),
	}, nil
}

// Restore returns the Machine of a snapshot.
func Restore(state []byte) (*Machine, error) {
	s := &statepb.MachineState{}
	if err := proto.Unmarshal(state, s); err != nil {
		return nil, fmt.Errorf("decode machine state: %w; the snapshot is of another version", err)
	}
	book, err := document.RestoreStore(s.Document, s.Edits)
	if err != nil {
		return nil, err
	}
	m := &Machine{
		nowMs:   s.NowMs,
		applied: s.Applied,
		ledger:  ledger.Restore(s.WatermarkMs, s.Claims),
		book:    book,
		quota:   quota.Restore(s.Windows),
		orders:  fence.Restore(s.Orders),
		counts:  make(map[countKey]count),
		adopted: s.Adopted,
	}
	for _, c := range s.Counts {
		m.counts[countKey{c.Service, c.Account, c.Day}] = count{calls: c.Calls, refused: c.Refused}
	}
	return m, nil
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) {
	s := &statepb.MachineState{
		NowMs:       m.nowMs,
		Applied:     m.applied,
		WatermarkMs: m.ledger.Watermark(),
		Claims:      m.ledger.All(),
		Document:    m.book.Document(),
		Edits:       m.book.Outcomes(),
		Windows:     m.quota.Windows(),
		Counts:      m.Counts(),
		Orders:      m.orders.All(),
		Adopted:     m.adopted,
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(s)
}

// Apply carries out one committed command. A nil command is the first entry
// of a term and changes nothing.
func (m *Machine) Apply(index uint64, c *statepb.Command) *statepb.Result {
	m.applied = index
	if c == nil {
		return nil
	}
	m.nowMs = max(m.nowMs, c.NowMs)
	r := m.apply(index, c)
	r.Document = m.book.Index()
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
		return m.book.Edit(index, m.nowMs, body.Edit)
	case *statepb.Command_Grant:
		return m.grant(body.Grant)
	case *statepb.Command_Order:
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Number: m.orders.Issue(index, m.nowMs, body.Order)}
	case *statepb.Command_Adopt:
		return m.adopt(index, body.Adopt)
	case *statepb.Command_Sweep:
		return m.sweep()
	default:
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_INVALID, Detail: "unknown command", Remedy: "bring the processes to one version"}
	}
}

func (m *Machine) claim(index uint64, c *statepb.Claim) *statepb.Result {
	if r := m.ledger.Check(m.nowMs, c); r.Kind != statepb.ResultKind_RESULT_KIND_OK {
		return r
	}
	if r := m.condition(c.Service, c.Account, c.Target.GetZone(), true); r != nil {
		return r
	}
	key := m.countKey(c.Service, c.Account, m.nowMs)
	n := m.counts[key]
	n.calls++
	m.counts[key] = n
	return m.ledger.Claim(index, m.nowMs, c)
}

// condition returns the refusal of a call that the insurer does not allow.
func (m *Machine) condition(service, account, zone string, counted bool) *statepb.Result {
	cond, ok := m.book.Schema().Insurer.Services[service]
	if !ok {
		return nil
	}
	key := m.countKey(service, account, m.nowMs)
	n := m.counts[key]
	why, remedy := violated(cond, m.nowMs, zone, counted, n.calls)
	if why == "" {
		return nil
	}
	n.refused++
	m.counts[key] = n
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_REFUSED, Detail: why, Remedy: remedy}
}

// violated names the condition that a call breaks, or nothing.
func violated(cond document.Condition, nowMs int64, zone string, counted bool, calls uint64) (why, remedy string) {
	hour := int(nowMs % dayMs / int64(time.Hour/time.Millisecond))
	switch {
	case cond.Stopped:
		return "the service is stopped by the insurer's conditions", "wait until it is released"
	case len(cond.Zones) > 0 && !slices.Contains(cond.Zones, zone):
		return "the service may not run in zone " + zone, "use an upstream in an allowed zone"
	case cond.ToHour > 0 && (hour < cond.FromHour || hour >= cond.ToHour):
		return "the service may not run at this hour", "call again within the allowed hours of UTC"
	case counted && cond.DailyLimit > 0 && calls >= cond.DailyLimit:
		return "the account's calls of the service for the day are used up", "call again on the next day of UTC"
	default:
		return "", ""
	}
}

func (m *Machine) rebind(index uint64, r *statepb.Rebind) *statepb.Result {
	have := m.ledger.Get(r.Account, r.Key)
	if have != nil {
		if refusal := m.condition(have.Service, have.Account, r.Target.GetZone(), false); refusal != nil {
			return refusal
		}
	}
	return m.ledger.Rebind(index, r)
}

// resolve records an outcome; a call that did not run is not counted.
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
	account, ok := m.book.Schema().Accounts[g.Account]
	if !ok {
		return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_FORBIDDEN, Detail: "unknown account", Remedy: "add the account to the document"}
	}
	units, expires := m.quota.Grant(m.nowMs, g.Account, account.Rate, g.Units)
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Units: units, ExpiresInMs: expires}
}

func (m *Machine) sweep() *statepb.Result {
	n := m.ledger.RemoveExpired(m.nowMs)
	oldest := (m.nowMs - ledger.Retention.Milliseconds()) / dayMs
	for k := range m.counts {
		if k.day < oldest {
			delete(m.counts, k)
		}
	}
	return &statepb.Result{Kind: statepb.ResultKind_RESULT_KIND_OK, Units: uint64(n)}
}

// Counts returns the insurer's counts in a fixed order.
func (m *Machine) Counts() []*statepb.ServiceCount {
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
