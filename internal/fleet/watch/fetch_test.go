package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
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

func (f *Follower) offer(number uint64, controls ...int) {
	for _, i := range controls {
		f.sources[fmt.Sprint("control-", i)].document = versionOf(&number)
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
	f.documents.received = versionOf(proto.Uint64(7))
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
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Document: proto.Uint64(7)})
	c.hub.mu.Lock()
	outstanding, document := w.outstanding, w.document
	c.hub.mu.Unlock()
	if !outstanding || document != versionOf(proto.Uint64(7)) {
		t.Errorf("outstanding %v, document %v after a report, want true and 7", outstanding, document)
	}
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Seq: n.Seq})
	c.hub.mu.Lock()
	defer c.hub.mu.Unlock()
	if w.outstanding {
		t.Error("outstanding after the acknowledgement")
	}
}

// TestDocumentOfVersionZeroIsFetched guards against a first document of version 0 that control
// instances hold and that no entry puts in force, as if there were none; and against entries
// that acknowledge it without having it.
func TestDocumentOfVersionZeroIsFetched(t *testing.T) {
	f := newFetchingFollower(1)
	if got := f.asked(time.Now()); got != "" {
		t.Errorf("%s is asked, want none before a document is offered", got)
	}
	f.offer(0, 0)
	if got, want := f.asked(time.Now()), "control-0"; got != want {
		t.Errorf("%q is asked, want %q", got, want)
	}
	c := newControlInstance(t)
	w := c.hub.addWatcher(&fleetpb.Watch{Self: &fleetpb.Peer{Name: "e", Role: RoleEntry, Link: "e"}})
	defer c.hub.removeWatcher(w)
	c.hub.SetSiteDocument(&statepb.Adopted{Text: []byte("zero")})
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Fetch: true})
	n, _ := c.hub.nextNews(w, time.Now())
	if n.Document == nil || string(n.GetAdopted().GetText()) != "zero" {
		t.Errorf("got %v, want the document of version 0", n)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if got := c.hub.WaitDocument(ctx, 0); len(got) != 1 {
		t.Errorf("%v lack the document, want the entry, which has none", got)
	}
	c.hub.acknowledge(w, &fleetpb.NewsSeen{Document: proto.Uint64(0)})
	if got := c.hub.WaitDocument(context.Background(), 0); len(got) != 0 {
		t.Errorf("%v lack the document, want none", got)
	}
}
