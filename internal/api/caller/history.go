package caller

import (
	"net/http"
	"sync"

	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
)

// remembered is the number of requests whose end is kept.
const remembered = 8192

// Progress tells how a request went.
type Progress struct {
	Request string `json:"request"`
	// State is running, done or refused.
	State   string               `json:"state"`
	Stages  []pipeline.StageCost `json:"stages,omitempty"`
	Refusal *Refusal             `json:"refusal,omitempty"`
	account string
}

// history keeps the newest requests.
type history struct {
	mu    sync.Mutex
	byID  map[string]*Progress
	order []string
}

func newHistory() *history { return &history{byID: make(map[string]*Progress)} }

func (h *history) begin(id, account string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byID[id] = &Progress{Request: id, State: "running", account: account}
	h.order = append(h.order, id)
	if len(h.order) > remembered {
		delete(h.byID, h.order[0])
		h.order = h.order[1:]
	}
}

func (h *history) end(id string, a pipeline.Response, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	have := h.byID[id]
	if have == nil {
		return
	}
	done := Progress{Request: id, State: "done", Stages: a.Stages, account: have.account}
	if err != nil {
		refusal := refusalOf(id, err)
		done.State, done.Refusal = "refused", &refusal
	}
	h.byID[id] = &done
}

func (h *history) get(id string) *Progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[id]
}

// look serves GET /v1/requests/{id} to the account that sent the request.
func (s *Server) look(w http.ResponseWriter, r *http.Request) {
	account, err := authenticate(s.cfg.Follower.Held().Schema, r)
	if err != nil {
		s.refuse(w, r.PathValue("id"), err)
		return
	}
	p := s.history.get(r.PathValue("id"))
	if p == nil || p.account != account {
		s.refuse(w, r.PathValue("id"), refuse.New(refuse.UnknownName, refuse.RanUnknown, "this entry does not remember the request", "ask the entry whose name begins the id"))
		return
	}
	writeJSON(w, http.StatusOK, p)
}
