package caller

import (
	"net/http"
	"sync"

	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
)

// maxHistory is the number of requests whose status is kept.
const maxHistory = 8192

// RequestStatus is the JSON body of the response to GET /v1/requests/{id}.
type RequestStatus struct {
	RequestID string `json:"request"`
	// State is running, done or refused.
	State   string               `json:"state"`
	Stages  []pipeline.StageCost `json:"stages,omitempty"`
	Refusal *Refusal             `json:"refusal,omitempty"`
	account string
}

// history keeps the status of the most recent requests.
type history struct {
	mu   sync.Mutex
	byID map[string]*RequestStatus
	// order lists the IDs of the requests, oldest first.
	order []string
}

func newHistory() *history { return &history{byID: make(map[string]*RequestStatus)} }

func (h *history) start(id, account string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[id] = &RequestStatus{RequestID: id, State: "running", account: account}
	h.order = append(h.order, id)
	if len(h.order) > maxHistory {
		delete(h.byID, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) finish(id string, resp pipeline.Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := h.byID[id]
	if running == nil {
		return
	}
	finished := RequestStatus{RequestID: id, State: "done", Stages: resp.Stages, account: running.account}
	if err != nil {
		refusal := newRefusal(id, err)
		finished.State, finished.Refusal = "refused", &refusal
	}
	h.byID[id] = &finished
}

func (h *history) get(id string) *RequestStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[id]
}

// requestStatus serves GET /v1/requests/{id} to the account that sent the
// request.
func (s *Server) requestStatus(w http.ResponseWriter, r *http.Request) {
	account, err := authenticate(s.cfg.Follower.Document().Schema, r)
	if err != nil {
		s.writeRefusal(w, r.PathValue("id"), err)
		return
	}
	status := s.history.get(r.PathValue("id"))
	if status == nil || status.account != account {
		s.writeRefusal(w, r.PathValue("id"), refuse.New(refuse.UnknownName, refuse.RanUnknown, "this entry does not remember the request", "ask the entry whose name begins the id"))
		return
	}
	writeJSON(w, http.StatusOK, status)
}
