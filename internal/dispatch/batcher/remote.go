package batcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/serve/batching"
	"hawthornhub.example/hawthornhub/internal/state/site"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// The failures in a PieceResult.
const (
	failureRefused    = "refused"
	failureInputsGone = "inputs_gone"
	failureOther      = "failed: "
)

func (o Order) message(id uint64) *fleetpb.PieceCall {
	return &fleetpb.PieceCall{
		Id:      id,
		Request: o.Request,
		Service: o.Service,
		Stage:   uint32(o.Stage),
		Pieces:  uint32(o.Pieces),
		Key:     o.Key,
		Inputs:  o.Inputs,
		LeftMs:  o.Left.Milliseconds(),
		AimMs:   o.Objective.Milliseconds(),
		RestMs:  o.Rest.Milliseconds(),
		Rank:    int32(o.Rank),
		Zone:    o.Zone,

		ResultBytes: o.ResultBytes,
		InputBytes:  o.InputBytes,
	}
}

func orderOf(m *fleetpb.PieceCall) Order {
	return Order{
		Request:   m.Request,
		Service:   m.Service,
		Stage:     int(m.Stage),
		Pieces:    int(m.Pieces),
		Key:       m.Key,
		Inputs:    m.Inputs,
		Left:      time.Duration(m.LeftMs) * time.Millisecond,
		Objective: time.Duration(m.AimMs) * time.Millisecond,
		Rest:      time.Duration(m.RestMs) * time.Millisecond,
		Rank:      site.Rank(m.Rank),
		Zone:      m.Zone,

		ResultBytes: m.ResultBytes,
		InputBytes:  m.InputBytes,
	}
}

func messageOf(id uint64, r Result) *fleetpb.PieceResult {
	m := &fleetpb.PieceResult{Id: id}
	switch r := r.(type) {
	case Made:
		m.Handles = r.Handles
		m.QueuedMs = r.Queued.Milliseconds()
		m.Calls = uint32(r.Calls)
		m.Backlog = backlogMessage(r.Backlog)
	case Refused:
		m.Failure = failureRefused
		m.RetryMs = r.Retry.Milliseconds()
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
		return Made{Handles: m.Handles, Queued: time.Duration(m.QueuedMs) * time.Millisecond, Calls: int(m.Calls), Backlog: backlog}
	case failureRefused:
		return Refused{Retry: time.Duration(m.RetryMs) * time.Millisecond, Backlog: backlog}
	case failureInputsGone:
		return Failed{InputsGone: true, Err: errGone}
	default:
		return Failed{Err: errors.New(m.Failure)}
	}
}

func backlogMessage(b batching.Backlog) *fleetpb.Backlog {
	m := &fleetpb.Backlog{LastMs: b.Total.Milliseconds()}
	for _, w := range b.Ranks {
		m.Ranks = append(m.Ranks, &fleetpb.RankWait{Rank: int32(w.Rank), WaitMs: w.Wait.Milliseconds()})
	}
	return m
}

func backlogOf(m *fleetpb.Backlog) batching.Backlog {
	b := batching.Backlog{Total: time.Duration(m.GetLastMs()) * time.Millisecond}
	for _, w := range m.GetRanks() {
		b.Ranks = append(b.Ranks, batching.RankWait{Rank: site.Rank(w.Rank), Wait: time.Duration(w.WaitMs) * time.Millisecond})
	}
	return b
}

// Serve answers the orders of another process until its stream ends, which
// withdraws those that have not ended.
func (o *Owner) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { st.Close() })
	s := &serving{owner: o, stream: st, cancels: make(map[uint64]context.CancelFunc)}
	defer s.wg.Wait()
	defer stop()
	defer cancel()
	for e := first; ; {
		s.take(ctx, e)
		next, err := st.Recv()
		if err != nil {
			return
		}
		e = next
	}
}

// serving is the stream of one process that has orders here.
type serving struct {
	owner   *Owner
	stream  *link.Stream
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	wg      sync.WaitGroup
}

func (s *serving) take(ctx context.Context, e *fleetpb.Envelope) {
	switch body := e.Body.(type) {
	case *fleetpb.Envelope_PieceCall:
		s.begin(ctx, body.PieceCall)
	case *fleetpb.Envelope_PieceCancel:
		s.mu.Lock()
		if cancel := s.cancels[body.PieceCancel.Id]; cancel != nil {
			cancel()
		}
		s.mu.Unlock()
	case *fleetpb.Envelope_PieceRelease:
		s.owner.release(body.PieceRelease.Service, body.PieceRelease.Handles)
	}
}

func (s *serving) begin(ctx context.Context, m *fleetpb.PieceCall) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.LeftMs)*time.Millisecond)
	s.mu.Lock()
	s.cancels[m.Id] = cancel
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer cancel()
		order := orderOf(m)
		order.Dispatched = func() { go s.dispatched(m.Id) }
		r := s.owner.Do(ctx, order)
		s.mu.Lock()
		delete(s.cancels, m.Id)
		s.mu.Unlock()
		if err := s.stream.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceResult{PieceResult: messageOf(m.Id, r)}}); err != nil {
			s.owner.cfg.Log.Debug("result of pieces not delivered", zap.String("request", m.Request), zap.Error(err))
			if made, ok := r.(Made); ok {
				s.owner.release(m.Service, made.Handles)
			}
		}
	}()
}

// dispatched tells the process that all pieces of its order are on their way.
func (s *serving) dispatched(id uint64) {
	note := &fleetpb.PieceResult{Id: id, Dispatched: true}
	if err := s.stream.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_PieceResult{PieceResult: note}}); err != nil {
		s.owner.cfg.Log.Debug("dispatch not told", zap.Error(err))
	}
}
