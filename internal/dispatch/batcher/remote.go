package batcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/operator/logs"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/serve/fairshare"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// Values of the failure field of a PieceResult.
const (
	failureRefused    = "refused"
	failureInputsGone = "inputs_gone"
	// failureOther is followed by the error text.
	failureOther = "failed: "
)

func (j Job) pieceCall(id uint64) *fleetpb.PieceCall {
	return &fleetpb.PieceCall{
		Id:      id,
		Request: j.RequestID,
		Service: j.Service,
		Stage:   uint32(j.Stage),
		Pieces:  uint32(j.Pieces),
		Key:     j.Key,
		Inputs:  j.Inputs,
		LeftMs:  j.Timeout.Milliseconds(),
		AimMs:   j.Objective.Milliseconds(),
		RestMs:  j.Remaining.Milliseconds(),
		Rank:    int32(j.Rank),
		Zone:    j.Zone,

		ResultBytes: j.ResultBytes,
		InputBytes:  j.InputBytes,
		InputsTtlMs: j.InputsTTL.Milliseconds(),
		Shard:       j.shardZone,
		Account:     j.Account,
		Asked:       askedMessage(j.asked),
		Counted:     j.counted,
	}
}

func jobOf(m *fleetpb.PieceCall) Job {
	return Job{
		RequestID: m.Request,
		Service:   m.Service,
		Stage:     int(m.Stage),
		Pieces:    int(m.Pieces),
		Key:       m.Key,
		Inputs:    m.Inputs,
		Timeout:   time.Duration(m.LeftMs) * time.Millisecond,
		Objective: time.Duration(m.AimMs) * time.Millisecond,
		Remaining: time.Duration(m.RestMs) * time.Millisecond,
		Rank:      site.Rank(m.Rank),
		Zone:      m.Zone,

		ResultBytes: m.ResultBytes,
		InputBytes:  m.InputBytes,
		InputsTTL:   time.Duration(m.InputsTtlMs) * time.Millisecond,
		shardZone:   m.Shard,
		Account:     m.Account,
		asked:       askedOf(m.Asked),
		counted:     m.Counted,
	}
}

func askedMessage(asked map[string]int) []*fleetpb.AccountPieces {
	var out []*fleetpb.AccountPieces
	for account, pieces := range asked {
		out = append(out, &fleetpb.AccountPieces{Account: account, Pieces: uint64(pieces)})
	}
	return out
}

// askedOf returns the pieces that accounts have asked for. No number is taken for larger
// than maxAskedPieces.
func askedOf(asked []*fleetpb.AccountPieces) map[string]int {
	if len(asked) == 0 {
		return nil
	}
	out := make(map[string]int, len(asked))
	for _, a := range asked {
		out[a.GetAccount()] = int(min(a.GetPieces(), maxAskedPieces))
	}
	return out
}

// maxAskedPieces limits the pieces that one message reports for an account. It is many
// times what an entry is asked for between two messages.
const maxAskedPieces = 1 << 20

func pieceResult(id uint64, r Result) *fleetpb.PieceResult {
	m := &fleetpb.PieceResult{Id: id}
	switch r := r.(type) {
	case Completed:
		m.Handles = r.Handles
		m.QueuedMs = r.Queued.Milliseconds()
		m.OldestMs = r.Oldest.Milliseconds()
		m.Calls = uint32(r.Calls)
		m.Backlog = backlogMessage(r.Backlog)
	case Refused:
		m.Failure = failureRefused
		m.RetryMs = r.RetryAfter.Milliseconds()
		m.Backlog = backlogMessage(r.Backlog)
	case Failed:
		m.Failure = failureOther + r.Err.Error()
		if r.InputsGone {
			m.Failure = failureInputsGone
		}
	}
	return m
}

func resultOf(m *fleetpb.PieceResult) Result {
	backlog := backlogOf(m.Backlog)
	switch m.Failure {
	case "":
		return Completed{
			Handles: m.Handles,
			Queued:  time.Duration(m.QueuedMs) * time.Millisecond,
			Calls:   int(m.Calls),
			Oldest:  time.Duration(m.OldestMs) * time.Millisecond,
			Backlog: backlog,
		}
	case failureRefused:
		return Refused{RetryAfter: time.Duration(m.RetryMs) * time.Millisecond, Backlog: backlog}
	case failureInputsGone:
		return Failed{InputsGone: true, Err: errInputsGone}
	default:
		return Failed{Err: errors.New(m.Failure)}
	}
}

func backlogMessage(b batching.Backlog) *fleetpb.Backlog {
	m := &fleetpb.Backlog{LastMs: b.Total.Milliseconds(), Ranks: rankWaits(b.Ranks), Below: rankWaits(b.Below)}
	for account, w := range b.Over {
		m.Over = append(m.Over, &fleetpb.AccountWait{Account: account, Met: w.Standing == fairshare.Above, WaitMs: w.OnTime.Milliseconds(), LastMs: w.Total.Milliseconds(), PieceUs: w.Piece.Microseconds()})
	}
	return m
}

