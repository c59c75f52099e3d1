package batcher

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

const (
	// commitInterval is the least time between two messages with commitments for a shard.
	commitInterval = 50 * time.Millisecond
	// maxBacklogAge is the age of a backlog from which a decision that rests on it asks the
	// owner for the current one. A request that is held changes no commitments, and would
	// see the backlog lose its weight while the queue is as long as before.
	maxBacklogAge = 100 * time.Millisecond
)

// commitments are what the admitted requests of this process will still send. The zero
// value holds none.
type commitments struct {
	mu     sync.Mutex
	shards map[shard]*shardCommitments
	// held are those for the shards that this process owns.
	held heldCommitments
}

// shardCommitments are the commitments for one shard. A goroutine sends them while there
// are any.
type shardCommitments struct {
	pieces  map[commitmentKey]int
	changed bool
	sending bool
	// seq is that of the last message.
	seq uint64
	// owner is the address that the last message went to, and stream the channel that is
	// closed at the end of its stream. Both are empty if there is none.
	owner  string
	stream <-chan struct{}
	// recent are the pieces of requests that were admitted after the last backlog.
	recent []recentCommitment
	// piece is what each further piece adds to a delay, 0 if no owner has said so.
	piece time.Duration
	// heard is when the last response arrived, sent when the last message was sent.
	heard, sent time.Time
}

type commitmentKey struct {
	rank    site.Rank
	account string
}

// recentCommitment is a number of pieces that responses to messages before seq do not
// include. at is when the first of them were committed.
type recentCommitment struct {
	commitmentKey
	seq    uint64
	pieces int
	at     time.Time
}

// Commitment is the pieces of one stage that an admitted request will still send. Its
// methods are safe for concurrent use.
type Commitment struct {
	router *Router
	shard  shard
	key    commitmentKey
	pieces int
	once   sync.Once
}

// Commit tells the owner of a job's service that an admitted request will send the job. The
// commitment lasts until one of its methods is called.
func (r *Router) Commit(job Job) *Commitment {
	c := &Commitment{
		router: r,
		shard:  shardOf(job, r.upstreams(job.Service)),
		key:    commitmentKey{rank: job.Rank, account: job.Account},
		pieces: job.Pieces,
	}
	r.commitments.mu.Lock()
	defer r.commitments.mu.Unlock()
	s := r.commitments.shard(c.shard)
	s.remember(time.Now(), c)
	r.changeCommitment(s, c, job.Pieces)
	return c
}

// Sent ends the commitment because its job is sent.
func (c *Commitment) Sent() { c.end(false) }

// Withdraw ends the commitment of a request that has ended. It has no effect after Sent.
func (c *Commitment) Withdraw() { c.end(true) }

func (c *Commitment) end(withdrawn bool) {
	c.once.Do(func() {
		r := c.router
		r.commitments.mu.Lock()
		defer r.commitments.mu.Unlock()
		s := r.commitments.shard(c.shard)
		if withdrawn {
			s.forget(c)
		}
		r.changeCommitment(s, c, -c.pieces)
	})
}

// shard returns the commitments for a shard. The caller holds mu.
func (c *commitments) shard(s shard) *shardCommitments {
	if c.shards == nil {
		c.shards = make(map[shard]*shardCommitments)
	}
	if c.shards[s] == nil {
		c.shards[s] = &shardCommitments{pieces: make(map[commitmentKey]int)}
	}
	return c.shards[s]
}

// remember adds the pieces of a commitment to the recent ones.
func (s *shardCommitments) remember(now time.Time, c *Commitment) {
	s.recent = slices.DeleteFunc(s.recent, func(old recentCommitment) bool { return now.Sub(old.at) > backlogLifetime })
	for i := range s.recent {
		if old := &s.recent[i]; old.seq == s.seq+1 && old.commitmentKey == c.key {
			old.pieces += c.pieces
			return
		}
	}
	s.recent = append(s.recent, recentCommitment{commitmentKey: c.key, seq: s.seq + 1, pieces: c.pieces, at: now})
}

// forget takes the pieces of a commitment, which will not be sent, off the recent ones.
func (s *shardCommitments) forget(c *Commitment) {
	for i := range s.recent {
		if old := &s.recent[i]; old.commitmentKey == c.key && old.pieces >= c.pieces {
			old.pieces -= c.pieces
			return
		}
	}
}

