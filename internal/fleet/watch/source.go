package watch

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// rejoinGracePeriod is how long processes may take to reconnect to a control
// instance that has come back. Until it ends, the peers that the instance listed
// before it was lost count as well.
const rejoinGracePeriod = 2 * time.Second

// digestDelay is how long the digest of a control instance must differ from that of
// this process before the difference is looked for. Changes that are on their way
// make digests differ for a moment.
const digestDelay = 300 * time.Millisecond

// source is what is known of and from one control instance. The Follower's mu guards
// it.
type source struct {
	address   string
	stream    *link.Stream
	connected bool
	// incarnation and seq are those of the last News.
	incarnation uint64
	seq         uint64
	// ackedAt is when the last News was acknowledged or the stream was opened, by
	// Config.Now. The next News is sent after that.
	ackedAt time.Duration
	// document is the version of the site document that it offers.
	document version
	// evacuations is the log index of the evacuated zones in the last News, 0 if the
	// control instance was not sure of them.
	evacuations uint64
	// peers holds the processes that it lists by name, and silent the IDs of the
	// upstreams that it does not hear. Both are kept while it is disconnected.
	peers  map[string]*fleetpb.Peer
	silent map[string]bool
	// differsSince is since when its digest of upstreams has differed from that of this
	// process, zero while they are equal.
	differsSince time.Time
	// previousPeers are those listed before it last reconnected, at connectedAt.
	previousPeers map[string]*fleetpb.Peer
	connectedAt   time.Time
}

func newSource(address string) *source {
	return &source{address: address, peers: make(map[string]*fleetpb.Peer), silent: make(map[string]bool)}
}

// apply takes over the changes of a News.
func (s *source) apply(n *fleetpb.News) {
	s.incarnation, s.seq, s.document, s.evacuations = n.Incarnation, n.Seq, versionOf(n.Document), n.EvacuationIndex
	if n.Whole {
		s.previousPeers = s.peers
		s.peers, s.silent = make(map[string]*fleetpb.Peer), make(map[string]bool)
	}
	for _, p := range n.Peers {
		s.peers[p.Name] = p
	}
	for _, name := range n.Gone {
		delete(s.peers, name)
	}
	for _, u := range n.Upstreams {
		if u.Silent {
			s.silent[u.Id] = true
		} else {
			delete(s.silent, u.Id)
		}
	}
}

// differs compares the digest of a News, received at now, with that of this process,
// and reports whether they have differed for digestDelay.
func (s *source) differs(own, received uint64, now time.Time) bool {
	switch {
	case own == received:
		s.differsSince = time.Time{}
	case s.differsSince.IsZero():
		s.differsSince = now
	}
	return !s.differsSince.IsZero() && now.Sub(s.differsSince) >= digestDelay
}

// inGracePeriod reports whether the processes from before the control instance
// reconnected still count.
func (s *source) inGracePeriod(now time.Time) bool {
	return len(s.previousPeers) > 0 && now.Sub(s.connectedAt) < rejoinGracePeriod
}
