package replica

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"hawthornhub.example/hawthornhub/internal/fleet/control"
	"hawthornhub.example/hawthornhub/internal/fleet/link"
	"hawthornhub.example/hawthornhub/internal/state/fsm"
	"hawthornhub.example/hawthornhub/internal/state/raft"
	"hawthornhub.example/hawthornhub/internal/wire/failure"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
)

// serveTimeout bounds a proposal or a confirmed read on behalf of another
// process.
const serveTimeout = 5 * time.Second

// Serve answers one stream of another process.
func (r *Replica) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_Replica:
		r.receiveAll(st, first)
	case *fleetpb.Envelope_Hello:
		reply := r.Hello(body.Hello)
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_HelloReply{HelloReply: reply}})
	case *fleetpb.Envelope_Propose:
		result, err := r.Propose(ctx, body.Propose.Command)
		if err != nil {
			r.fail(st, err)
			return
		}
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Result{Result: result}})
	case *fleetpb.Envelope_Read:
		r.serveRead(ctx, st, body.Read)
	}
}

// receiveAll takes the messages of another replica until its stream ends.
func (r *Replica) receiveAll(st *link.Stream, e *fleetpb.Envelope) {
	for {
		if m := e.GetReplica(); m != nil {
			r.Receive(e.From, m)
		}
		next, err := st.Recv()
		if err != nil {
			r.cfg.Log.Debug("stream of another replica ended", zap.String("from", e.From), zap.Error(err))
			return
		}
		e = next
	}
}

// serveRead answers a confirmed read, or one of the document alone from the
// leader's last confirmation.
func (r *Replica) serveRead(ctx context.Context, st *link.Stream, read *fleetpb.Read) {
	if !read.Linear {
		v := r.View()
		if v.Role != raft.Leader {
			r.fail(st, &NotLeaderError{Leader: v.LeaderName})
			return
		}
		reply := control.Reply(r.Held(), read.AtLeast, time.Now())
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: reply}})
		return
	}
	reply := &fleetpb.ReadReply{}
	err := r.Read(ctx, func(m *fsm.Machine) { fill(reply, read, m) })
	if err != nil {
		r.fail(st, err)
		return
	}
	_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: reply}})
}

func fill(reply *fleetpb.ReadReply, read *fleetpb.Read, m *fsm.Machine) {
	reply.DocumentIndex = m.DocumentIndex()
	if read.Document {
		reply.Document = m.Document()
	}
	if read.Adopted {
		reply.Adopted = m.SiteDocument()
	}
	if read.ClaimKey != "" {
		reply.Claim = m.Claim(read.ClaimAccount, read.ClaimKey)
	}
	if read.History {
		reply.History = append(reply.History, m.EditHistory()...)
		reply.Counts = m.ServiceCounts()
	}
	if read.Orders {
		reply.Orders = append(reply.Orders, m.Orders()...)
	}
}

// fail answers with a typed failure.
func (r *Replica) fail(st *link.Stream, err error) {
	f := &fleetpb.Failure{Kind: failure.Dropped, Detail: err.Error(), Remedy: "send it again"}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		f = &fleetpb.Failure{Kind: failure.NotLeader, Detail: err.Error(), Remedy: "ask the leader", Leader: notLeader.Leader}
	}
	_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Failure{Failure: f}})
}
