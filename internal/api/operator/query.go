package operator

import (
	"net/http"
	"sort"
	"strings"
	"unicode/utf8"

	"hawthornhub.example/hawthornhub/internal/fleet/timeline"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// ResultName returns the name of a result kind in the API, such as "conflict".
func ResultName(k statepb.ResultKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "RESULT_KIND_"))
}

func (s *Server) document(w http.ResponseWriter, r *http.Request, req request) {
	name := r.URL.Query().Get("section")
	out := Document{Index: req.state.DocumentIndex}
	for _, sec := range req.state.GetDocument().GetSections() {
		if name == "" || name == sec.Name {
			out.Sections = append(out.Sections, Section{Name: sec.Name, Version: sec.Version, Text: sec.Text})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, req request) {
	limit, ok := limitParam(w, r)
	if !ok {
		return
	}
	var out []HistoryEntry
	for _, e := range req.state.History {
		out = append(out, HistoryEntry{ID: e.Id, Team: e.Team, Sections: e.Detail, Result: ResultName(e.Result.GetKind()), Index: e.Index, AtMs: e.AtMs})
	}
	if n := int(limit); n > 0 && len(out) > n {
		out = out[len(out)-n:]
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) orders(w http.ResponseWriter, _ *http.Request, req request) {
	var out []Order
	for _, o := range req.state.Orders {
		out = append(out, Order{ID: o.Order.Id, Upstream: o.Order.Upstream, Action: o.Order.Action, Model: o.Order.Model, Number: o.Number, AtMs: o.AtMs})
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, req request) {
	out := Status{DocumentIndex: req.state.DocumentIndex, Members: s.cfg.Members(), Counts: req.state.Counts, Evacuated: evacuation.Zones(req.state.Evacuations)}
	out.Unresponsive = s.queryAll(req.ctx, &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: &fleetpb.Read{Status: true}}}, func(e *fleetpb.Envelope) {
		st := e.GetReadReply().GetStatus()
		if st == nil {
			return
		}
		st.Members = nil
		if st.Leader != "" {
			out.Leader = st.Leader
		}
		out.Processes = append(out.Processes, st)
	})
	sort.Slice(out.Processes, func(i, j int) bool { return out.Processes[i].Name < out.Processes[j].Name })
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) timeline(w http.ResponseWriter, r *http.Request, req request) {
	limit, ok := limitParam(w, r)
	if !ok {
		return
	}
	id := r.URL.Query().Get("request")
	if !utf8.ValidString(id) {
		// No message to another process can hold it.
		writeProblem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: "request: is not UTF-8", Remedy: "send the id of a request as the log shows it"})
		return
	}
	var lists [][]*fleetpb.Event
	events := &fleetpb.EventsRequest{Request: id, Limit: limit}
	unresponsive := s.queryAll(req.ctx, &fleetpb.Envelope{Body: &fleetpb.Envelope_EventsRequest{EventsRequest: events}}, func(e *fleetpb.Envelope) {
		lists = append(lists, e.GetEventsReply().GetEvents())
	})
	writeJSON(w, http.StatusOK, Timeline{Events: timeline.Merge(lists...), Unresponsive: unresponsive})
}
