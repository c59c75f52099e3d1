package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hawthornhub.example/hawthornhub/internal/fleet/watch"
	"hawthornhub.example/hawthornhub/internal/state/evacuation"
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

const (
	// orderLifetime is the time from the arrival of an order for a zone within which it may
	// be proposed. An operator who got no answer by then may have sent a later order.
	orderLifetime = 2500 * time.Millisecond
	// actTimeout limits the wait for the entries to act on a committed order.
	actTimeout = 2 * time.Second
	// roleEntry is the role of the processes that send calls to upstreams.
	roleEntry = "entry"
)

// evacuate evacuates an availability zone, or restores it if the method is DELETE. It answers
// once every entry that is not dead acts on that. An entry that the membership has declared
// dead may have stopped or be cut off: without a confirmation of its document it accepts no
// work, and it learns of the zone together with the next one.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request, req request) {
	zone, restore := r.PathValue("zone"), r.Method == http.MethodDelete
	if err := evacuation.ValidateZone(zone); err != nil || r.ContentLength > 0 {
		writeProblem(w, http.StatusBadRequest, Problem{Kind: "bad_request", Detail: "an order for a zone has the zone in its path and no body", Remedy: "send the zone alone"})
		return
	}
	if !s.knowsZone(zone, req.state.Evacuations) {
		writeProblem(w, http.StatusNotFound, Problem{Kind: "unknown_zone", Detail: fmt.Sprintf("no process names the zone %q", zone), Remedy: "see hawthornhub status"})
		return
	}
	if age := watch.BootTime() - req.arrived; age > orderLifetime || req.ctx.Err() != nil {
		writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: fmt.Sprintf("the order could not be proposed within %v of its arrival", age.Round(time.Millisecond)), Remedy: "send it again"})
		return
	}
	order := &statepb.Evacuate{Zone: zone, Revoke: restore, Seen: evacuation.Seen(req.state.Evacuations, zone)}
	proposeCtx, cancel := context.WithTimeout(req.ctx, orderLifetime)
	defer cancel()
	result, err := s.cfg.Client.Propose(proposeCtx, &statepb.Command{Body: &statepb.Command_Evacuate{Evacuate: order}})
	switch {
	case err != nil:
		writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: "unavailable", Detail: err.Error(), Remedy: "send the order again"})
		return
	case result.Kind != statepb.ResultKind_RESULT_KIND_OK:
		writeProblem(w, http.StatusServiceUnavailable, Problem{Kind: ResultName(result.Kind), Detail: result.Detail, Remedy: result.Remedy})
		return
	}
	s.cfg.Timeline.Add("evacuate", "", fmt.Sprintf("zone %s by %s: restore %t at %d", zone, req.team, restore, result.Index))
	if lacking := s.awaitEntries(req.ctx, result.Index); len(lacking) > 0 {
		writeProblem(w, http.StatusServiceUnavailable, Problem{
			Kind:   "not_acted_on",
			Detail: fmt.Sprintf("the order is committed, but %s do not act on it yet", strings.Join(lacking, ", ")),
			Remedy: "send the order again",
		})
		return
	}
	writeJSON(w, http.StatusOK, Evacuation{Zone: zone, Evacuated: !restore, Index: result.Index})
}

// knowsZone reports whether a process or an earlier order names a zone.
func (s *Server) knowsZone(zone string, e *statepb.Evacuations) bool {
	named := func(m *fleetpb.Member) bool { return m.Zone == zone }
	return evacuation.Seen(e, zone) > 0 || slices.ContainsFunc(s.cfg.Members(), named)
}

// awaitEntries returns once all entries that are not dead act on the evacuated zones of a log
// index, or after actTimeout. It returns the names of those that do not.
func (s *Server) awaitEntries(ctx context.Context, index uint64) []string {
	ctx, cancel := context.WithTimeout(ctx, actTimeout)
	defer cancel()
	read := &fleetpb.Envelope{Body: &fleetpb.Envelope_Read{Read: &fleetpb.Read{Status: true, Evacuations: true, AtLeast: index}}}
	for {
		acting := make(map[string]bool)
		s.queryAll(ctx, read, func(e *fleetpb.Envelope) {
			st := e.GetReadReply().GetStatus()
			acting[st.GetName()] = st.GetEvacuationIndex() >= index
		})
		var lacking []string
		for _, m := range s.cfg.Members() {
			if m.Role == roleEntry && m.State != fleetpb.MemberState_MEMBER_STATE_DEAD && !acting[m.Name] {
				lacking = append(lacking, m.Name)
			}
		}
		if len(lacking) == 0 || ctx.Err() != nil {
			return lacking
		}
	}
}
