package watch

import (
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// preferredWait is how long a new document is left to the preferred control
	// instance, which may get it from the log later than others, before any other one
	// is asked for it.
	preferredWait = 150 * time.Millisecond
	// fetchTimeout is how long a connected control instance may take to send a
	// document before another one is asked as well.
	fetchTimeout = 5 * time.Second
)

// documents is what a Follower knows of the site document. It asks one control
// instance at a time for it. The Follower's mu guards the fields up to askedAt; the
// others do not change.
type documents struct {
	// inForce is the version that was last put in force, received that of the newest
	// document that was received, and settled that of the last one that was handled,
	// with or without an error.
	inForce, received, settled version
	// newest is the newest version that is known to be offered, since offeredAt.
	newest    version
	offeredAt time.Time
	// asked is the control instance that was asked for a document at askedAt, nil if
	// none was or the document has arrived.
	asked   *source
	askedAt time.Time
	// wake has capacity 1 and receives a value when there may be something to fetch.
	wake chan struct{}
	// self is the own name and zone the own availability zone.
	self, zone string
}

func newDocuments(first *fleetpb.Watch) documents {
	v := versionOf(first.Version)
	return documents{
		inForce: v, received: v, settled: v,
		wake: make(chan struct{}, 1),
		self: first.GetSelf().GetName(), zone: first.GetSelf().GetZone(),
	}
}

// wakeUp makes the Follower look for a document to fetch.
func (d *documents) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// documentInForce returns the version of the site document in force.
func (f *Follower) documentInForce() version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.documents.inForce
}

// fetchLoop asks for site documents until the Follower is closed.
func (f *Follower) fetchLoop() {
	defer f.wg.Done()
	if f.cfg.OnDocument == nil {
		return
	}
	timer := time.NewTimer(fetchTimeout)
	defer timer.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-f.documents.wake:
		case <-timer.C:
		}
		st, seen, wait := f.nextFetch(time.Now())
		if st != nil {
			f.tell(st, seen)
		}
		timer.Reset(wait)
	}
}

// nextFetch returns the stream to ask for a document and the message that does so, or
// nil, and how long to wait for the next look unless the loop is woken before.
func (f *Follower) nextFetch(now time.Time) (*link.Stream, *fleetpb.NewsSeen, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := &f.documents
	preferred, offered := f.offers()
	if offered.newerThan(d.newest) {
		d.newest, d.offeredAt = offered, now
	}
	if !offered.newerThan(d.received) {
		return nil, nil, fetchTimeout
	}
	if d.asked != nil && d.asked.connected {
		if wait := fetchTimeout - now.Sub(d.askedAt); wait > 0 {
			return nil, nil, wait
		}
	}
	from := preferred
	if !from.document.newerThan(d.received) {
		if wait := preferredWait - now.Sub(d.offeredAt); wait > 0 {
			return nil, nil, wait
		}
		from = f.newestSource()
	}
	d.asked, d.askedAt = from, now
	return from.stream, &fleetpb.NewsSeen{Document: d.inForce.proto(), Fetch: true}, fetchTimeout
}

// offers returns the connected control instance that documents are fetched from by
// preference, nil if none is connected, and the newest version that any one offers.
// Those in the own zone come first; among them rendezvous hashing spreads the followers. The
// caller holds mu.
func (f *Follower) offers() (preferred *source, offered version) {
	var best uint64
	var near bool
	for _, s := range f.sources {
		if !s.connected {
			continue
		}
		offered = newest(offered, s.document)
		sameZone, weight := s.peers[s.address].GetZone() == f.documents.zone, rendezvous.Weight(f.documents.self, s.address)
		if preferred == nil || sameZone && !near || sameZone == near && weight > best {
			preferred, near, best = s, sameZone, weight
		}
	}
	return preferred, offered
}

// newestSource returns the connected control instance that offers the newest document,
// nil if none is connected. The caller holds mu.
func (f *Follower) newestSource() *source {
	var newest *source
	for _, s := range f.sources {
		if s.connected && (newest == nil || s.document.newerThan(newest.document)) {
			newest = s
		}
	}
	return newest
}

// applyDocument puts a received document in force unless a newer one is, and tells all
// connected control instances. a may be nil.
func (f *Follower) applyDocument(a *statepb.Adopted) {
	if a == nil || f.cfg.OnDocument == nil {
		return
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	if !f.recordReceived(a) {
		return
	}
	err := f.cfg.OnDocument(a)
	f.recordSettled(a, err)
	if err != nil {
		f.cfg.Log.Error("cannot put the site document in force", zap.Uint64("version", a.GetVersion()), zap.Error(err))
		return
	}
	f.tellAll(&fleetpb.NewsSeen{Document: documentVersion(a).proto()})
}

// recordSettled records that a document was put in force, or could not be with err.
func (f *Follower) recordSettled(a *statepb.Adopted, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.documents.settled = documentVersion(a)
	if err == nil {
		f.documents.inForce = documentVersion(a)
	}
	f.signalCurrent()
}

// recordReceived records that a document has arrived, and reports whether it is newer
// than any before.
func (f *Follower) recordReceived(a *statepb.Adopted) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.documents.wakeUp()
	f.documents.asked = nil
	if !documentVersion(a).newerThan(f.documents.received) {
		return false
	}
	f.documents.received = documentVersion(a)
	return true
}
