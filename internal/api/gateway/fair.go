package gateway

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/dispatch/batcher"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
)

// Causes of refusals in logs and metrics.
const (
	// causeShare means that the account asks for more than its share.
	causeShare = "over_share"
	// causeCapacity means that the request could not be served in time although its
	// account asks for less than its share.
	causeCapacity = "capacity"
)

// sharing is what a Server needs to share scarce capacity between accounts. It is safe for
// concurrent use.
type sharing struct {
	mu      sync.Mutex
	returns *fairshare.Returns
	// refused counts the refusals by account and cause.
	refused map[refusal]int
}

type refusal struct{ account, cause string }

func newSharing() sharing {
	return sharing{returns: fairshare.NewReturns(), refused: make(map[refusal]int)}
}

// fair reports whether scarce capacity is shared between accounts.
func (s *Server) fair() bool { return s.cfg.Fair != nil && s.cfg.Fair() }

// recordAsked records what the account of the request asks for, so that the owners of the
// services know it also of requests that are refused here, and whether the request is the
// return of one that was refused.
func (q *request) recordAsked() {
	s := q.server
	if !s.fair() {
		return
	}
	for i, stage := range q.route.Stages {
		if n := q.pieceCount(i); n > 0 {
			s.cfg.Asked(batcher.Job{RequestID: q.ID, Service: stage.Service, Pieces: n, Zone: q.stageZone(), Account: q.account})
		}
	}
	s.sharing.mu.Lock()
	defer s.sharing.mu.Unlock()
	q.returned = s.sharing.returns.Claim(q.start, q.returnKey())
}

func (q *request) returnKey() fairshare.ReturnKey {
	return fairshare.ReturnKey{Account: q.account, Route: q.route.Name, Connection: q.http.RemoteAddr}
}

// standing returns the standing of the account at the service of a stage where it is
// highest.
func (q *request) standing() fairshare.Standing {
	highest := fairshare.Below
	for i, stage := range q.route.Stages {
		if q.pieceCount(i) > 0 {
			highest = max(highest, q.server.cfg.Standing(stage.Service, q.stageZone(), q.account))
		}
	}
	return highest
}

// shareRefusal spreads the return of a caller that is refused for lack of capacity, and
// records for which account and why. Memory is shared by its own rule.
func (s *Server) shareRefusal(q *request, f *failure) *failure {
	if q.route == nil || f.bodyUnread || f.status != http.StatusServiceUnavailable || f.retryAfter <= 0 || s.draining.Load() || !s.fair() {
		return f
	}
	spread := *f
	spread.retryAfter = fairshare.RetryAfter(f.retryAfter, rand.Float64())
	standing, cause := q.standing(), causeCapacity
	if standing != fairshare.Below {
		cause = causeShare
	}
	s.cfg.Log.Info("account refused", q.fields(zap.Stringer("standing", standing), zap.String("cause", cause), zap.Bool("returned", q.returned), zap.Duration("retry", spread.retryAfter))...)
	s.sharing.mu.Lock()
	defer s.sharing.mu.Unlock()
	s.sharing.returns.Expect(time.Now(), q.returnKey(), spread.retryAfter)
	s.sharing.refused[refusal{account: q.account, cause: cause}]++
	return &spread
}

// Refusals is how often requests of an account were refused for a cause.
type Refusals struct {
	Account, Cause string
	Count          int
}

// Refusals returns the refusals since the process started for lack of capacity that is
// shared between accounts, the most frequent first, at most limit.
func (s *Server) Refusals(limit int) []Refusals {
	s.sharing.mu.Lock()
	defer s.sharing.mu.Unlock()
	out := make([]Refusals, 0, len(s.sharing.refused))
	for r, n := range s.sharing.refused {
		out = append(out, Refusals{Account: r.account, Cause: r.cause, Count: n})
	}
	slices.SortFunc(out, func(a, b Refusals) int {
		return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Cause, b.Cause))
	})
	return out[:min(limit, len(out))]
}
