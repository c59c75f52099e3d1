package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func readReply(index uint64, confirmedMs int64, sections ...*statepb.Section) *fleetpb.ReadReply {
	return &fleetpb.ReadReply{
		DocumentIndex: index, ConfirmedMs: confirmedMs,
		Document: &statepb.Document{Index: index, Sections: sections},
	}
}

func routingSection(version uint64, candidates string) *statepb.Section {
	return &statepb.Section{Name: "routing", Version: version, Text: "[routing]\ncandidates = " + candidates + "\n"}
}

func newFollower() *Follower {
	f := &Follower{}
	f.document.Store(&LeasedDocument{})
	return f
}

func TestDocumentNeverReverts(t *testing.T) {
	f := newFollower()
	now := time.Now()
	for _, step := range []struct {
		index uint64
		text  string
		want  int
	}{{5, "5", 5}, {9, "9", 9}, {5, "5", 9}, {7, "7", 9}, {12, "3", 3}} {
		if err := f.Update(now, readReply(step.index, 0, routingSection(step.index, step.text))); err != nil {
			t.Fatal(err)
		}
		if got := f.Document().Schema.Routing.Candidates; got != step.want {
			t.Errorf("after document %d: candidates %d, want %d", step.index, got, step.want)
		}
	}
}

func TestNewerSectionsReplaceOlder(t *testing.T) {
	f := newFollower()
	now := time.Now()
	insurer := &statepb.Section{Name: "insurer", Version: 3, Text: "[insurer]\nmax_document_age_ms = 2000\n"}
	if err := f.Update(now, readReply(5, 0, routingSection(5, "5"), insurer)); err != nil {
		t.Fatal(err)
	}
	if err := f.Update(now, readReply(9, 0, routingSection(9, "4"))); err != nil {
		t.Fatal(err)
	}
	merged := f.Document()
	if got, want := merged.Schema.Insurer.MaxAge(), 2*time.Second; got != want {
		t.Errorf("maximum document age %v, want %v: an unchanged section was lost", got, want)
	}
	out := NewReadReply(merged, 5, now)
	if got, want := len(out.Document.Sections), 1; got != want {
		t.Errorf("%d sections in the reply to a process with document 5, want %d", got, want)
	}
}

// Freshness counts from when the request was sent, and expires. A confirmation
// of a newer document than the current one does not extend it.
func TestFreshnessExpires(t *testing.T) {
	f := newFollower()
	sentAt := time.Now()
	insurer := &statepb.Section{Name: "insurer", Version: 3, Text: "[insurer]\nmax_document_age_ms = 2000\n"}
	if err := f.Update(sentAt, readReply(5, 500, insurer)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {1400 * time.Millisecond, true}, {1600 * time.Millisecond, false}} {
		if got := f.Document().Fresh(sentAt.Add(c.after)); got != c.want {
			t.Errorf("fresh after %v: %v, want %v", c.after, got, c.want)
		}
	}
	later := sentAt.Add(time.Minute)
	if err := f.Update(later, &fleetpb.ReadReply{DocumentIndex: 8, ConfirmedMs: 0}); err != nil {
		t.Fatal(err)
	}
	if f.Document().Fresh(later) {
		t.Error("a confirmation of document 8 made document 5 fresh")
	}
}

// A process must not understate the age of a confirmation that it passes on.
func TestReplyDoesNotUnderstateConfirmationAge(t *testing.T) {
	now := time.Now()
	d := &LeasedDocument{Index: 5, ConfirmedAt: now.Add(-time.Second)}
	if got, atLeast := NewReadReply(d, 5, now).ConfirmedMs, int64(1000); got < atLeast {
		t.Errorf("confirmation age %d ms in the reply, want at least %d", got, atLeast)
	}
}

// Indexes arrive on many connections at once. The highest one wins, whatever the
// order in which they are recorded.
func TestWantedIndexNeverFalls(t *testing.T) {
	f := newFollower()
	f.refresh = make(chan struct{}, 1)
	var wg sync.WaitGroup
	const highest = 2000
	for start := range 4 {
		wg.Go(func() {
			for i := uint64(start); i <= highest; i += 4 {
				f.ObserveDocument(i)
			}
		})
	}
	wg.Wait()
	if got, want := f.wantedIndex.Load(), uint64(highest); got != want {
		t.Errorf("wanted index %d, want %d", got, want)
	}
}

// Guards against an older state of the evacuated zones that replaces a newer one, against one
// that is lost with a new document, and against a reply that leaves it out.
func TestEvacuationsNeverRevert(t *testing.T) {
	f := newFollower()
	var seen []uint64
	f.cfg.OnEvacuations = func(e *statepb.Evacuations) { seen = append(seen, e.Index) }
	for i, index := range []uint64{3, 2, 7, 0, 5, 7, 9} {
		reply := readReply(uint64(10+i), 0, routingSection(uint64(10+i), "4"))
		reply.Evacuations = &statepb.Evacuations{Index: index}
		if err := f.Update(time.Now(), reply); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := fmt.Sprint(seen), "[3 7 9]"; got != want {
		t.Errorf("evacuated zones of the indexes %s in force one after another, want %s", got, want)
	}
	if err := f.Update(time.Now(), readReply(30, 0, routingSection(30, "4"))); err != nil {
		t.Fatal(err)
	}
	if got, want := f.HandleRead(&fleetpb.Read{AtLeast: 30}).Evacuations.GetIndex(), uint64(9); got != want {
		t.Errorf("a reply has the evacuated zones of index %d, want %d", got, want)
	}
}
