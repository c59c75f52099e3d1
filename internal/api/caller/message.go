package caller

import (
	"net/http"

	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
)

// Body is the JSON body of a request to run a pipeline. The name of the type is
// part of the API: encoding/json puts it into the error text of a 400 response.
type Body struct {
	// Input is the input of the first stage.
	Input string `json:"input"`
	// Tokens is the number of tokens that generating stages are to produce.
	Tokens uint32 `json:"tokens,omitempty"`
	// Prefix names a prompt prefix that requests share.
	Prefix string `json:"prefix,omitempty"`
	// Stream selects a response of server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// Response is the JSON body of a successful response, and the data of a stream's
// end event.
type Response struct {
	RequestID string `json:"request"`
	// Output is the whole output; it is empty in the end event of a stream.
	Output string `json:"output,omitempty"`
	// Chunks is the number of chunks of the whole output.
	Chunks uint32               `json:"chunks"`
	Stages []pipeline.StageCost `json:"stages"`
}

// Chunk is the data of a stream's chunk event. The id of the event is the number
// of the chunk.
type Chunk struct {
	Data string `json:"data"`
}

// Refusal is the JSON body of a refusal, and the data of a stream's error
// event.
type Refusal struct {
	RequestID string `json:"request"`
	Kind      string `json:"kind"`
	// Ran says whether any stage ran: no, yes or unknown.
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
	// RetryAfterMs is the time in milliseconds after which a retry may succeed.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// httpStatus returns the HTTP status for a kind of refusal.
func httpStatus(k refuse.Kind) int {
	switch k {
	case refuse.BadRequest, refuse.MissingKey:
		return http.StatusBadRequest
	case refuse.UnknownName:
		return http.StatusNotFound
	case refuse.Unauthorised:
		return http.StatusUnauthorized
	case refuse.KeyConflict:
		return http.StatusConflict
	case refuse.KeyExpired:
		return http.StatusGone
	case refuse.TooLarge:
		return http.StatusRequestEntityTooLarge
	case refuse.InsurerCondition:
		return http.StatusForbidden
	case refuse.OverLimit, refuse.OverShare:
		return http.StatusTooManyRequests
	case refuse.Deadline, refuse.OutcomeUnknown:
		return http.StatusGatewayTimeout
	case refuse.OutcomePending:
		return http.StatusAccepted
	case refuse.UpstreamFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
