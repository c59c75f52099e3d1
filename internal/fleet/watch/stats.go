package watch

import (
	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

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

// Received are figures of a Follower since its start.
type Received struct {
	// Messages is the number of News messages, and Bytes their total size.
	Messages, Bytes int64
	// Documents is the number of site documents, including those that were held
	// already, and DocumentBytes their total size.
	Documents, DocumentBytes int64
}

// with returns the figures after a News.
func (r Received) with(n *fleetpb.News) Received {
	r.Messages++
	r.Bytes += int64(proto.Size(n))
	if n.Adopted != nil {
		r.Documents++
		r.DocumentBytes += int64(len(n.Adopted.Text))
	}
	return r
}
