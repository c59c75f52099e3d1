package operator

import (
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Authentication headers.
const (
	HeaderTeam    = "X-Team"
	HeaderTeamKey = "X-Team-Key"
)

// Section is one section of the document.
type Section struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Document is the response to GET /v1/document.
type Document struct {
	Index    uint64    `json:"index"`
	Sections []Section `json:"sections"`
}

// Edit is the body of POST /v1/edits. The names of the package and of the type
// are part of the API: encoding/json puts them into the error text of a 400
// response.
type Edit struct {
	// ID is the idempotency key of the edit: while the control instances remember
	// the edit, the same ID gets the same result.
	ID string `json:"id"`
	// Base is the version that the edit was made against: that of the section, or
	// for an edit of the whole document the index of the document.
	Base uint64 `json:"base"`
	// Section is the name of the section to replace with Text.
	Section string `json:"section,omitempty"`
	Text    string `json:"text"`
	// Whole replaces the whole document with Text.
	Whole bool `json:"whole,omitempty"`
}

// EditResult is the response to an Edit.
type EditResult struct {
	// Result is ok, conflict, invalid or forbidden.
	Result string `json:"result"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy,omitempty"`
	// Index is the index of the document now in force.
	Index uint64 `json:"index"`
	// CurrentText and Version are the current text and version of the section, set
	// after a conflict.
	CurrentText string `json:"standing,omitempty"`
	Version     uint64 `json:"version,omitempty"`
}

// HistoryEntry is one edit in the response to GET /v1/history.
type HistoryEntry struct {
	ID       string `json:"id"`
	Team     string `json:"team"`
	Sections string `json:"sections"`
	Result   string `json:"result"`
	Index    uint64 `json:"index"`
	AtMs     int64  `json:"at_ms"`
}

// Order is a command to an upstream. It is the body of POST /v1/orders and an item
// of the response to GET /v1/orders. The names of the package and of the type are
// part of the API: encoding/json puts them into the error text of a 400 response.
type Order struct {
	// ID is the idempotency key of the order: while the control instances remember
	// the order, the same ID gets the same Number.
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	Action   string `json:"action"`
	Model    string `json:"model"`
	// Number is the fencing token of an issued order: the agent of the upstream
	// rejects an order whose number is not higher than that of the last one.
	Number uint64 `json:"number,omitempty"`
	AtMs   int64  `json:"at_ms,omitempty"`
}

// OrderResult is the response to POST /v1/orders.
type OrderResult struct {
	Number uint64 `json:"number"`
	// Obeyed is set if the upstream accepted the order.
	Obeyed bool   `json:"obeyed"`
	Detail string `json:"detail,omitempty"`
}

// Drain is the body of POST /v1/drain, and of the response to it. The names of
// the package and of the type are part of the API: encoding/json puts them into
// the error text of a 400 response.
type Drain struct {
	// Name is the name of the process to drain.
	Name string `json:"name"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Leader        string            `json:"leader"`
	DocumentIndex uint64            `json:"document"`
	Processes     []*fleetpb.Status `json:"processes"`
	Members       []*fleetpb.Member `json:"members"`
	// Unresponsive are the names of the processes that did not answer.
	Unresponsive []string                `json:"silent,omitempty"`
	Counts       []*statepb.ServiceCount `json:"counts,omitempty"`
	// Evacuated are the evacuated availability zones.
	Evacuated []string `json:"evacuated,omitempty"`
}

// Evacuation is the response to POST and DELETE /v1/evacuations/ZONE.
type Evacuation struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated"`
	// Index is the log index of the last change of any zone.
	Index uint64 `json:"index"`
}

// Timeline is the response to GET /v1/timeline.
type Timeline struct {
	Events []*fleetpb.Event `json:"events"`
	// Unresponsive are the names of the processes that did not answer.
	Unresponsive []string `json:"silent,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}
