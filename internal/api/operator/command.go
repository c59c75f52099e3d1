package operator

import (
	"fmt"
	"net/http"

	"hawthornhub.example/hawthornhub/internal/state/document"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

func (s *Server) edit(w http.ResponseWriter, r *http.Request, req request) {
	var e Edit
	if !readJSON(w, r, &e) {
		return
	}
	edit := &statepb.Edit{Id: e.ID, Team: req.team, Base: e.Base, Whole: e.Whole, Sections: map[string]string{e.Section: e.Text}}
	if e.Whole {
		edit.Sections = document.Split(e.Text)
	}
	result, err := s.cfg.Client.Propose(req.ctx, &statepb.Command{Body: &statepb.Command_Edit{Edit: edit}})
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: err.Error(), Remedy: "send the same edit id again"})
		return
	}
	s.cfg.Timeline.Add("edit", "", fmt.Sprintf("%s by %s: %s", e.ID, req.team, ResultName(result.Kind)))
	writeJSON(w, editStatus(result.Kind), EditResult{
		Result:      ResultName(result.Kind),
		Detail:      result.Detail,
		Remedy:      result.Remedy,
		Index:       result.Document,
		CurrentText: result.Standing,
		Version:     result.Index,
	})
}

func editStatus(k statepb.ResultKind) int {
	switch k {
	case statepb.ResultKind_RESULT_KIND_OK:
		return http.StatusOK
	case statepb.ResultKind_RESULT_KIND_CONFLICT:
		return http.StatusConflict
	case statepb.ResultKind_RESULT_KIND_FORBIDDEN:
		return http.StatusForbidden
	default:
		return http.StatusUnprocessableEntity
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request, req request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	if o.ID == "" || o.Upstream == "" || o.Action == "" {
		writeProblem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: "an order needs id, upstream and action", Remedy: "give all three"})
		return
	}
	m := s.findMember(o.Upstream)
	if m == nil {
		writeUnknownProcess(w, o.Upstream)
		return
	}
	order := &statepb.Order{Id: o.ID, Upstream: o.Upstream, Action: o.Action, Model: o.Model}
	result, err := s.cfg.Client.Propose(req.ctx, &statepb.Command{Body: &statepb.Command_Order{Order: order}})
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: err.Error(), Remedy: "send the same order id again"})
		return
	}
	numbered := &fleetpb.OrderRequest{Number: result.Number, Action: o.Action, Model: o.Model}
	reply, err := s.cfg.Pool.RoundTrip(req.ctx, m.Link, &fleetpb.Envelope{Body: &fleetpb.Envelope_OrderRequest{OrderRequest: numbered}})
	if err != nil {
		writeProblem(w, http.StatusBadGateway, Problem{Kind: "unreachable", Detail: err.Error(), Remedy: "check the agent and give a new order"})
		return
	}
	got := reply.GetOrderReply()
	s.cfg.Timeline.Add("order", "", fmt.Sprintf("%d to %s by %s: obeyed %t", result.Number, o.Upstream, req.team, got.GetObeyed()))
	writeJSON(w, http.StatusOK, OrderResult{Number: result.Number, Obeyed: got.GetObeyed(), Detail: got.GetDetail()})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, req request) {
	var d Drain
	if !readJSON(w, r, &d) {
		return
	}
	m := s.findMember(d.Name)
	if m == nil {
		writeUnknownProcess(w, d.Name)
		return
	}
	if _, err := s.cfg.Pool.RoundTrip(req.ctx, m.Link, &fleetpb.Envelope{Body: &fleetpb.Envelope_DrainRequest{DrainRequest: &fleetpb.DrainRequest{}}}); err != nil {
		writeProblem(w, http.StatusBadGateway, Problem{Kind: "unreachable", Detail: err.Error(), Remedy: "check the process; a dead one needs no drain"})
		return
	}
	s.cfg.Timeline.Add("drain", "", d.Name+" by "+req.team)
	writeJSON(w, http.StatusOK, d)
}
