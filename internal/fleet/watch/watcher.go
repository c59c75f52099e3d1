package watch

import (
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// watcher is the stream to one process. It has at most one News outstanding: what
// changes until the acknowledgement shares the next one. Its fields are guarded by
// the hub's mu.
type watcher struct {
	peer *fleetpb.Peer
	// document is the version of the site document that is in force at the watcher.
	document version
	// evacuations is the log index of the evacuated zones that the watcher acts on.
	evacuations uint64
	// fetch is set while the watcher waits for the site document.
	fetch bool
	// sent is the number of the last change sent, acked the last one acknowledged.
	sent  uint64
	acked uint64
	// whole is set until the complete state has been sent.
	whole bool
	// outstanding is set while the last News, sent at sentAt, is unacknowledged. It
	// has to be acknowledged at ackDue.
	outstanding bool
	sentAt      time.Time
	ackDue      time.Time
	// heard holds the IDs of upstreams that announced themselves without a change
	// since the last News, for another control instance.
	heard map[string]bool
	// buckets holds the numbers of the buckets of upstreams that the watcher has asked
	// for.
	buckets map[uint32]bool
	// wake has capacity 1 and receives a value when there may be something to send.
	wake chan struct{}
	// ackSignal is closed at the next acknowledgement and when the watcher is
	// removed.
	ackSignal chan struct{}
	// removed is closed when the watcher is removed.
	removed chan struct{}
}

// wakeUp makes the sender look for something to send.
func (w *watcher) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// signalAck wakes those who wait for an acknowledgement.
func (w *watcher) signalAck() {
	close(w.ackSignal)
	w.ackSignal = make(chan struct{})
}

// wants reports whether a watcher of its role is told of a kind of change.
func (w *watcher) wants(k key) bool {
	switch w.peer.GetRole() {
	case RoleRelay:
		return k.kind == peerChange
	case RoleControl:
		// Control instances have documents and evacuated zones from the log, and decide on
		// breakers by themselves.
		return k.kind != documentChange && k.kind != breakerChange && k.kind != evacuationChange
	default:
		return true
	}
}

// idleInterval returns how long after the last News the next one is due without a
// change.
func (w *watcher) idleInterval() time.Duration {
	if len(w.heard) > 0 {
		return heardInterval
	}
	return probeInterval
}

// recordSent records that a News is being sent at now, and returns its size in bytes.
func (w *watcher) recordSent(n *fleetpb.News, now time.Time) int {
	size := proto.Size(n)
	transfer := time.Duration(size) * time.Second / minLinkBytes
	w.sent, w.whole, w.outstanding = n.Seq, false, true
	w.sentAt, w.ackDue = now, now.Add(ackTimeout+transfer)
	return size
}

// unresponsive reports whether the watcher has not acknowledged the last News in
// time.
func (w *watcher) unresponsive(now time.Time) bool {
	return w.outstanding && now.After(w.ackDue)
}
