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
	// refreshInterval is the time between requests for a new confirmation.
	refreshInterval = time.Second
	// awaitTimeout bounds the wait for a document that another process has.
	awaitTimeout      = 300 * time.Millisecond
	awaitPollInterval = 5 * time.Millisecond
	// maxSources is the number of sources asked before the control instances.
	maxSources = 2
	// maxSourceAge is the age of a confirmation from a source at which the control
	// instances are asked as well.
	maxSourceAge = 3 * refreshInterval
	// refreshTimeout bounds one request for the document.
	refreshTimeout = time.Second
	// MaxClockDrift is the fraction by which a monotonic clock may run slow.
	// Measured ages are increased by it.
	MaxClockDrift = 0.01
)

// LeasedDocument is an immutable copy of the document. Its last confirmation by
// a quorum serves as a lease, see Fresh.
type LeasedDocument struct {
	// Index is the log index of the document, or 0 if there is none.
	Index    uint64
	Sections map[string]*statepb.Section
	Schema   document.Schema
	// ConfirmedAt is a time no later than the last confirmation by a quorum.
	ConfirmedAt time.Time
	// Evacuations are the evacuated availability zones as of the same confirmation, nil if
	// they are not known.
	Evacuations *statepb.Evacuations
}

// Age returns an upper bound of the time since the last confirmation.
func (d *LeasedDocument) Age(now time.Time) time.Duration {
	age := now.Sub(d.ConfirmedAt)
	return age + time.Duration(float64(age)*MaxClockDrift)
}

// Fresh reports whether new work may be accepted under the document, that is,
// whether its confirmation is no older than insurer.max_document_age_ms.
func (d *LeasedDocument) Fresh(now time.Time) bool {
	return d.Index > 0 && d.Age(now) <= d.Schema.Insurer.MaxAge()
}

// Text returns the text of all sections, in their fixed order.
func (d *LeasedDocument) Text() string {
	var b strings.Builder
	for _, name := range document.Sections() {
		if s := d.Sections[name]; s != nil {
			b.WriteString(strings.TrimRight(s.Text, "\n"))
			b.WriteString("\n\n")
		}
	}
	return b.String()
}

// withSections returns a copy in which the sections of newer replace the older ones.
func (d *LeasedDocument) withSections(newer *statepb.Document) (*LeasedDocument, error) {
	next := &LeasedDocument{Index: newer.Index, Sections: make(map[string]*statepb.Section), ConfirmedAt: d.ConfirmedAt, Evacuations: d.Evacuations}
	for name, s := range d.Sections {
		next.Sections[name] = s
	}
	for _, s := range newer.Sections {
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

// withConfirmation returns a copy confirmed at the given time, or the document
// itself if its confirmation is no older.
func (d *LeasedDocument) withConfirmation(at time.Time) *LeasedDocument {
	if !at.After(d.ConfirmedAt) {
		return d
	}
	next := *d
	next.ConfirmedAt = at
	return &next
}

// withEvacuations returns a copy with the given evacuated zones, or the document itself if
// they are not newer than its own.
func (d *LeasedDocument) withEvacuations(e *statepb.Evacuations) *LeasedDocument {
	if e.GetIndex() <= d.Evacuations.GetIndex() {
		return d
	}
	next := *d
	next.Evacuations = e
	return &next
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Pool *link.Pool
	// Sources returns the link addresses of processes to ask before the control
	// instances, in order of preference. It may be nil.
	Sources func() []string
	// Peers are the control instances.
	Peers []Address
	// OnChange is called with each new document. It may be nil, and must not call
	// Update.
	OnChange func(*LeasedDocument)
	// OnEvacuations is called with the evacuated availability zones after each change, in
	// order. It may be nil, and must not call Update.
	OnEvacuations func(*statepb.Evacuations)
	Log           *zap.Logger
}

// Follower keeps a process's copy of the document up to date. It never replaces
// the document by an older one.
type Follower struct {
	cfg FollowerConfig
	// mu serializes updates of document.
	mu       sync.Mutex
	document atomic.Pointer[LeasedDocument]
	// wantedIndex is the highest document index passed to ObserveDocument that was
	// newer than the current document.
	wantedIndex atomic.Uint64
	// refresh wakes the fetch loop.
	refresh chan struct{}
	// lastPeer is the index in cfg.Peers of the control instance that last
	// returned a newer confirmation.
	lastPeer int
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// NewFollower starts a Follower.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	f := &Follower{cfg: cfg, refresh: make(chan struct{}, 1)}
	f.document.Store(&LeasedDocument{})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Add(1)
	go f.run(ctx)
	return f
}

// Document returns the current copy of the document. It has index 0 until the
// first fetch.
func (f *Follower) Document() *LeasedDocument { return f.document.Load() }

// ObserveDocument records a document index seen on a message. A document newer
// than the current one is fetched at once.
func (f *Follower) ObserveDocument(index uint64) {
	if index <= f.Document().Index || !f.raiseWanted(index) {
		return
	}
	f.Refresh()
}

// raiseWanted raises wantedIndex to index, and reports whether it was lower.
func (f *Follower) raiseWanted(index uint64) bool {
	for {
		wanted := f.wantedIndex.Load()
		if index <= wanted {
			return false
		}
		if f.wantedIndex.CompareAndSwap(wanted, index) {
			return true
		}
	}
}

// AwaitDocument fetches the document with the given index or a newer one. It
// waits for at most awaitTimeout and reports whether the document has arrived.
func (f *Follower) AwaitDocument(ctx context.Context, index uint64) bool {
	f.ObserveDocument(index)
	deadline := time.Now().Add(awaitTimeout)
	for f.Document().Index < index {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(awaitPollInterval)
	}
	return true
}

// AwaitEvacuations fetches the evacuated zones of the given log index or newer ones, and
// reports whether this process acts on them before ctx ends.
func (f *Follower) AwaitEvacuations(ctx context.Context, index uint64) bool {
	for f.Document().Evacuations.GetIndex() < index {
		f.Refresh()
		select {
		case <-ctx.Done():
			return false
		case <-time.After(awaitPollInterval):
		}
	}
	return true
}

// Refresh requests a new confirmation at once, without waiting for it.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

func (f *Follower) run(ctx context.Context) {
	defer f.wg.Done()
	for ctx.Err() == nil {
		if err := f.fetch(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Log.Debug("document refresh failed", zap.Error(err))
		}
		wait := refreshInterval
		if f.Document().Index < f.wantedIndex.Load() {
			wait = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-f.refresh:
		case <-time.After(wait):
		}
	}
}

// fetch asks up to maxSources sources, and the control instances if no source
// has the wanted document with a recent confirmation. Of the control instances it starts with the one that
// last returned a newer confirmation, which is usually the leader.
func (f *Follower) fetch(ctx context.Context) error {
	if f.cfg.Sources != nil {
		sources := f.cfg.Sources()
		for _, source := range sources[:min(len(sources), maxSources)] {
			err := f.fetchFrom(ctx, source)
			current := f.Document()
			if err == nil && current.Age(time.Now()) < maxSourceAge && current.Index >= f.wantedIndex.Load() {
				return nil
			}
		}
	}
	before := f.Document()
	var err error
	for i := range f.cfg.Peers {
		index := (f.lastPeer + i) % len(f.cfg.Peers)
		if err = f.fetchFrom(ctx, f.cfg.Peers[index].Link); err != nil {
			continue
		}
		if current := f.Document(); current.ConfirmedAt.After(before.ConfirmedAt) && current.Index >= f.wantedIndex.Load() {
			f.lastPeer = index
			return nil
		}
	}
	return err
}

func (f *Follower) fetchFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	sentAt := time.Now()
	read := &fleetpb.Read{Document: true, AtLeast: f.Document().Index}
	e, err := f.cfg.Pool.RoundTrip(ctx, address, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: read}})
	if err != nil {
		return err
	}
	return f.Update(sentAt, e.GetReadReply())
}

