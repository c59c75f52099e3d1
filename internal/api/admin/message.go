package admin

import (
	"hawthornhub.example/hawthornhub/internal/wire/fleetpb"
	"hawthornhub.example/hawthornhub/internal/wire/statepb"
)

// Headers of a team.
const (
	HeaderTeam = "X-Team"
	HeaderKey  = "X-Team-Key"
)

// Section is one section of the document.
type Section struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// Document answers GET /v1/document.
type Document struct {
	Index    uint64    `json:"index"`
	Sections []Section `json:"sections"`
}

// Edit is the body of POST /v1/edits.
type Edit struct {
	// ID is unique to the edit; the same id gets the same outcome again.
	ID string `json:"id"`
	// Base is the version of the section, or for a whole-document edit the
	// index of the document, that the edit was made against.
	Base uint64 `json:"base"`
	// Section and Text replace one section.
	Section string `json:"section,omitempty"`
	Text    string `json:"text"`
	// Whole takes Text as the whole document.
	Whole bool `json:"whole,omitempty"`
}

// Outcome answers an edit.
type Outcome struct {
	// Result is ok, conflict, invalid or forbidden.
	Result string `json:"result"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy,omitempty"`
	// Index is the index of the document now in force.
	Index uint64 `json:"index"`
	// Standing is the section that stands after a conflict, at Version.
	Standing string `json:"standing,omitempty"`
	Version  uint64 `json:"version,omitempty"`
}

// Past is one edit of GET /v1/history.
type Past struct {
	ID       string `json:"id"`
	Team     string `json:"team"`
	Sections string `json:"sections"`
	Result   string `json:"result"`
	Index    uint64 `json:"index"`
	AtMs     int64  `json:"at_ms"`
}

// Order is the body of POST /v1/orders and an item of GET /v1/orders.
type Order struct {
	ID       string `json:"id"`
	Upstream string `json:"upstream"`
	Action   string `json:"action"`
	Model    string `json:"model"`
	Number   uint64 `json:"number,omitempty"`
	AtMs     int64  `json:"at_ms,omitempty"`
}

// Obeyed answers an order.
type Obeyed struct {
	Number uint64 `json:"number"`
	Obeyed bool   `json:"obeyed"`
	Detail string `json:"detail,omitempty"`
}

// Drain is the body of POST /v1/drain.
type Drain struct {
	Name string `json:"name"`
}

// Status answers GET /v1/status.
type Status struct {
	Leader    string                  `json:"leader"`
	Document  uint64                  `json:"document"`
	Processes []*fleetpb.Status       `json:"processes"`
	Members   []*fleetpb.Member       `json:"members"`
	Silent    []string                `json:"silent,omitempty"`
	Counts    []*statepb.ServiceCount `json:"counts,omitempty"`
}

// Timeline answers GET /v1/timeline.
type Timeline struct {
	Events []*fleetpb.Event `json:"events"`
	// Silent are the processes that did not answer.
	Silent []string `json:"silent,omitempty"`
}

// Problem is the body of a refusal.
type Problem struct {
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	Remedy string `json:"remedy"`
}
