package upstream

// Announcement is what an upstream says of itself to its agent, on
// POST /v1/announce.
type Announcement struct {
	// Kind is encode, retrieve, rerank, generate or the name of a service.
	Kind string `json:"kind"`
	// Model is the model loaded, empty where there is none.
	Model string `json:"model"`
	// Slots is the number of calls run at once.
	Slots int `json:"slots"`
	// Address is where it serves HTTP, as IP:port.
	Address string `json:"address"`
	// Fenced is set where it refuses orders with an old number itself.
	Fenced bool `json:"fenced"`
	// Boot changes with each start of the upstream.
	Boot string `json:"boot"`
}

// Load is a load report, on POST /v1/load. It may be late.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMs is how old the figures are.
	AgeMs int64 `json:"age_ms"`
}

// Request runs one stage, on POST /v1/run.
type Request struct {
	// ID is unique to the attempt and returned on every line.
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Input   []byte `json:"input"`
	Tokens  uint32 `json:"tokens,omitempty"`
	Account string `json:"account,omitempty"`
	// Key is set for a call that may not be repeated.
	Key string `json:"key,omitempty"`
	// First is the number of the first chunk wanted.
	First    uint32 `json:"first,omitempty"`
	Stream   bool   `json:"stream,omitempty"`
	Prefix   string `json:"prefix,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// Line is one line of a stage's answer.
type Line struct {
	ID   string `json:"id"`
	Seq  uint32 `json:"seq"`
	Data []byte `json:"data,omitempty"`
	// End is set on the last line, which says how many chunks there are.
	End    bool   `json:"end,omitempty"`
	Chunks uint32 `json:"chunks,omitempty"`
	Tokens uint32 `json:"tokens,omitempty"`
	// Error is set where the stage failed; Started says whether it had begun.
	Error   string `json:"error,omitempty"`
	Started bool   `json:"started,omitempty"`
}

// Cancel withdraws a stage, on POST /v1/cancel.
type Cancel struct {
	ID string `json:"id"`
}

// Order changes the engine, on POST /v1/order.
type Order struct {
	Number uint64 `json:"number"`
	Action string `json:"action"`
	Model  string `json:"model"`
}
