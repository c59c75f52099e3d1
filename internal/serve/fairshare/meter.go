package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageWindow is the time constant with which the measured work decays. It spans
	// several calls of the slowest batched services, so that the pieces of one request
	// do not change the standing of a small account.
	usageWindow = 5 * time.Second
	// recentWindow is the time constant of the use by which accounts over their share are
	// told apart. Over a longer time, an account that has borrowed while others were quiet
	// would get nothing for longer than its requests can wait.
	recentWindow = time.Second
	// updateInterval is the time for which the shares are kept. Computing them takes
	// time in proportion to the number of accounts.
	updateInterval = 50 * time.Millisecond
	// minCapacity is the fraction of the nominal capacity that is shared at least. It
	// bounds the error while the measured work is still that of an idle time.
	minCapacity = 0.5
	// negligible is the work per second, in upstreams, below which an account is forgotten.
	negligible = 1e-5
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

// account is what a Meter knows of one account. asked and used are decaying sums of work
// in seconds, multiplied by Meter.growth.
type account struct {
	name        string
	asked, used float64
	recent      recentUse
	standing    Standing
}

// recentUse is the work that an account has used lately.
type recentUse struct {
	sum     float64
	updated time.Time
}

// perSecond returns the work per second.
func (u recentUse) perSecond(now time.Time) float64 {
	return u.sum * math.Exp(-now.Sub(u.updated).Seconds()/recentWindow.Seconds()) / recentWindow.Seconds()
}

func (u *recentUse) add(now time.Time, d time.Duration) {
	u.sum, u.updated = u.perSecond(now)*recentWindow.Seconds()+d.Seconds(), now
}

// Meter measures the work of the accounts at one service. It is not safe for concurrent
// use.
type Meter struct {
	byName   map[string]*account
	accounts []*account
	// used is the sum for all accounts.
	used float64
	// epoch is the time at which growth was 1.
	epoch   time.Time
	updated time.Time
	// level is the share of each account in upstreams, +Inf if the capacity suffices.
	level float64
	// free is the fraction of the capacity that accounts below their share leave.
	free    float64
	demands []float64
	version uint64
}

// NewMeter returns a Meter that has measured nothing.
func NewMeter() *Meter { return &Meter{byName: make(map[string]*account), level: math.Inf(1), free: 1} }

// Version changes whenever a standing may have changed.
func (m *Meter) Version() uint64 { return m.version }

func (m *Meter) account(name string) *account {
	a := m.byName[name]
	if a == nil {
		a = &account{name: name}
		m.byName[name] = a
		m.accounts = append(m.accounts, a)
	}
	return a
}

// growth returns the factor by which work at now counts more than work at epoch. All sums
// decay in the same way, so that new work is multiplied when it is added instead of all
// older work being divided all the time.
func (m *Meter) growth(now time.Time) float64 {
	exponent := now.Sub(m.epoch).Seconds() / usageWindow.Seconds()
	if m.epoch.IsZero() || exponent > maxExponent {
		factor := math.Exp(-exponent)
		for _, a := range m.accounts {
			a.asked *= factor
			a.used *= factor
		}
		m.used *= factor
		m.epoch = now
		return 1
	}
	return math.Exp(exponent)
}

// maxExponent keeps sums far from the largest float64.
const maxExponent = 100

// Ask records that an account asks for work, whether it is accepted or not.
func (m *Meter) Ask(now time.Time, name string, d time.Duration) {
	m.account(name).asked += m.growth(now) * d.Seconds()
}

// Use records that work of an account starts.
func (m *Meter) Use(now time.Time, name string, d time.Duration) {
	amount := m.growth(now) * d.Seconds()
	a := m.account(name)
	a.used += amount
	a.recent.add(now, d)
	m.used += amount
}

// perSecond returns the factor from a sum to the work per second at now.
func (m *Meter) perSecond(now time.Time) float64 { return 1 / m.growth(now) / usageWindow.Seconds() }

// Update recomputes the shares, unless that was done within updateInterval. nominal is
// the capacity of the usable upstreams. queued is set if work waits for longer than the
// upstreams' present calls take: only then is what they have done lately taken for all
// that they can do.
func (m *Meter) Update(now time.Time, nominal float64, queued bool) {
	if since := now.Sub(m.updated); since >= 0 && since < updateInterval {
		return
	}
	m.updated = now
	factor := m.perSecond(now)
	if queued {
		nominal *= minCapacity
	}
	m.forgetIdle(factor)
	m.demands = m.demands[:0]
	for _, a := range m.accounts {
		m.demands = append(m.demands, factor*a.asked)
	}
	capacity := max(factor*m.used, nominal)
	m.level = Level(m.demands, capacity)
	below := 0.0
	for i, a := range m.accounts {
		standing := Below
		switch {
		case m.demands[i] <= m.level:
			below += m.demands[i]
		case a.recent.perSecond(now) < m.level:
			standing = Unmet
		default:
			standing = Above
		}
		if standing != a.standing {
			a.standing = standing
			m.version++
		}
	}
	m.free = 1
	if m.Scarce() && capacity > 0 {
		m.free = max(0, 1-below/capacity)
	}
}

// Wait returns the expected wait of work of an account that is over its share. ahead is the
// wait for the work in front of it that is queued now, own the work of the account among
// that. Work of accounts below their share that arrives later goes first too, which leaves
// the others a fraction of the capacity; and while capacity is scarce, the account itself
// gets hardly more than its share.
func (m *Meter) Wait(ahead, own time.Duration) time.Duration {
	if m.free <= 0 || m.level <= 0 {
		return maxWait
	}
	wait := max(float64(ahead)/m.free, shareMargin*float64(own)/m.level)
	return time.Duration(min(wait, float64(maxWait)))
}

// shareMargin allows for the unevenness with which an account over its share is served.
// Without it, about 1.4 times as many requests were late in the load test.
const shareMargin = 1.5

// maxWait is returned for longer waits. No caller waits that long.
const maxWait = time.Hour

// forgetIdle forgets the accounts of which no work is left.
func (m *Meter) forgetIdle(factor float64) {
	m.accounts = slices.DeleteFunc(m.accounts, func(a *account) bool {
		idle := factor*max(a.asked, a.used) < negligible
		if idle {
			delete(m.byName, a.name)
			if a.standing != Below {
				m.version++
			}
		}
		return idle
	})
}

// Scarce reports whether the accounts ask for more than the capacity.
func (m *Meter) Scarce() bool { return !math.IsInf(m.level, 1) }

// Standing returns the standing of an account.
func (m *Meter) Standing(name string) Standing {
	if a := m.byName[name]; a != nil {
		return a.standing
	}
	return Below
}

// Over returns the accounts that ask for more than their share with their standing, at
// most limit, those that ask for most.
func (m *Meter) Over(limit int) map[string]Standing {
	var over []*account
	for _, a := range m.accounts {
		if a.standing != Below {
			over = append(over, a)
		}
	}
	if len(over) > limit {
		slices.SortFunc(over, func(a, b *account) int { return -cmp.Compare(a.asked, b.asked) })
		over = over[:limit]
	}
	out := make(map[string]Standing, len(over))
	for _, a := range over {
		out[a.name] = a.standing
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
	factor := m.perSecond(now)
	out := make([]Usage, 0, len(m.accounts))
	for _, a := range m.accounts {
		u := Usage{Account: a.name, Asked: factor * a.asked, Used: factor * a.used, Standing: a.standing}
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
