package batching

import (
	"cmp"
	"slices"

	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Commitment is a number of pieces of a rank and an account that admitted requests will
// still send. They wait for the results of earlier stages.
type Commitment struct {
	Rank    site.Rank
	Account string
	Pieces  int
}

// committed holds the commitments of a queue. The zero value holds none.
type committed struct {
	// ranks is in ascending order, and holds the ranks with pieces alone.
	ranks  []*committedRank
	pieces int
}

// committedRank holds the commitments of one rank.
type committedRank struct {
	rank     site.Rank
	pieces   int
	accounts map[string]int
}

// noCommitments stands for a rank without commitments.
var noCommitments committedRank

// Commit adds a number of pieces to the commitments of a rank and an account, or takes it
// off if it is negative. Only Backlog counts commitments: the order of the queue and Admit
// are about jobs that have arrived.
func (q *Queue) Commit(c Commitment) { q.committed.add(c) }

// Committed returns the number of pieces that are committed.
func (q *Queue) Committed() int { return q.committed.pieces }

func (s *committed) add(c Commitment) {
	i, ok := slices.BinarySearchFunc(s.ranks, c.Rank, func(r *committedRank, rank site.Rank) int { return cmp.Compare(r.rank, rank) })
	if !ok {
		s.ranks = slices.Insert(s.ranks, i, &committedRank{rank: c.Rank, accounts: make(map[string]int)})
	}
	r := s.ranks[i]
	s.pieces += c.Pieces
	r.pieces += c.Pieces
	r.accounts[c.Account] += c.Pieces
	if r.accounts[c.Account] == 0 {
		delete(r.accounts, c.Account)
	}
	if len(r.accounts) == 0 {
		s.ranks = slices.Delete(s.ranks, i, i+1)
	}
}

// own returns the committed pieces of an account.
func (s *committed) own(account string) int {
	sum := 0
	for _, r := range s.ranks {
		sum += r.accounts[account]
	}
	return sum
}

// below returns the committed pieces of the accounts that are not over their share.
func (r *committedRank) below(over map[string]fairshare.Standing) int {
	sum := r.pieces
	for account := range over {
		sum -= r.accounts[account]
	}
	return sum
}

// byRank visits the ranks with jobs or commitments in ascending order.
func (q *Queue) byRank(visit func(r *rankLanes, c *committedRank)) {
	lanes, pending := q.lanes.ranks, q.committed.ranks
	for len(lanes) > 0 || len(pending) > 0 {
		switch {
		case len(pending) == 0 || len(lanes) > 0 && lanes[0].rank < pending[0].rank:
			visit(lanes[0], &noCommitments)
			lanes = lanes[1:]
		case len(lanes) == 0 || pending[0].rank < lanes[0].rank:
			visit(&rankLanes{rank: pending[0].rank}, pending[0])
			pending = pending[1:]
		default:
			visit(lanes[0], pending[0])
			lanes, pending = lanes[1:], pending[1:]
		}
	}
}
