package balance

import (
	"hash/fnv"
	"slices"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/catalog"
	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
)

const (
	// prefixTTL is how long an upstream is expected to keep a prefix in its cache after it
	// was last used.
	prefixTTL = time.Minute
	// maxHolders is the number of upstreams remembered for one prefix.
	maxHolders = 4
	// maxPrefixes is the number of prefixes of one generation. The memory holds two.
	maxPrefixes = 4096
)

// holder is an upstream that a prefix was sent to.
type holder struct {
	id          string
	startTimeMs int64
	usedAt      time.Time
}

// prefixMemory remembers which upstreams the prefixes of prompts were sent to. It keeps
// two generations and drops the older one when the newer is full. The zero value is empty.
type prefixMemory struct {
	current, previous map[uint64][]holder
	homes             map[string]home
}

// home is the upstream in a zone that a prefix hashes to, as of a time.
type home struct {
	id, zone string
	at       time.Time
}

// homeTTL is how long a home is kept. Ranking 400 upstreams takes most of the time of a
// decision, and while they change, a prefix may have another home for a moment.
const homeTTL = 250 * time.Millisecond

// home returns the ID of the upstream that a prefix hashes to among those in an availability
// zone, or among all if the zone is empty or has none. Requests with the prefix have their
// inputs in that zone, and an upstream elsewhere would not be chosen for them.
func (m *prefixMemory) home(now time.Time, prefix, zone string, candidates []catalog.Upstream) string {
	if h, ok := m.homes[prefix]; ok && h.zone == zone && now.Sub(h.at) < homeTTL {
		return h.id
	}
	key := rendezvous.NewKey(prefix)
	best, bestWeight, bestInZone := 0, uint64(0), false
	for i := range candidates {
		inZone := zone != "" && candidates[i].Zone == zone
		if bestInZone && !inZone {
			continue
		}
		if w := key.Weight(candidates[i].ID); w > bestWeight || inZone && !bestInZone {
			best, bestWeight, bestInZone = i, w, inZone
		}
	}
	if m.homes == nil || len(m.homes) >= maxPrefixes {
		m.homes = make(map[string]home)
	}
	m.homes[prefix] = home{id: candidates[best].ID, zone: zone, at: now}
	return candidates[best].ID
}

// prompt is the prompt of one request with what is known of its prefixes.
type prompt struct {
	// total is the number of tokens, cachable those of the segments that other requests
	// may share.
	total, cachable int
	prefixes        []promptPrefix
}

// promptPrefix is a prefix of a prompt that ends with a segment.
type promptPrefix struct {
	hash    uint64
	tokens  int
	holders []holder
}

// newPrompt looks up the prefixes of a prompt.
func (m *prefixMemory) newPrompt(info PickInfo) prompt {
	var p prompt
	h := fnv.New64a()
	for _, s := range info.Prompt {
		p.total += s.Tokens
		if info.Prefix == "" {
			continue
		}
		h.Write([]byte(s.ID))
		h.Write([]byte{0})
		sum := h.Sum64()
		p.prefixes = append(p.prefixes, promptPrefix{hash: sum, tokens: p.total, holders: m.holders(sum)})
		if s.ID == info.Prefix {
			p.cachable = p.total
		}
	}
	return p
}

func (m *prefixMemory) holders(hash uint64) []holder {
	if found, ok := m.current[hash]; ok {
		return found
	}
	return m.previous[hash]
}

// cached returns the number of tokens at the start of the prompt that an upstream has in
// its cache, as far as this process has sent them there.
func (p *prompt) cached(now time.Time, u *catalog.Upstream) int {
	for i := len(p.prefixes) - 1; i >= 0; i-- {
		for _, h := range p.prefixes[i].holders {
			if h.id == u.ID && h.startTimeMs == u.StartTimeMs && now.Sub(h.usedAt) < prefixTTL {
				return p.prefixes[i].tokens
			}
		}
	}
	return 0
}

// longestHeld returns the upstreams that the longest prefix that was sent before was sent
// to.
func (p *prompt) longestHeld() []holder {
	for i := len(p.prefixes) - 1; i >= 0; i-- {
		if len(p.prefixes[i].holders) > 0 {
			return p.prefixes[i].holders
		}
	}
	return nil
}

// heldBy reports whether an upstream is among the holders of a prefix.
func heldBy(holders []holder, id string) bool {
	for i := range holders {
		if holders[i].id == id {
			return true
		}
	}
	return false
}

// sent records that the prompt is sent to an upstream.
func (m *prefixMemory) sent(now time.Time, p *prompt, u *catalog.Upstream) {
	if len(p.prefixes) == 0 {
		return
	}
	if m.current == nil || len(m.current) >= maxPrefixes {
		m.previous, m.current = m.current, make(map[uint64][]holder)
	}
	for _, prefix := range p.prefixes {
		kept := []holder{{id: u.ID, startTimeMs: u.StartTimeMs, usedAt: now}}
		for _, h := range m.holders(prefix.hash) {
			if h.id != u.ID && len(kept) < maxHolders {
				kept = append(kept, h)
			}
		}
		m.current[prefix.hash] = slices.Clip(kept)
	}
}
