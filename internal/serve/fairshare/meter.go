package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// usageWindow is the time constant with which the measured work decays. It spans
	// several calls of the slowest batched services, so that the pieces of one request
	// do not change the standing of a small account.
	usageWindow = 5 * time.Second
	// updateInterval is the time for which the shares are kept. Computing them takes
	// time in proportion to the number of accounts.
	updateInterval = 50 * time.Millisecond
	// minCapacity is the fraction of the nominal capacity that is shared at least. It
	// bounds the error while the measured work is still that of an idle time.
	minCapacity = 0.5
	// negligible is the work in seconds below which an account is forgotten.
	negligible = 1e-4
)

// Standing is the position of an account towards its share. Work of a lower standing is
// served first within its rank.
type Standing int

const (
	// Below means that the account asks for at most its share.
	Below Standing = iota
	// Unmet means that the account asks for more than its share but has used less.
	Unmet
	// Above means that the account has used its share.
	Above
)

// Standings is the number of standings.
const Standings = int(Above) + 1

// String returns the name in logs and metrics.
func (s Standing) String() string {
	switch s {
	case Below:
		return "below"
	case Unmet:
		return "unmet"
	case Above:
		return "above"
	default:
		return "unknown"
	}
}

// work is an exponentially decaying sum of work in seconds.
type work struct {
	amount  float64
	updated time.Time
}

// at returns the sum at now.
func (w work) at(now time.Time) float64 {
	elapsed := now.Sub(w.updated)
	if w.amount == 0 || elapsed <= 0 {
		return w.amount
	}
	return w.amount * math.Exp(-elapsed.Seconds()/usageWindow.Seconds())
}

func (w *work) add(now time.Time, d time.Duration) {
	amount := w.at(now) + d.Seconds()
	if now.After(w.updated) {
		w.updated = now
	}
	w.amount = amount
}

// account is what a Meter knows of one account.
type account struct{ asked, used work }

// Meter measures the work of the accounts at one service. It is not safe for concurrent
// use.
type Meter struct {
	accounts map[string]*account
	used     work
	updated  time.Time
	// level is the share of each account in upstreams, +Inf if the capacity suffices.
	level   float64
	demands []float64
	// standings holds the accounts that are not Below.
	standings map[string]Standing
	version   uint64
}

// Version changes whenever a standing may have changed.
func (m *Meter) Version() uint64 { return m.version }

// NewMeter returns a Meter that has measured nothing.
func NewMeter() *Meter {
	return &Meter{accounts: make(map[string]*account), standings: make(map[string]Standing), level: math.Inf(1)}
}

func (m *Meter) account(name string) *account {
	a := m.accounts[name]
	if a == nil {
		a = &account{}
		m.accounts[name] = a
	}
	return a
}

// Ask records that an account asks for work, whether it is accepted or not.
func (m *Meter) Ask(now time.Time, name string, d time.Duration) { m.account(name).asked.add(now, d) }

// Use records that work of an account starts.
func (m *Meter) Use(now time.Time, name string, d time.Duration) {
	m.account(name).used.add(now, d)
	m.used.add(now, d)
}

// rate returns the average work per second that corresponds to a decaying sum.
func rate(sum float64) float64 { return sum / usageWindow.Seconds() }

// Update recomputes the shares, unless that was done within updateInterval. nominal is
// the capacity of the usable upstreams. queued is set if work waits for longer than the
// upstreams' present calls take: only then is what they have done lately taken for all
// that they can do.
func (m *Meter) Update(now time.Time, nominal float64, queued bool) {
	if since := now.Sub(m.updated); since >= 0 && since < updateInterval {
		return
	}
	m.updated = now
	capacity := max(rate(m.used.at(now)), nominal)
	if queued {
		capacity = max(rate(m.used.at(now)), minCapacity*nominal)
	}
	m.demands = m.demands[:0]
	for name, a := range m.accounts {
		asked := a.asked.at(now)
		if asked < negligible && a.used.at(now) < negligible {
			delete(m.accounts, name)
			continue
		}
		m.demands = append(m.demands, rate(asked))
	}
	m.level = Level(m.demands, capacity)
	if len(m.standings) > 0 || m.Scarce() {
		m.version++
	}
	clear(m.standings)
	if !m.Scarce() {
		return
	}
	for name, a := range m.accounts {
		switch {
		case rate(a.asked.at(now)) <= m.level:
		case rate(a.used.at(now)) < m.level:
			m.standings[name] = Unmet
		default:
			m.standings[name] = Above
		}
	}
}

// Scarce reports whether the accounts ask for more than the capacity.
func (m *Meter) Scarce() bool { return !math.IsInf(m.level, 1) }

// Standing returns the standing of an account.
func (m *Meter) Standing(name string) Standing { return m.standings[name] }

// Over returns the accounts that ask for more than their share with their standing, at
// most limit, those that ask for most.
func (m *Meter) Over(now time.Time, limit int) map[string]Standing {
	if len(m.standings) <= limit {
		return maps.Clone(m.standings)
	}
	names := slices.SortedFunc(maps.Keys(m.standings), func(a, b string) int {
		return -cmp.Compare(m.accounts[a].asked.at(now), m.accounts[b].asked.at(now))
	})
	out := make(map[string]Standing, limit)
	for _, name := range names[:limit] {
		out[name] = m.standings[name]
	}
	return out
}

// Usage is what one account asks for and uses, in upstreams.
type Usage struct {
	Account     string
	Asked, Used float64
	// Share is the max-min fair share, equal to Asked if the account asks for less.
	Share float64
	// Borrowed is the part of Used over Share.
	Borrowed float64
	Standing Standing
}

// Usages returns the usage of at most limit accounts, those that ask for most first.
func (m *Meter) Usages(now time.Time, limit int) []Usage {
	out := make([]Usage, 0, len(m.accounts))
	for name, a := range m.accounts {
		u := Usage{Account: name, Asked: rate(a.asked.at(now)), Used: rate(a.used.at(now)), Standing: m.Standing(name)}
		u.Share = min(u.Asked, m.level)
		if m.Scarce() {
			u.Borrowed = max(0, u.Used-u.Share)
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(-cmp.Compare(a.Asked, b.Asked), cmp.Compare(a.Account, b.Account))
	})
	return out[:min(limit, len(out))]
}
