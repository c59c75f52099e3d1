package limit

import (
	"context"
	"sync"
	"time"

	"hawthornhub.example/hawthornhub/internal/serve/refuse"
	"hawthornhub.example/hawthornhub/internal/state/quota"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// chunksPerEntry is the number of chunks into which an entry's equal share
	// of a window is divided.
	chunksPerEntry = 4
	// maxFetches bounds the chunks leased for one request if each chunk expires
	// before it arrives.
	maxFetches = 3
	// leaseTimeout bounds the wait for a chunk.
	leaseTimeout = time.Second
)

// Ledger commits commands. control.Client implements it.
type Ledger interface {
	Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error)
}

// Config configures a Limiter.
type Config struct {
	// Entry is the name of this entry.
	Entry  string
	Ledger Ledger
	// Entries returns the number of live entries.
	Entries func() int
}

// lease is the chunk of an account's limit that the entry currently holds. mu is
// held while a chunk is fetched, so that one fetch serves all waiting requests.
type lease struct {
	mu      sync.Mutex
	units   uint64
	expires time.Time
}

// Limiter admits requests against leased chunks of the accounts' limits. It is
// safe for concurrent use.
type Limiter struct {
	cfg    Config
	mu     sync.Mutex
	leases map[string]*lease
}

// New returns a Limiter without leased chunks.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, leases: make(map[string]*lease)}
}

func (l *Limiter) lease(account string) *lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	ls := l.leases[account]
	if ls == nil {
		ls = &lease{}
		l.leases[account] = ls
	}
	return ls
}

// Take spends one unit of the limit of an account, which is rate requests per
// second. The error is a *refuse.Error.
func (l *Limiter) Take(ctx context.Context, account string, rate uint64) error {
	ls := l.lease(account)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for fetches := 0; fetches < maxFetches && (fetches == 0 && ls.units == 0 || !time.Now().Before(ls.expires)); fetches++ {
		if err := l.fetch(ctx, ls, account, rate); err != nil {
			return err
		}
	}
	if ls.units == 0 || !time.Now().Before(ls.expires) {
		wait := max(time.Until(ls.expires), 100*time.Millisecond)
		return refuse.New(refuse.OverLimit, refuse.RanNo, "the account's limit is used up", "send fewer requests a second").WithRetryAfter(wait)
	}
	ls.units--
	return nil
}

// fetch leases the next chunk. The expiry is counted from before the request was
// sent, because the reply may take long; a chunk that expires meanwhile is lost.
func (l *Limiter) fetch(ctx context.Context, ls *lease, account string, rate uint64) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	requested := time.Now()
	r, err := l.cfg.Ledger.Propose(ctx, &statepb.Command{Body: &statepb.Command_Grant{Grant: &statepb.Grant{
		Account: account,
		Entry:   l.cfg.Entry,
		Units:   l.chunkUnits(rate),
	}}})
	if err != nil {
		return refuse.New(refuse.LedgerUnavailable, refuse.RanNo, "the account's limit is not confirmed: "+err.Error(), "send the request again shortly").WithRetryAfter(time.Second)
	}
	ls.units = r.Units
	ls.expires = requested.Add(time.Duration(r.ExpiresInMs) * time.Millisecond)
	return nil
}

// chunkUnits returns the number of units to request in one chunk.
func (l *Limiter) chunkUnits(rate uint64) uint64 {
	window := float64(rate) * quota.Window.Seconds()
	return uint64(window/float64(chunksPerEntry*max(1, l.cfg.Entries()))) + 1
}
