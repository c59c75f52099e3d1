package control

import (
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func reply(index uint64, confirmedMs int64, sections ...*statepb.Section) *fleetpb.ReadReply {
	return &fleetpb.ReadReply{
		DocumentIndex: index, ConfirmedMs: confirmedMs,
		Document: &statepb.Document{Index: index, Sections: sections},
	}
}

func routing(version uint64, candidates string) *statepb.Section {
	return &statepb.Section{Name: "routing", Version: version, Text: "[routing]\ncandidates = " + candidates + "\n"}
}

func newFollower() *Follower {
	f := &Follower{}
	f.held.Store(&Held{})
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
		if err := f.Take(now, reply(step.index, 0, routing(step.index, step.text))); err != nil {
			t.Fatal(err)
		}
		if got := f.Held().Schema.Routing.Candidates; got != step.want {
			t.Errorf("after document %d: candidates %d, want %d", step.index, got, step.want)
		}
	}
}

func TestNewerSectionsAreMergedIntoTheOlder(t *testing.T) {
	f := newFollower()
	now := time.Now()
	insurer := &statepb.Section{Name: "insurer", Version: 3, Text: "[insurer]\nmax_document_age_ms = 2000\n"}
	if err := f.Take(now, reply(5, 0, routing(5, "5"), insurer)); err != nil {
		t.Fatal(err)
	}
	if err := f.Take(now, reply(9, 0, routing(9, "4"))); err != nil {
		t.Fatal(err)
	}
	held := f.Held()
	if got, want := held.Schema.Insurer.MaxAge(), 2*time.Second; got != want {
		t.Errorf("age %v, want %v: an untouched section was lost", got, want)
	}
	out := Reply(held, 5, now)
	if got, want := len(out.Document.Sections), 1; got != want {
		t.Errorf("%d sections sent to one that holds 5, want %d", got, want)
	}
}

// The lease counts from before the question and lapses; a confirmation of a
// document that is newer than the one held does not count.
func TestFreshnessLapses(t *testing.T) {
	f := newFollower()
	asked := time.Now()
	insurer := &statepb.Section{Name: "insurer", Version: 3, Text: "[insurer]\nmax_document_age_ms = 2000\n"}
	if err := f.Take(asked, reply(5, 500, insurer)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {1400 * time.Millisecond, true}, {1600 * time.Millisecond, false}} {
		if got := f.Held().Fresh(asked.Add(c.after)); got != c.want {
			t.Errorf("fresh after %v: %v, want %v", c.after, got, c.want)
		}
	}
	later := asked.Add(time.Minute)
	if err := f.Take(later, &fleetpb.ReadReply{DocumentIndex: 8, ConfirmedMs: 0}); err != nil {
		t.Fatal(err)
	}
	if f.Held().Fresh(later) {
		t.Error("a confirmation of document 8 made document 5 fresh")
	}
}

// A relay passes its confirmation on no younger than it is.
func TestRelayedConfirmationGrowsOlder(t *testing.T) {
	now := time.Now()
	h := &Held{Index: 5, Confirmed: now.Add(-time.Second)}
	if got, least := Reply(h, 5, now).ConfirmedMs, int64(1000); got < least {
		t.Errorf("age %d ms passed on, want at least %d", got, least)
	}
}
