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
	// maxCommitments is the number of entries in one message.
	maxCommitments = 256
	// maxCommittedPieces limits the pieces of one entry. It is many times what a process
	// admits for one rank and account.
	maxCommittedPieces = 1 << 20
)

// heldCommitments are the latest commitments of one process at the owner, by shard.
type heldCommitments map[shard][]batching.Commitment

// set replaces the commitments for a shard. It reports false if the owner does not know the
// service; there are none then.
func (h *heldCommitments) set(o *Owner, s shard, next []batching.Commitment) bool {
	d, ok := o.dispatcher(s)
	if !ok {
		return false
	}
	if *h == nil {
		*h = make(heldCommitments)
	}
	d.commit((*h)[s], next)
	if (*h)[s] = next; len(next) == 0 {
		delete(*h, s)
	}
	return true
}

// drop takes back all commitments.
func (h *heldCommitments) drop(o *Owner) {
	for s, held := range *h {
		o.mu.Lock()
		d := o.dispatchers[s]
		o.mu.Unlock()
		d.commit(held, nil)
	}
	*h = nil
}

// commit replaces commitments by others.
func (d *dispatcher) commit(before, after []batching.Commitment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range before {
		c.Pieces = -c.Pieces
		d.queue.Commit(c)
	}
	for _, c := range after {
		d.queue.Commit(c)
	}
}

// backlog returns the current backlog of a shard and what each further piece adds, false if
// the service is not known.
func (o *Owner) backlog(s shard) (waits batching.Backlog, piece time.Duration, ok bool) {
	d, ok := o.dispatcher(s)
	if !ok {
		return batching.Backlog{}, 0, false
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	capacity := d.capacity(now)
	return d.queue.Backlog(now, capacity), d.queue.PieceWait(capacity), true
}

// ServiceCommitments is the number of pieces that admitted requests will still send to a
// service.
type ServiceCommitments struct {
	// Service is the service, followed by the availability zone if it is split by zone.
	Service string
	Pieces  int
}

// Commitments returns what is committed to the services that this process owns, in the
// order of their names.
func (o *Owner) Commitments() []ServiceCommitments {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []ServiceCommitments
	for s, d := range o.dispatchers {
		d.mu.Lock()
		out = append(out, ServiceCommitments{Service: s.key(), Pieces: d.queue.Committed()})
		d.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b ServiceCommitments) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// commit applies the commitments of the process and replies with the backlog.
func (s *peerSession) commit(m *fleetpb.PieceCommitments) {
	of := shard{service: m.GetService(), zone: m.GetShard()}
	if s.committed.set(s.owner, of, commitmentsOf(m.GetPieces())) {
		s.reply(of, m.GetSeq())
	}
}

func commitmentsOf(pieces []*fleetpb.CommittedPieces) []batching.Commitment {
	var out []batching.Commitment
	for _, c := range pieces[:min(maxCommitments, len(pieces))] {
		if n := int(min(c.GetPieces(), maxCommittedPieces)); n > 0 {
			out = append(out, batching.Commitment{Rank: site.Rank(c.GetRank()), Account: c.GetAccount(), Pieces: n})
		}
	}
	return out
}

func commitmentsMessage(s shard, seq uint64, held []batching.Commitment) *fleetpb.PieceCommitments {
	m := &fleetpb.PieceCommitments{Service: s.service, Shard: s.zone, Seq: seq}
	for _, c := range held {
		m.Pieces = append(m.Pieces, &fleetpb.CommittedPieces{Rank: int32(c.Rank), Account: c.Account, Pieces: uint32(c.Pieces)})
	}
	return m
}

// replies are the responses to commitments that are due on one stream. Of several for a
// shard the last is sent, so that a stream on which nothing moves holds one for each.
type replies struct {
	mu sync.Mutex
	// due holds the seq of the message to respond to.
	due     map[shard]uint64
	sending bool
}

// reply sends the backlog of a shard in response to the message with a seq, without waiting
// for the stream.
func (s *peerSession) reply(of shard, seq uint64) {
	s.replies.mu.Lock()
	defer s.replies.mu.Unlock()
	if s.replies.due == nil {
		s.replies.due = make(map[shard]uint64)
	}
	s.replies.due[of] = seq
	if s.replies.sending {
		return
	}
	s.replies.sending = true
	s.wg.Go(s.sendReplies)
}

func (s *peerSession) sendReplies() {
	for {
		of, seq, ok := s.replies.next()
		if !ok {
			return
		}
		waits, piece, known := s.owner.backlog(of)
		if !known {
			continue
		}
		m := &fleetpb.PieceBacklog{Service: of.service, Shard: of.zone, Seq: seq, Backlog: backlogMessage(waits), PieceUs: piece.Microseconds()}
		if err := s.stream.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceBacklog{PieceBacklog: m}}); err != nil {
			s.owner.cfg.Log.Debug("backlog not delivered", zap.String("service", of.key()), zap.Error(err))
		}
	}
}

// next returns a response that is due. If there is none, nothing is being sent any more.
func (r *replies) next() (of shard, seq uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for of, seq := range r.due {
		delete(r.due, of)
		return of, seq, true
	}
	r.sending = false
	return shard{}, 0, false
}