// changeCommitment changes the number of pieces of a commitment. The caller holds the mutex
// of the commitments.
func (r *Router) changeCommitment(s *shardCommitments, c *Commitment, change int) {
	s.pieces[c.key] += change
	if s.pieces[c.key] == 0 {
		delete(s.pieces, c.key)
	}
	r.touchCommitments(c.shard, s)
}

// touchCommitments has the commitments for a shard sent. The caller holds the mutex of the
// commitments.
func (r *Router) touchCommitments(of shard, s *shardCommitments) {
	s.changed = true
	if !s.sending {
		s.sending = r.start(func() { r.sendCommitments(of, s) })
	}
}

// sendCommitments sends the commitments for a shard when they have changed or have another
// owner, until there are none.
func (r *Router) sendCommitments(of shard, s *shardCommitments) {
	for {
		owner, ok := r.owner(of)
		if !ok {
			owner.Link = r.cfg.Self
		}
		r.leaveOwner(of, s, owner.Link)
		if owner.Link == r.cfg.Self {
			r.commitHere(of, s)
		} else {
			r.commitAt(owner, of, s)
		}
		select {
		case <-time.After(commitInterval):
		case <-r.ctx.Done():
		}
		r.commitments.mu.Lock()
		if s.sending = r.ctx.Err() == nil && (s.changed || len(s.pieces) > 0); !s.sending {
			r.commitments.mu.Unlock()
			return
		}
		r.commitments.mu.Unlock()
	}
}

// leaveOwner takes the commitments back from an owner that another one has followed.
func (r *Router) leaveOwner(of shard, s *shardCommitments, next string) {
	r.commitments.mu.Lock()
	before := s.owner
	if before == next {
		r.commitments.mu.Unlock()
		return
	}
	s.owner, s.stream, s.changed = next, nil, true
	seq := s.seq
	r.commitments.mu.Unlock()
	switch before {
	case "":
	case r.cfg.Self:
		r.commitments.mu.Lock()
		defer r.commitments.mu.Unlock()
		r.commitments.held.set(r.cfg.Owner, of, nil)
	default:
		// An owner whose stream has ended has dropped them.
		_ = r.remote(before).send(commitmentsEnvelope(of, seq, nil))
	}
}

func commitmentsEnvelope(of shard, seq uint64, held []batching.Commitment) *fleetpb.Envelope {
	return &fleetpb.Envelope{Body: &fleetpb.Envelope_PieceCommitments{PieceCommitments: commitmentsMessage(of, seq, held)}}
}

// commitHere applies commitments for a shard that this process owns.
func (r *Router) commitHere(of shard, s *shardCommitments) {
	r.commitments.mu.Lock()
	held, seq, ok := s.take(nil)
	if ok {
		r.commitments.held.set(r.cfg.Owner, of, held)
	}
	r.commitments.mu.Unlock()
	if !ok {
		return
	}
	if waits, piece, known := r.cfg.Owner.backlog(of); known {
		r.recordResponse(of, seq, waits, piece)
	}
}

// take returns what the next message holds and its seq, false if nothing has changed and it
// was sent over the same stream. The caller holds the mutex of the commitments.
func (s *shardCommitments) take(stream <-chan struct{}) (held []batching.Commitment, seq uint64, ok bool) {
	if !s.changed && s.stream == stream {
		return nil, 0, false
	}
	s.changed, s.stream, s.sent = false, stream, time.Now()
	s.seq++
	return s.entries(), s.seq, true
}

// entries returns the commitments with the most pieces first. What is more than fits into a
// message counts for the account with the empty name.
func (s *shardCommitments) entries() []batching.Commitment {
	out := make([]batching.Commitment, 0, len(s.pieces))
	for key, pieces := range s.pieces {
		out = append(out, batching.Commitment{Rank: key.rank, Account: key.account, Pieces: pieces})
	}
	if len(out) <= maxCommitments {
		return out
	}
	slices.SortFunc(out, func(a, b batching.Commitment) int {
		return cmp.Or(-cmp.Compare(a.Pieces, b.Pieces), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Account, b.Account))
	})
	return mergeRest(out)
}

// mergeRest merges the entries that do not fit by rank.
func mergeRest(entries []batching.Commitment) []batching.Commitment {
	rest := make(map[site.Rank]int)
	named := maxCommitments
	// Each rank among the rest needs an entry.
	for ranks := 1; ; ranks++ {
		clear(rest)
		named = max(0, maxCommitments-ranks)
		for _, c := range entries[named:] {
			rest[c.Rank] += c.Pieces
		}
		if len(rest) <= ranks || named == 0 {
			break
		}
	}
	out := entries[:named:named]
	for rank, pieces := range rest {
		out = append(out, batching.Commitment{Rank: rank, Pieces: pieces})
	}
	return out
}

