package caller

import (
	"net/http"

	"hawthornhub.example/hawthornhub/internal/serve/pipeline"
	"hawthornhub.example/hawthornhub/internal/serve/refuse"
)

// Body is the JSON body of a request.
type Body struct {
	// Input is the text given to the first stage.
	Input string `json:"input"`
	// Tokens is the number of tokens wanted of generating stages.
	Tokens uint32 `json:"tokens,omitempty"`
	// Prefix names a shared beginning of the prompt.
	Prefix string `json:"prefix,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream,omitempty"`
}

// Answer is the JSON body of an answer, and the data of a stream's end event.
type Answer struct {
	Request string `json:"request"`
	// Output is the whole answer; a stream's end has none.
	Output string `json:"output,omitempty"`
	// Chunks is the number of chunks of the whole answer.
	Chunks uint32               `json:"chunks"`
	Stages []pipeline.StageCost `json:"stages"`
}

// Chunk is the data of a stream's chunk event, whose id is its number.
type Chunk struct {
	Data string `json:"data"`
}

// Refusal is the JSON body of a refusal, and the data of a stream's error
// event.
type Refusal struct {
	Request string `json:"request"`
	Kind    string `json:"kind"`
	// Ran is no, yes or unknown.
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
	// RetryAfterMs is the time after which a new try may succeed.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// statusOf returns the HTTP status that fits a kind of refusal.
func statusOf(k refuse.Kind) int {
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
