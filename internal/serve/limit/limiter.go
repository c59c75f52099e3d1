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
	// chunksPerEntry is the number of chunks that an entry's even share of a
	// window is cut into.
	chunksPerEntry = 4
	// maxFetches bounds the chunks leased for one request, where each expires
	// before it arrives.
	maxFetches = 3
	// grantTimeout bounds the wait for a chunk.
	grantTimeout = time.Second
)

// Ledger commits commands. control.Client is one; tests use fakes.
type Ledger interface {
	Propose(ctx context.Context, cmd *statepb.Command) (*statepb.Result, error)
}

// Config builds a Limiter.
type Config struct {
	Entry  string
	Ledger Ledger
	// Entries returns the number of living entries.
	Entries func() int
}

// lease is what an entry holds of an account's limit. mu is held while a
// chunk is fetched, so that one fetch serves all who wait.
type lease struct {
	mu      sync.Mutex
	units   uint64
	expires time.Time
}

// Limiter spends leased chunks. It is safe for concurrent use.
type Limiter struct {
	cfg    Config
	mu     sync.Mutex
	leases map[string]*lease
}

// New returns a Limiter that holds nothing.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, leases: make(map[string]*lease)}
}

func (l *Limiter) lease(account string) *lease {
	l.mu.Lock()
	defer l.mu.Unlock()
	have := l.leases[account]
	if have == nil {
		have = &lease{}
		l.leases[account] = have
	}
	return have
}

// Take spends one unit of an account whose limit is rate a second. The error
// is a *refuse.Error.
func (l *Limiter) Take(ctx context.Context, account string, rate uint64) error {
	h := l.lease(account)
	h.mu.Lock()
	defer h.mu.Unlock()
	for try := 0; try < maxFetches && (try == 0 && h.units == 0 || !time.Now().Before(h.expires)); try++ {
		if err := l.fetch(ctx, h, account, rate); err != nil {
			return err
		}
	}
	if h.units == 0 || !time.Now().Before(h.expires) {
		wait := max(time.Until(h.expires), 100*time.Millisecond)
		return refuse.New(refuse.OverLimit, refuse.RanNo, "the account's limit is used up", "send fewer requests a second").WithRetryAfter(wait)
	}
	h.units--
	return nil
}

// fetch leases the next chunk. It counts the expiry from before the request,
// as the wait for the answer may be long; a chunk that expired meanwhile is
// lost.
func (l *Limiter) fetch(ctx context.Context, h *lease, account string, rate uint64) error {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	asked := time.Now()
	r, err := l.cfg.Ledger.Propose(ctx, &statepb.Command{Body: &statepb.Command_Grant{Grant: &statepb.Grant{
		Account: account,
		Entry:   l.cfg.Entry,
		Units:   l.chunk(rate),
	}}})
	if err != nil {
		return refuse.New(refuse.Unavailable, refuse.RanNo, "the account's limit is not confirmed: "+err.Error(), "send the request again shortly").WithRetryAfter(time.Second)
	}
	h.units = r.Units
	h.expires = asked.Add(time.Duration(r.ExpiresInMs) * time.Millisecond)
	return nil
}

func (l *Limiter) chunk(rate uint64) uint64 {
	window := float64(rate) * quota.Window.Seconds()
	return uint64(window/float64(chunksPerEntry*max(1, l.cfg.Entries()))) + 1
}
