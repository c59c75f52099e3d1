package catalog

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// drawTable returns a table after some announcements, the expiry of some upstreams
// included.
func drawTable(t *rapid.T, label string) *Table {
	table := New(Config{})
	for range rapid.IntRange(0, 25).Draw(t, label) {
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
		address := rapid.SampledFrom([]string{"1:1", "2:1", "3:1"}).Draw(t, "address")
		s := rapid.SampledFrom([]State{Ready, Ready, Draining, Left}).Draw(t, "state")
		seq := uint64(rapid.IntRange(1, 20).Draw(t, "seq"))
		table.Merge(announcement(id, address, int64(rapid.IntRange(1, 4).Draw(t, "start")), seq, s))
		if rapid.IntRange(0, 9).Draw(t, "expire") == 0 {
			table.UpdateSilence(t0.Add(time.Hour))
			table.RemoveExpired(t0.Add(time.Hour), time.Minute)
		}
	}
	return table
}

// The digests that are kept in step with each change are those of the upstreams in the
// table.
func TestDigestsFollowTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t, "announcements")
		var want Digests
		for _, u := range table.All() {
			want[bucketOf(u.ID)] ^= u.digest()
		}
		if got := table.Digests(); got != want {
			t.Fatalf("digests differ from those of the %d upstreams", len(table.All()))
		}
	})
}

// Two tables that exchange the buckets in which they differ agree afterwards, unless
// they dispute an address.
func TestDifferingBucketsSettleTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(Config{}), New(Config{})
		for i, table := range []*Table{a, b} {
			for range rapid.IntRange(0, 15).Draw(t, "announcements") {
				id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
				s := rapid.SampledFrom([]State{Ready, Draining, Left}).Draw(t, "state")
				table.Merge(announcement(id, id+":1", int64(rapid.IntRange(1, 3).Draw(t, "start")), uint64(10*int(s)+i), s))
			}
		}
		theirs := b.Digests()
		differing := a.Digests().Differing(theirs[:])
		var numbers []uint32
		var sent []*fleetpb.UpstreamWord
		for n := range differing {
			numbers = append(numbers, n)
		}
		for _, u := range a.InBuckets(differing) {
			sent = append(sent, u.Proto(t0))
		}
		for _, w := range sent {
			b.Merge(FromProto(w, t0))
		}
		for _, w := range b.Lacking(numbers, sent, t0) {
			a.Merge(FromProto(w, t0))
		}
		if got, want := a.Digests(), b.Digests(); got != want {
			t.Fatalf("tables differ after the exchange: %v and %v", states(a), states(b))
		}
	})
}
