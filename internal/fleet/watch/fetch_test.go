package watch

import (
	"fmt"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// newFetchingFollower returns a Follower that follows control instances without a
// connection, each in a zone of the same number. The entry is in zone-0.
func newFetchingFollower(n int) *Follower {
	f := &Follower{
		sources:   make(map[string]*source),
		documents: newDocuments(&fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Zone: "zone-0"}}),
	}
	for i := range n {
		s := newSource(fmt.Sprint("control-", i))
		s.connected = true
		s.peers[s.address] = &fleetpb.Peer{Name: s.address, Zone: fmt.Sprint("zone-", i)}
		f.sources[s.address] = s
	}
	return f
}

func (f *Follower) offer(version uint64, controls ...int) {
	for _, i := range controls {
		f.sources[fmt.Sprint("control-", i)].document = version
	}
}

// asked looks for a document to fetch, and returns the control instance that is asked,
// "" if none is.
func (f *Follower) asked(now time.Time) string {
	f.documents.askedAt = time.Time{}
	f.nextFetch(now)
	if f.documents.askedAt.Equal(now) {
		return f.documents.asked.address
	}
	return ""
}

func TestNextFetch(t *testing.T) {
	start := time.Now()
	check := func(step string, f *Follower, after time.Duration, want string) {
		t.Helper()
		askedAt := f.documents.askedAt
		got := f.asked(start.Add(after))
		if got == "" {
			f.documents.askedAt = askedAt
		}
		if got != want {
			t.Errorf("%s: %q is asked, want %q", step, got, want)
		}
	}
	f := newFetchingFollower(3)
	check("nothing is offered", f, 0, "")
	f.offer(7, 1)
	check("the one of the own zone lacks the document", f, 0, "")
	check("it still lacks it", f, preferredWait-1, "")
	f.offer(7, 0)
	check("it has it now", f, preferredWait-1, "control-0")
	f.sources["control-0"].connected = false
	check("it is lost", f, preferredWait, "control-1")

	f = newFetchingFollower(3)
	f.offer(7, 2)
	check("the only one that has the document is new", f, 0, "")
	check("it is the only one for long", f, preferredWait, "control-2")

	f = newFetchingFollower(1)
	f.offer(7, 0)
	f.documents.received = 7
	check("the document is held", f, 0, "")
}

func TestOneFetchAtATime(t *testing.T) {
	f := newFetchingFollower(2)
	f.offer(7, 0, 1)
	start := time.Now()
	if _, seen, _ := f.nextFetch(start); !seen.GetFetch() {
		t.Fatal("no control instance is asked for the document")
	}
	f.offer(8, 1)
	if _, seen, wait := f.nextFetch(start.Add(time.Second)); seen != nil || wait != fetchTimeout-time.Second {
		t.Errorf("a second one is asked while the first is connected: %v, next look in %v", seen, wait)
	}
	if _, seen, _ := f.nextFetch(start.Add(fetchTimeout)); seen == nil {
		t.Errorf("no other one is asked after %v", fetchTimeout)
	}
}

func TestReportCountsAsAcknowledgement(t *testing.T) {
	c := newControlInstance(t)
	w := c.hub.addWatcher(&fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Role: RoleEntry, Link: "e"}})
	defer c.hub.removeWatcher(w)
	n, _ := c.hub.nextNews(w, time.Now())
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Document: 7})
	c.hub.mu.Lock()
	outstanding, document := w.outstanding, w.document
	c.hub.mu.Unlock()
	if !outstanding || document != 7 {
		t.Errorf("outstanding %v, document %d after a report, want true and 7", outstanding, document)
	}
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Seq: n.Seq})
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	if w.outstanding {
		t.Error("outstanding after the acknowledgement")
	}
}
