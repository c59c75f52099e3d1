package warmup

import (
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/rendezvous"
	"hawthornhub.example/hawthornhub/internal/serve/eligible"
)

const (
	// contactRetention is how long an entry keeps its full share after it last had
	// contact with a majority of the control instances. The others count it for
	// goneRetention from the moment at which these no longer list it; the difference
	// covers the time that it takes to notice the loss.
	contactRetention = 8 * time.Second
	// settleTime is how long an entry that starts has no share: until all others in
	// contact know of it, and what they sent under the shares before that is out of the
	// window. News take 450 ms at most.
	settleTime = time.Second + arrivalJitter + 450*time.Millisecond
	// returnTime is how long an entry has to be in contact before it has a full share. By
	// then the entries that it does not know, because they lost their contact before, have
	// none any more.
	returnTime = contactRetention + settleTime
)

// Config configures a Limiter.
type Config struct {
	// Self is the name of this entry.
	Self string
	// Over and Slack give the bound for the requests of all entries that reach a cold
	// upstream within a second: Over times what it tolerates in a second, plus Slack.
	Over, Slack float64
}

// Contact is how much an entry knows of the present state of the fleet.
type Contact struct {
	// Current is set if it knows which upstreams are cold: it is in contact with a
	// control instance, whose state it has in full.
	Current bool
	// Majority is set if it is in contact with a majority of the control instances. Two
	// such entries share an instance, which lists both.
	Majority bool
}

// Upstream is an upstream at the time of a decision.
type Upstream struct {
	ID string
	// PerSecond is the number of requests that it tolerates in a second while it is
	// cold, 0 for no limit.
	PerSecond float64
	// Cold is set if it is known to be cold, Left to how much longer, 0 if that is not
	// known.
	Cold bool
	Left time.Duration
}

// Limiter decides whether an entry may send a request to an upstream.
type Limiter struct {
	cfg     Config
	members members
	contact Contact
	// startedAt is when the present state was first known, majorityAt when there was
	// last contact with a majority, and joinedAt when that contact began. They are valid
	// if started and hadMajority are set.
	started, hadMajority            bool
	startedAt, majorityAt, joinedAt time.Duration
	standing                        standing
	upstreams                       map[string]*upstreamState
	// last is the state that was looked up last.
	last *upstreamState
}

// upstreamState is what is known of one upstream.
type upstreamState struct {
	id string
	// next is the state that was looked up after this one the last time. Decisions go
	// through the same upstreams in the same order, which saves most look-ups in the map.
	next   *upstreamState
	window window
	// rank is that of this entry among the members of the given version, share its share
	// in the given standing.
	rank, version int
	standing      standing
	perSecond     float64
	share         int
	// length is that of the window in which the share counts.
	length time.Duration
}

// New returns the Limiter of an entry that has just started.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, members: newMembers(cfg.Self), upstreams: make(map[string]*upstreamState)}
}

// SetEntries replaces the names of the live entries.
func (l *Limiter) SetEntries(now time.Duration, names []string) { l.members.update(now, names) }

// SetContact records how much the entry knows at now. It is called before each decision
// and at least once a second.
func (l *Limiter) SetContact(now time.Duration, c Contact) {
	regained := c.Majority && !l.contact.Majority
	l.contact = c
	if c.Majority {
		l.members.expire(now, regained)
		if !l.hadMajority || now-l.majorityAt > contactRetention {
			l.joinedAt = now
		}
		l.hadMajority, l.majorityAt = true, now
	}
	if c.Current && !l.started {
		l.started, l.startedAt = true, now
	}
	l.updateBudget(now)
}

// Limits reports whether an upstream counts as cold. Without contact, each upstream that
// may be cold does.
func (l *Limiter) Limits(u Upstream) bool {
	return u.PerSecond > 0 && (u.Cold || !l.contact.Current)
}

// standing is which requests an entry shares with the others.
type standing int