// Update applies a reply to a request that was sent at sentAt. It subtracts the
// age of the confirmation from sentAt and not from the time of arrival, so that
// ConfirmedAt is never too late.
func (f *Follower) Update(sentAt time.Time, r *fleetpb.ReadReply) error {
	if r == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Document()
	next := current
	if d := r.Document; d != nil && d.Index > current.Index {
		var err error
		next, err = current.withSections(d)
		if err != nil {
			return err
		}
	}
	next = next.withEvacuations(r.Evacuations)
	if newer := next.Evacuations; newer.GetIndex() > current.Evacuations.GetIndex() && f.cfg.OnEvacuations != nil {
		f.cfg.OnEvacuations(newer)
	}
	if r.ConfirmedMs >= 0 && next.Index >= r.DocumentIndex && next.Index > 0 {
		next = next.withConfirmation(sentAt.Add(-time.Duration(r.ConfirmedMs) * time.Millisecond))
	}
	f.document.Store(next)
	if next.Index > current.Index && f.cfg.OnChange != nil {
		f.cfg.OnChange(next)
	}
	return nil
}

// HandleRead returns the reply to a process that uses this one as a source.
func (f *Follower) HandleRead(r *fleetpb.Read) *fleetpb.ReadReply {
	d := f.Document()
	return NewReadReply(d, r.AtLeast, time.Now())
}

// NewReadReply returns a reply with the sections of d that are newer than
// atLeast, and the age of its confirmation rounded up to whole milliseconds, or
// -1 if it was never confirmed.
func NewReadReply(d *LeasedDocument, atLeast uint64, now time.Time) *fleetpb.ReadReply {
	out := &fleetpb.ReadReply{DocumentIndex: d.Index, ConfirmedMs: -1, Evacuations: d.Evacuations}
	if !d.ConfirmedAt.IsZero() {
		out.ConfirmedMs = d.Age(now).Milliseconds() + 1
	}
	if d.Index > atLeast {
		out.Document = &statepb.Document{Index: d.Index}
		for _, name := range document.SortedKeys(d.Sections) {
			if s := d.Sections[name]; s.Version > atLeast {
				out.Document.Sections = append(out.Document.Sections, s)
			}
		}
	}
	return out
}

// Close stops the Follower and waits for its goroutine.
func (f *Follower) Close() error {
	f.cancel()
	f.wg.Wait()
	return nil
}
