package control

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// refresh is the time between confirmations of the document.
	refresh = time.Second
	// awaitLimit bounds the wait for a document that another process has.
	awaitLimit = 300 * time.Millisecond
	awaitPoll  = 5 * time.Millisecond
	// maxRelays is the number of relays asked before control.
	maxRelays = 2
	// relayAge is the age of a confirmation from a relay up to which control
	// is left alone.
	relayAge = 3 * refresh
	// refreshTimeout bounds one request for the document.
	refreshTimeout = time.Second
	// DriftShare is the share by which a monotonic clock may be slow; a holder
	// counts every age as longer by it.
	DriftShare = 0.01
)

// Held is the document as one process holds it. It is immutable.
type Held struct {
	// Index is the log index of the document, 0 for none.
	Index    uint64
	Sections map[string]*statepb.Section
	Schema   document.Schema
	// Confirmed is a time no later than the last confirmation by a quorum.
	Confirmed time.Time
}

// Age returns how old the quorum's confirmation is at most.
func (h *Held) Age(now time.Time) time.Duration {
	age := now.Sub(h.Confirmed)
	return age + time.Duration(float64(age)*DriftShare)
}

// Fresh reports whether new work may be taken under the document.
func (h *Held) Fresh(now time.Time) bool {
	return h.Index > 0 && h.Age(now) <= h.Schema.Insurer.MaxAge()
}

// Text returns the whole document.
func (h *Held) Text() string {
	var b strings.Builder
	for _, name := range document.Sections() {
		if s := h.Sections[name]; s != nil {
			b.WriteString(strings.TrimRight(s.Text, "\n"))
			b.WriteString("\n\n")
		}
	}
	return b.String()
}

// withSections returns the document after newer sections have been taken over.
func (h *Held) withSections(d *statepb.Document) (*Held, error) {
	next := &Held{Index: d.Index, Sections: make(map[string]*statepb.Section), Confirmed: h.Confirmed}
	for name, s := range h.Sections {
		next.Sections[name] = s
	}
	for _, s := range d.Sections {
		next.Sections[s.Name] = s
	}
	texts := make(map[string]string, len(next.Sections))
	for name, s := range next.Sections {
		texts[name] = s.Text
	}
	schema, err := document.Parse(document.Join(texts))
	if err != nil {
		return nil, err
	}
	next.Schema = schema
	return next, nil
}

// withConfirmed returns the document with a later confirmation.
func (h *Held) withConfirmed(at time.Time) *Held {
	if !at.After(h.Confirmed) {
		return h
	}
	next := *h
	next.Confirmed = at
	return &next
}

// FollowerConfig builds a Follower.
type FollowerConfig struct {
	Pool *link.Pool
	// Sources returns the link addresses of relays to ask before control, in
	// order; nil has none.
	Sources func() []string
	Control []Address
	// Changed is told of each new document; nil drops it.
	Changed func(*Held)
	Log     *zap.Logger
}

// Follower keeps a process's copy of the document up to date. It never takes
// an older document than it holds.
type Follower struct {
	cfg    FollowerConfig
	mu     sync.Mutex
	held   atomic.Pointer[Held]
	wanted atomic.Uint64
	wake   chan struct{}
	// answered is the control instance that last had a confirmation.
	answered int
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewFollower starts to follow.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	f := &Follower{cfg: cfg, wake: make(chan struct{}, 1)}
	f.held.Store(&Held{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Add(1)
	go f.run(ctx)
	return f
}

// Held returns the document as it is held now.
func (f *Follower) Held() *Held { return f.held.Load() }

// Heard tells of a document index seen on a message; a higher one than held is
// fetched at once.
func (f *Follower) Heard(index uint64) {
	if index <= f.Held().Index || index <= f.wanted.Load() {
		return
	}
	f.wanted.Store(index)
	f.Wake()
}

// Await fetches a document index and waits a little until it is held. It
// reports whether it is.
func (f *Follower) Await(ctx context.Context, index uint64) bool {
	f.Heard(index)
	until := time.Now().Add(awaitLimit)
	for f.Held().Index < index {
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		time.Sleep(awaitPoll)
	}
	return true
}

// Wake asks for a confirmation now.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) run(ctx context.Context) {
	defer f.wg.Done()
	for ctx.Err() == nil {
		if err := f.fetch(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.Debug("document not confirmed", zap.Error(err))
		}
		wait := refresh
		if f.Held().Index < f.wanted.Load() {
			wait = pause
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(wait):
		}
	}
}

// fetch asks a relay or two, and control where they have nothing recent. The
// control instance that last answered, usually the leader, is asked first.
func (f *Follower) fetch(ctx context.Context) error {
	if f.cfg.Sources != nil {
		relays := f.cfg.Sources()
		for _, relay := range relays[:min(len(relays), maxRelays)] {
			err := f.fetchFrom(ctx, relay)
			now := f.Held()
			if err == nil && now.Age(time.Now()) < relayAge && now.Index >= f.wanted.Load() {
				return nil
			}
		}
	}
	before := f.Held()
	var err error
	for i := range f.cfg.Control {
		at := (f.answered + i) % len(f.cfg.Control)
		if err = f.fetchFrom(ctx, f.cfg.Control[at].Link); err != nil {
			continue
		}
		if now := f.Held(); now.Confirmed.After(before.Confirmed) && now.Index >= f.wanted.Load() {
			f.answered = at
			return nil
		}
	}
	return err
}

func (f *Follower) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	asked := time.Now()
	read := &fleetpb.Read{Document: true, AtLeast: f.Held().Index}
	e, err := f.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: read}})
	if err != nil {
		return err
	}
	return f.Take(asked, e.GetReadReply())
}

// Take adopts an answer to a request that was sent at asked.
func (f *Follower) Take(asked time.Time, r *fleetpb.ReadReply) error {
	if r == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.Held()
	next := held
	if d := r.Document; d != nil && d.Index > held.Index {
		var err error
		next, err = held.withSections(d)
		if err != nil {
			return err
		}
	}
	if r.ConfirmedMs >= 0 && next.Index >= r.DocumentIndex && next.Index > 0 {
		next = next.withConfirmed(asked.Add(-time.Duration(r.ConfirmedMs) * time.Millisecond))
	}
	f.held.Store(next)
	if next.Index > held.Index && f.cfg.Changed != nil {
		f.cfg.Changed(next)
	}
	return nil
}

// Answer returns what another process may take from this one.
func (f *Follower) Answer(r *fleetpb.Read) *fleetpb.ReadReply {
	h := f.Held()
	return Reply(h, r.AtLeast, time.Now())
}

// Reply returns the sections of h that are newer than atLeast, with the age of
// its confirmation.
func Reply(h *Held, atLeast uint64, now time.Time) *fleetpb.ReadReply {
	out := &fleetpb.ReadReply{DocumentIndex: h.Index, ConfirmedMs: -1}
	if !h.Confirmed.IsZero() {
		out.ConfirmedMs = h.Age(now).Milliseconds() + 1
	}
	if h.Index > atLeast {
		out.Document = &statepb.Document{Index: h.Index}
		for _, name := range document.SortedKeys(h.Sections) {
			if s := h.Sections[name]; s.Version > atLeast {
				out.Document.Sections = append(out.Document.Sections, s)
			}
		}
	}
	return out
}

// Close stops following and waits.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
