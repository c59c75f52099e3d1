package catalog

import (
	"hash/fnv"
	"strconv"

	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Buckets is the number of buckets that upstreams are sorted into by their ID, to find
// the differences of two tables.
const Buckets = 64

// Digests are the digests of the buckets of a table. Two tables with the same upstreams
// that have not left have the same ones, whatever the sequence numbers of their
// announcements.
type Digests [Buckets]uint64

// Sum returns the digest of the whole table.
func (d Digests) Sum() uint64 {
	sum := uint64(0)
	for _, b := range d {
		sum ^= b
	}
	return sum
}

// Differing returns the numbers of the buckets that differ from those of another
// table. If the other one has another number of buckets, all differ.
func (d Digests) Differing(other []uint64) map[uint32]bool {
	out := make(map[uint32]bool)
	for i, b := range d {
		if len(other) != Buckets || other[i] != b {
			out[uint32(i)] = true
		}
	}
	return out
}

// bucketOf returns the bucket of an upstream.
func bucketOf(id string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return h.Sum32() % Buckets
}

// digest returns what the upstream contributes to the digest of its bucket, 0 if it has
// left: tombstones are forgotten at different times.
func (u Upstream) digest() uint64 {
	if u.ID == "" || u.State == Left {
		return 0
	}
	h := fnv.New64a()
	for _, field := range []string{u.ID, u.Service, u.Address, u.Zone, u.Version, strconv.Itoa(u.Slots), strconv.FormatInt(u.StartTimeMs, 10), strconv.Itoa(int(u.State))} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	// Upstreams without cold periods have the digest of earlier versions.
	if u.ColdSeq > 0 || u.ColdMark > 0 {
		h.Write([]byte(strconv.FormatUint(u.ColdSeq, 10) + "\x00" + strconv.FormatUint(u.ColdMark, 10)))
	}
	return h.Sum64()
}

// Digests returns the digests of the table.
func (t *Table) Digests() Digests {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests
}

// replaceDigest keeps the digests in step with the replacement of an upstream. Either
// may be the zero value. The caller holds mu.
func (t *Table) replaceDigest(before, after Upstream) {
	if before.ID != "" {
		t.digests[bucketOf(before.ID)] ^= before.digest()
	}
	if after.ID != "" {
		t.digests[bucketOf(after.ID)] ^= after.digest()
	}
}

// InBuckets returns the upstreams in the given buckets.
func (t *Table) InBuckets(buckets map[uint32]bool) []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Upstream
	for id, u := range t.byID {
		if buckets[bucketOf(id)] {
			out = append(out, u)
		}
	}
	return out
}

// bucketSet returns the buckets in a list of numbers.
func bucketSet(numbers []uint32) map[uint32]bool {
	out := make(map[uint32]bool, len(numbers))
	for _, n := range numbers {
		out[n] = true
	}
	return out
}

// protoByID returns announcements by the ID of their upstream.
func protoByID(words []*fleetpb.UpstreamWord) map[string]*fleetpb.UpstreamWord {
	out := make(map[string]*fleetpb.UpstreamWord, len(words))
	for _, w := range words {
		out[w.Id] = w
	}
	return out
}
