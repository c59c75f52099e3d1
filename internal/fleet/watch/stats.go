package watch

import "hawthornhub.example/hawthornhub/internal/wire/fleetpb"

// Stats are figures of a Hub since its start.
type Stats struct {
	// Watchers is the number of watchers, Behind that of those that have not
	// acknowledged the last change.
	Watchers, Behind int
	// Sent is the number of News messages, Whole that of those with the complete
	// state, and Bytes their total size.
	Sent, Whole, Bytes int64
}

// withSent returns the figures after a News of the given size in bytes.
func (s Stats) withSent(n *fleetpb.News, size int) Stats {
	s.Sent++
	s.Bytes += int64(size)
	if n.Whole {
		s.Whole++
	}
	return s
}
