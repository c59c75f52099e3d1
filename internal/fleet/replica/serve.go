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

// serveTimeout bounds a proposal or a linearizable read on behalf of another
// process.
const serveTimeout = 5 * time.Second

// Serve handles one stream from another process, whose first message is first.
func (r *Replica) Serve(ctx context.Context, st *link.Stream, first *fleetpb.Envelope) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	switch body := first.Body.(type) {
	case *fleetpb.Envelope_Replica:
		r.receiveAll(st, first)
	case *fleetpb.Envelope_Hello:
		reply := r.HandleHello(body.Hello)
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_HelloReply{HelloReply: reply}})
	case *fleetpb.Envelope_Propose:
		result, err := r.Propose(ctx, body.Propose.Command)
		if err != nil {
			r.sendFailure(st, err)
			return
		}
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Result{Result: result}})
	case *fleetpb.Envelope_Read:
		r.serveRead(ctx, st, body.Read)
	}
}

// receiveAll delivers the Raft messages of another replica until its stream
// ends.
func (r *Replica) receiveAll(st *link.Stream, e *fleetpb.Envelope) {
	for {
		if m := e.GetReplica(); m != nil {
			r.Receive(e.From, m)
		}
		next, err := st.Recv()
		if err != nil {
			r.cfg.Log.Debug("raft message stream ended", zap.String("from", e.From), zap.Error(err))
			return
		}
		e = next
	}
}

// serveRead answers a linearizable read, or a read of the document alone, which
// carries the leader's last confirmation and needs no new one.
func (r *Replica) serveRead(ctx context.Context, st *link.Stream, read *fleetpb.Read) {
	if !read.Linear {
		s := r.Status()
		if s.Role != raft.Leader {
			r.sendFailure(st, &NotLeaderError{Leader: s.LeaderName})
			return
		}
		reply := control.NewReadReply(r.Document(), read.AtLeast, time.Now())
		_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: reply}})
		return
	}
	reply := &fleetpb.ReadReply{}
	err := r.Read(ctx, func(m *fsm.Machine) { fillReadReply(reply, read, m) })
	if err != nil {
		r.sendFailure(st, err)
		return
	}
	_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_ReadReply{ReadReply: reply}})
}

func fillReadReply(reply *fleetpb.ReadReply, read *fleetpb.Read, m *fsm.Machine) {
	reply.DocumentIndex = m.DocumentIndex()
	if read.Document {
		reply.Document = m.Document()
	}
	if read.Adopted {
		reply.Adopted = m.SiteDocument()
	}
	if read.Evacuations {
		reply.Evacuations = m.Evacuations()
	}
	if read.EndedStarts {
		reply.EndedStarts = m.EndedStarts()
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

// sendFailure replies with the failure for err. A NotLeaderError carries the
// leader's name, so that the client can ask it directly.
func (r *Replica) sendFailure(st *link.Stream, err error) {
	f := &fleetpb.Failure{Kind: failure.Dropped, Detail: err.Error(), Remedy: "send it again"}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		f = &fleetpb.Failure{Kind: failure.NotLeader, Detail: err.Error(), Remedy: "ask the leader", Leader: notLeader.Leader}
	}
	_ = st.Send(&fleetpb.Envelope{Body: &fleetpb.Envelope_Failure{Failure: f}})
}