// commitAt sends commitments to an owner in another process.
func (r *Router) commitAt(owner Candidate, of shard, s *shardCommitments) {
	o, err := r.connect(r.ctx, owner.Link)
	if err == nil {
		err = r.sendCommitmentsTo(o, of, s)
	}
	if err != nil && r.ctx.Err() == nil {
		r.cfg.Log.Warn("owner of pieces not told of commitments, trying the next",
			zap.String("service", of.key()), zap.String("owner", owner.Link), zap.Error(err))
		r.markLost(owner)
	}
}

func (r *Router) sendCommitmentsTo(o *remoteOwner, of shard, s *shardCommitments) error {
	o.mu.Lock()
	stream, lost := o.stream, o.lost
	o.mu.Unlock()
	if stream == nil {
		return errOwnerLost
	}
	r.commitments.mu.Lock()
	isNew := s.stream != lost
	held, seq, ok := s.take(lost)
	r.commitments.mu.Unlock()
	if !ok {
		return nil
	}
	messages := []*fleetpb.Envelope{commitmentsEnvelope(of, seq, held)}
	if isNew {
		// A program that does not know commitments ends a stream that begins with them.
		first := &fleetpb.PieceRelease{Service: of.service, Shard: of.zone}
		messages = append([]*fleetpb.Envelope{{Body: &fleetpb.Envelope_PieceRelease{PieceRelease: first}}}, messages...)
	}
	return stream.Send(messages...)
}

// applyBacklog records the response of the owner at an address.
func (r *Router) applyBacklog(address string, m *fleetpb.PieceBacklog) {
	of := shard{service: m.GetService(), zone: m.GetShard()}
	r.commitments.mu.Lock()
	s := r.commitments.shards[of]
	current := s != nil && s.owner == address
	r.commitments.mu.Unlock()
	if current {
		r.recordResponse(of, m.GetSeq(), backlogOf(m.GetBacklog()), time.Duration(m.GetPieceUs())*time.Microsecond)
	}
}

// recordResponse records a backlog that includes the commitments of the message with a seq.
func (r *Router) recordResponse(of shard, seq uint64, waits batching.Backlog, piece time.Duration) {
	r.recordBacklog(of, waits)
	r.commitments.mu.Lock()
	defer r.commitments.mu.Unlock()
	s := r.commitments.shard(of)
	s.recent = slices.DeleteFunc(s.recent, func(c recentCommitment) bool { return c.seq <= seq })
	s.piece, s.heard = piece, time.Now()
}

// CommittedWait is QueueWait with the pieces that were committed after the last backlog. It
// has the owner asked for the current backlog if the last one is old.
func (r *Router) CommittedWait(service, zone, account string, rank site.Rank) (onTime, total time.Duration) {
	of := shardOf(Job{Service: service, Zone: zone}, r.upstreams(service))
	now := time.Now()
	r.mu.Lock()
	b := r.backlogs[of]
	r.mu.Unlock()
	weight := max(0, 1-now.Sub(b.at).Seconds()/backlogLifetime.Seconds())
	onTime, total = b.waits.ForAccount(account, rank)
	onTime, total = time.Duration(float64(onTime)*weight), time.Duration(float64(total)*weight)
	r.commitments.mu.Lock()
	defer r.commitments.mu.Unlock()
	s := r.commitments.shard(of)
	if now.Sub(s.heard) > maxBacklogAge && now.Sub(s.sent) > maxBacklogAge && !s.changed {
		r.touchCommitments(of, s)
	}
	ahead, all := s.recentWait(now, commitmentKey{rank: rank, account: account}, b.waits.Over[account].Piece)
	return onTime + ahead, total + all
}

// recentWait returns the delay due to the recent commitments for a job with a key: ahead is
// due to those that go before it, all to all. own is what each further piece of its account
// adds, 0 if the account is below its share.
func (s *shardCommitments) recentWait(now time.Time, key commitmentKey, own time.Duration) (ahead, all time.Duration) {
	ofAccount := time.Duration(0)
	for _, c := range s.recent {
		if now.Sub(c.at) > backlogLifetime {
			continue
		}
		wait := time.Duration(c.pieces) * s.piece
		all += wait
		if c.rank <= key.rank {
			ahead += wait
		}
		if c.account == key.account {
			ofAccount += time.Duration(c.pieces) * own
		}
	}
	return max(ahead, ofAccount), max(all, ofAccount)
}
