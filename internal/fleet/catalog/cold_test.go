package catalog

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// coldAnnouncement is an announcement that an upstream makes at a time after t0, with
// the time that it stays cold.
func coldAnnouncement(seq uint64, at, left time.Duration) Upstream {
	u := announcement("a", "1:1", 10, seq, Ready)
	u.LastSeen = t0.Add(at)
	if left > 0 {
		u.ColdUntil = u.LastSeen.Add(left)
	}
	return u
}

// Guards against a change that is told with each heartbeat of a cold period, against an
// extension that is not told, and against a period that ends early because a heartbeat
// was delayed.
func TestColdPeriodIsToldWhenItBeginsOrIsExtended(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	tests := []struct {
		name     string
		seq      uint64
		at, left time.Duration
		want     Outcome
		// coldFor is how long the upstream is cold after the announcement.
		coldFor time.Duration
	}{
		{"first announcement, not cold", 1, 0, 0, Changed, 0},
		{"not cold", 2, s, 0, Refreshed, 0},
		{"a period begins", 3, 2 * s, 3 * s, Changed, 3*s + ColdMargin},
		{"the same period", 4, 3 * s, 2 * s, Refreshed, 2*s + ColdMargin},
		{"the same period, delayed on the way", 5, 4*s + 200*ms, s, Refreshed, 800*ms + ColdMargin},
		{"it is extended", 6, 4*s + 300*ms, 3 * s, Changed, 3*s + ColdMargin},
		{"a late announcement", 2, 4*s + 400*ms, 9 * s, Stale, 2900*ms + ColdMargin},
		{"no longer cold", 7, 8 * s, 0, Refreshed, 0},
		{"cold again without a start", 8, 9 * s, 3 * s, Changed, 3*s + ColdMargin},
		{"a whole zone falls back within the period", 9, 10 * s, 3 * s, Changed, 3*s + ColdMargin},
	}
	table := New(Config{})
	for _, tt := range tests {
		if got := table.Announce(coldAnnouncement(tt.seq, tt.at, tt.left)); got != tt.want {
			t.Errorf("%s: outcome %s, want %s", tt.name, got, tt.want)
		}
		u, _ := table.Get("a")
		if left, cold := u.Cold(t0.Add(tt.at)); left != tt.coldFor || cold != (tt.coldFor > 0) {
			t.Errorf("%s: cold for %v (%t), want %v", tt.name, left, cold, tt.coldFor)
		}
	}
}

// Guards against a cold period that is lost because a later announcement without it
// arrived first, and against tables that go on differing after they have compared their
// digests.
func TestColdPeriodsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generator := rapid.Custom(func(t *rapid.T) Upstream {
			startMs := int64(rapid.IntRange(1, 2).Draw(t, "start"))
			s := rapid.SampledFrom([]State{Ready, Ready, Ready, Draining, Left}).Draw(t, "state")
			seq := uint64(rapid.IntRange(1, 6).Draw(t, "seq")) + 10*uint64(s)
			u := announcement("a", "a:1", startMs, seq, s)
			u.ColdSeq = uint64(rapid.IntRange(0, 4).Draw(t, "cold seq"))
			if u.ColdSeq > 0 {
				u.ColdUntil = t0.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "left")) * time.Second)
			}
			u.ColdMark = uint64(rapid.IntRange(0, 2).Draw(t, "mark"))
			return u
		})
		announcements := rapid.SliceOfN(generator, 1, 10).Draw(t, "announcements")
		shuffled := rapid.Permutation(append(announcements, announcements...)).Draw(t, "order")
		a, b := New(Config{}), New(Config{})
		for _, u := range announcements {
			a.Merge(u)
		}
		for _, u := range shuffled {
			b.Merge(u)
		}
		got, _ := b.Get("a")
		want, _ := a.Get("a")
		if got.ColdSeq != want.ColdSeq || !got.ColdUntil.Equal(want.ColdUntil) || got.ColdMark != want.ColdMark {
			t.Fatalf("in another order: got %+v, want %+v", got, want)
		}
		if got, want := b.Digests(), a.Digests(); got != want {
			t.Fatalf("in another order: got digests %v, want %v", got, want)
		}
	})
}

// Guards against an entry that has missed a cold period and does not find out: a process
// that knows of one differs in its digest, and the exchange of buckets settles it in
// both directions.
func TestDigestShowsMissedColdPeriod(t *testing.T) {
	knows, missed := New(Config{}), New(Config{})
	for _, table := range []*Table{knows, missed} {
		table.Announce(coldAnnouncement(1, 0, 0))
	}
	if got, want := missed.Digests(), knows.Digests(); got != want {
		t.Fatalf("before the period: digests %v, want %v", got, want)
	}
	knows.Announce(coldAnnouncement(2, time.Second, 3*time.Second))
	theirs := knows.Digests()
	buckets := missed.Digests().Differing(theirs[:])
	if len(buckets) != 1 {
		t.Fatalf("%d buckets differ, want 1", len(buckets))
	}
	now := t0.Add(1100 * time.Millisecond)
	if got, want := len(missed.Lacking([]uint32{bucketOf("a")}, knows.Departed(now), now)), 1; got != want {
		t.Errorf("%d upstreams that the other lists nothing of, want %d", got, want)
	}
	for _, w := range knows.Lacking([]uint32{bucketOf("a")}, nil, now) {
		missed.Merge(FromProto(w, now))
	}
	u, _ := missed.Get("a")
	if left, _ := u.Cold(now); left != 2900*time.Millisecond+ColdMargin {
		t.Errorf("cold for %v, want 2.9 s and the margin", left)
	}
	if got, want := missed.Digests(), knows.Digests(); got != want {
		t.Errorf("after the exchange: digests %v, want %v", got, want)
	}
	older, _ := missed.Get("a")
	older = older.withoutCold()
	if got, want := len(knows.Lacking([]uint32{bucketOf("a")}, []*fleetpb.UpstreamWord{older.Proto(now)}, now)), 1; got != want {
		t.Errorf("%d upstreams lacking at a process without the period, want %d", got, want)
	}
}

// Guards against upstreams of a zone that get the full load at once after its
// evacuation, and against a mark that an announcement from before it removes.
func TestMarkedZoneIsColdUntilNextAnnouncement(t *testing.T) {
	registry, entry := New(Config{}), New(Config{})
	tell := func() {
		for _, u := range registry.All() {
			entry.Merge(FromProto(u.Proto(t0), t0))
		}
	}
	registry.Announce(coldAnnouncement(1, 0, 0))
	tell()
	entry.MarkCold("z", 7)
	tell()
	if u, _ := entry.Get("a"); !isCold(u) || isCold(entry.Ready("rerank")[0]) != true {
		t.Error("not cold after the mark")
	}
	entry.MarkCold("other", 9)
	registry.MarkCold("z", 7)
	registry.MarkCold("z", 6)
	if got, want := registry.Announce(coldAnnouncement(2, time.Second, 0)), Changed; got != want {
		t.Errorf("first announcement after the mark: %s, want %s", got, want)
	}
	if got, want := registry.Announce(coldAnnouncement(3, 2*time.Second, 0)), Refreshed; got != want {
		t.Errorf("second announcement after the mark: %s, want %s", got, want)
	}
	tell()
	if u, _ := entry.Get("a"); isCold(u) {
		t.Error("cold after an announcement that says otherwise")
	}
	if got, want := entry.Digests(), registry.Digests(); got != want {
		t.Errorf("digests %v, want %v", got, want)
	}
}

func isCold(u Upstream) bool {
	_, cold := u.Cold(t0)
	return cold
}