func rankWaits(waits []batching.RankWait) []*fleetpb.RankWait {
	var out []*fleetpb.RankWait
	for _, w := range waits {
		out = append(out, &fleetpb.RankWait{Rank: int32(w.Rank), WaitMs: w.Wait.Milliseconds()})
	}
	return out
}

func backlogOf(m *fleetpb.Backlog) batching.Backlog {
	b := batching.Backlog{
		Total: time.Duration(m.GetLastMs()) * time.Millisecond,
		Ranks: rankWaitsOf(m.GetRanks()),
		Below: rankWaitsOf(m.GetBelow()),
	}
	for _, a := range m.GetOver() {
		if b.Over == nil {
			b.Over = make(map[string]batching.AccountWait)
		}
		w := batching.AccountWait{
			Standing: fairshare.Unmet,
			OnTime:   time.Duration(a.GetWaitMs()) * time.Millisecond,
			Total:    time.Duration(a.GetLastMs()) * time.Millisecond,
			Piece:    time.Duration(a.GetPieceUs()) * time.Microsecond,
		}
		if a.GetMet() {
			w.Standing = fairshare.Above
		}
		b.Over[a.GetAccount()] = w
	}
	return b
}

func rankWaitsOf(waits []*fleetpb.RankWait) []batching.RankWait {
	var out []batching.RankWait
	for _, w := range waits {
		out = append(out, batching.RankWait{Rank: site.Rank(w.GetRank()), Wait: time.Duration(w.GetWaitMs()) * time.Millisecond})
	}
	return out
}

// Serve runs the jobs of another process until its stream ends, and then cancels
// those that are still running.
func (o *Owner) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { st.Close() })
	s := &peerSession{owner: o, stream: st, cancels: make(map[uint64]context.CancelFunc)}
	defer s.wg.Wait()
	defer s.committed.drop(o)
	defer stop()
	defer cancel()
	for e := first; ; {
		s.handle(ctx, e)
		next, err := st.Recv()
		if err != nil {
			return
		}
		e = next
	}
}

// peerSession is the stream from one process whose jobs run here.
type peerSession struct {
	owner  *Owner
	stream *link.Stream
	mu     sync.Mutex
	// cancels are the cancel functions of the running jobs, by ID.
	cancels map[uint64]context.CancelFunc
	// committed are the commitments of the process. Only Serve uses them.
	committed heldCommitments
	replies   replies
	wg        sync.WaitGroup
}

func (s *peerSession) handle(ctx context.Context, e *fleetpb.Envelope) {
	switch body := e.Body.(type) {
	case *fleetpb.Envelope_PieceCall:
		s.startJob(ctx, body.PieceCall)
	case *fleetpb.Envelope_PieceCancel:
		s.mu.Lock()
		if cancel := s.cancels[body.PieceCancel.Id]; cancel != nil {
			cancel()
		}
		s.mu.Unlock()
	case *fleetpb.Envelope_PieceRelease:
		s.owner.release(shard{service: body.PieceRelease.Service, zone: body.PieceRelease.Shard}, body.PieceRelease.Handles)
	case *fleetpb.Envelope_PieceCommitments:
		s.commit(body.PieceCommitments)
	}
}

func (s *peerSession) startJob(ctx context.Context, m *fleetpb.PieceCall) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.LeftMs)*time.Millisecond)
	s.mu.Lock()
	s.cancels[m.Id] = cancel
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		job := jobOf(m)
		job.OnDispatched = func() { go s.sendDispatched(m.Id) }
		r := s.owner.doRecovered(ctx, job)
		s.mu.Lock()
		delete(s.cancels, m.Id)
		s.mu.Unlock()
		if err := s.stream.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceResult{PieceResult: pieceResult(m.Id, r)}}); err != nil {
			s.owner.cfg.Log.Debug("job result not delivered", zap.String("request", m.Request), zap.Error(err))
			if completed, ok := r.(Completed); ok {
				s.owner.release(job.shard(), completed.Handles)
			}
		}
	}()
}

// doRecovered is Do, but for a panic: it fails the job and not the process.
func (o *Owner) doRecovered(ctx context.Context, job Job) (r Result) {
	defer logs.Recover(o.cfg.Log, "pieces of request "+job.RequestID, func(err error) { r = Failed{Err: err} })
	return o.Do(ctx, job)
}

// sendDispatched notifies the process that all pieces of a job are dispatched.
func (s *peerSession) sendDispatched(id uint64) {
	note := &fleetpb.PieceResult{Id: id, Dispatched: true}
	if err := s.stream.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceResult{PieceResult: note}}); err != nil {
		s.owner.cfg.Log.Debug("dispatch notification not delivered", zap.Error(err))
	}
}