const (
	// unsettled entries have no share.
	unsettled standing = iota
	// isolated entries share a part of the margin, as those in contact may not count
	// them any more, or they may not know all that have a full share.
	isolated
	// counted entries share what an upstream tolerates.
	counted
)

func (l *Limiter) updateBudget(now time.Duration) {
	switch {
	case l.hadMajority && now-l.majorityAt <= contactRetention && now-l.joinedAt >= returnTime:
		l.standing = counted
	case l.started && now-l.startedAt >= settleTime:
		l.standing = isolated
	default:
		l.standing = unsettled
	}
}

// budget returns the number of requests in a window that the entries of the same standing
// share.
func (l *Limiter) budget(perSecond float64) int {
	switch l.standing {
	case counted:
		return rateOf(perSecond).count
	case isolated:
		return l.cfg.isolatedBudget(perSecond)
	default:
		return 0
	}
}

// Share returns the number of requests that this entry may send to an upstream in a
// window while that is cold.
func (l *Limiter) Share(u Upstream) int { return l.share(u, l.state(u.ID)) }

func (l *Limiter) share(u Upstream, s *upstreamState) int {
	if s.version == l.members.version && s.standing == l.standing && s.perSecond == u.PerSecond {
		return s.share
	}
	if s.version != l.members.version {
		s.rank = rendezvous.Rank(u.ID, l.cfg.Self, l.members.names, func(name string) string { return name })
		s.version = l.members.version
	}
	s.standing, s.perSecond = l.standing, u.PerSecond
	s.length = rateOf(u.PerSecond).window
	s.share = shareOf(l.budget(u.PerSecond), len(l.members.names), s.rank)
	return s.share
}

func (l *Limiter) state(id string) *upstreamState {
	if l.last != nil && l.last.next != nil && l.last.next.id == id {
		l.last = l.last.next
		return l.last
	}
	s := l.upstreams[id]
	if s == nil {
		s = &upstreamState{id: id}
		l.upstreams[id] = s
	}
	if l.last != nil {
		l.last.next = s
	}
	l.last = s
	return s
}

// Wait returns how long after now no request may be sent to an upstream, 0 if one may be
// sent, eligible.Unknown if the end is not known.
func (l *Limiter) Wait(now time.Duration, u Upstream) time.Duration {
	if !l.Limits(u) {
		return 0
	}
	return l.wait(now, u, l.state(u.ID))
}

// wait is Wait for an upstream that counts as cold.
func (l *Limiter) wait(now time.Duration, u Upstream, s *upstreamState) time.Duration {
	wait := eligible.Unknown
	if share := l.share(u, s); share > 0 {
		wait = s.window.wait(now, share, s.length)
	}
	return min(wait, l.coldFor(u))
}

// coldFor returns how much longer an upstream counts as cold, eligible.Unknown if that is
// not known.
func (l *Limiter) coldFor(u Upstream) time.Duration {
	if !l.contact.Current || u.Left <= 0 {
		return eligible.Unknown
	}
	return u.Left
}

// Take counts a request to an upstream that is written right after it. It returns 0, or
// the time after which one may be sent if none may be sent now. Requests to upstreams
// that are not cold count as well, as these may become cold within the next second.
func (l *Limiter) Take(now time.Duration, u Upstream) time.Duration {
	if u.PerSecond <= 0 {
		return 0
	}
	s := l.state(u.ID)
	if l.Limits(u) {
		if wait := l.wait(now, u, s); wait > 0 {
			return wait
		}
	}
	s.window.add(now, min(maxShare, max(rateOf(u.PerSecond).count, l.cfg.isolatedBudget(u.PerSecond))))
	return 0
}

// Retain drops what is known of the upstreams for which keep returns false.
func (l *Limiter) Retain(keep func(id string) bool) {
	l.last = nil
	for id, s := range l.upstreams {
		s.next = nil
		if !keep(id) {
			delete(l.upstreams, id)
		}
	}
}
