package upstream

// Announcement registers an upstream with its agent, on POST /v1/announce.
type Announcement struct {
	// Kind is encode, retrieve, rerank, generate or a service name.
	Kind string `json:"kind"`
	// Model is the loaded model, or empty.
	Model string `json:"model"`
	// Slots is the number of calls that run concurrently.
	Slots int `json:"slots"`
	// Address is the upstream's HTTP address as IP:port.
	Address string `json:"address"`
	// Fenced is set if the upstream itself rejects orders with an old number.
	Fenced bool `json:"fenced"`
	// BootID is different for each start of the upstream.
	BootID string `json:"boot"`
}

// Load is a load report, on POST /v1/load. It may arrive late.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// AgeMs is the age of the values in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Request runs one stage, on POST /v1/run.
type Request struct {
	// ID is unique to the attempt and returned on every line of the response.
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Input   []byte `json:"input"`
	Tokens  uint32 `json:"tokens,omitempty"`
	Account string `json:"account,omitempty"`
	// Key is the idempotency key of an at-most-once call.
	Key string `json:"key,omitempty"`
	// FirstChunk is the number of the first chunk to send.
	FirstChunk uint32 `json:"first,omitempty"`
	Stream     bool   `json:"stream,omitempty"`
	// Prefix names a prompt prefix that requests share.
	Prefix   string `json:"prefix,omitempty"`
	Priority int    `json:"priority,omitempty"`
}

// Line is one line of the response to a Request.
type Line struct {
	ID string `json:"id"`
	// Seq is the number of the chunk in Data.
	Seq  uint32 `json:"seq"`
	Data []byte `json:"data,omitempty"`
	// End is set on the last line. Chunks is then the number of chunks of the
	// whole result.
	End    bool   `json:"end,omitempty"`
	Chunks uint32 `json:"chunks,omitempty"`
	Tokens uint32 `json:"tokens,omitempty"`
	// Error is set if the stage failed; Started then tells whether it had started.
	Error   string `json:"error,omitempty"`
	Started bool   `json:"started,omitempty"`
}

// CancelRequest cancels a stage, on POST /v1/cancel.
type CancelRequest struct {
	// ID is the ID of the Request.
	ID string `json:"id"`
}

// Order changes the state of the upstream, such as its model, on POST /v1/order.
type Order struct {
	// Number is the fencing token; it is higher than those of earlier orders.
	Number uint64 `json:"number"`
	Action string `json:"action"`
	Model  string `json:"model"`
}
