package document

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Schema is a decoded document. Each field is one section.
type Schema struct {
	Teams     map[string]Team     `toml:"teams"`
	Routing   Routing             `toml:"routing"`
	Accounts  map[string]Account  `toml:"accounts"`
	Insurer   Insurer             `toml:"insurer"`
	Pipelines map[string]Pipeline `toml:"pipelines"`
	Upstreams Upstreams           `toml:"upstreams"`
}

// Team is a group of operators that shares a key.
type Team struct {
	// KeySHA256 is the hexadecimal SHA-256 of the team's key.
	KeySHA256 string `toml:"key_sha256"`
	// Sections are the names of the sections that the team may edit.
	Sections []string `toml:"sections"`
}

// Routing configures how entry instances select upstreams.
type Routing struct {
	// Policy is "expected", which selects the upstream with the lowest
	// expected completion time, or "baseline" (round robin, first in first
	// out, no hedging, no admission control).
	Policy string `toml:"policy"`
	// Candidates is the number of upstreams that are compared for each call.
	Candidates int `toml:"candidates"`
	// Subset is the maximum number of upstreams of a kind that one entry
	// instance keeps connections to.
	Subset int `toml:"subset"`
	// HedgeQuantile is the quantile of the service time after which a call
	// that may be repeated is hedged; 0 disables hedging.
	HedgeQuantile float64 `toml:"hedge_quantile"`
	// HedgeBudget is the maximum ratio of hedges to calls.
	HedgeBudget float64 `toml:"hedge_budget"`
	// RetryBudget is the maximum ratio of retries to calls.
	RetryBudget float64 `toml:"retry_budget"`
	// Admission rejects requests that cannot meet their deadline.
	Admission bool `toml:"admission"`
	// Queue is the order in which agents run queued calls: "slack" (the least
	// slack first) or "fifo".
	Queue string `toml:"queue"`
}

// Account is one client account.
type Account struct {
	// KeySHA256 is the hexadecimal SHA-256 of the account's key.
	KeySHA256 string `toml:"key_sha256"`
	// Rate is the maximum number of requests per second across all entry
	// instances.
	Rate uint64 `toml:"rate"`
	// Weight is the account's share of the capacity under overload, relative to
	// the other accounts.
	Weight uint64 `toml:"weight"`
}

// Insurer holds the conditions that the operator's insurer sets for operation.
type Insurer struct {
	// MaxDocumentAgeMs is the time in milliseconds since a quorum last
	// confirmed the document after which a process accepts no new work.
	MaxDocumentAgeMs int64 `toml:"max_document_age_ms"`
	// Services are the conditions for individual services, by name.
	Services map[string]Condition `toml:"services"`
}

// MaxAge returns MaxDocumentAgeMs as a duration.
func (i Insurer) MaxAge() time.Duration {
	return time.Duration(i.MaxDocumentAgeMs) * time.Millisecond
}

// Condition restricts the calls of one service.
type Condition struct {
	// Stopped rejects all calls.
	Stopped bool `toml:"stopped"`
	// DailyLimit is the maximum number of at-most-once calls by an account per
	// UTC day; 0 is no limit.
	DailyLimit uint64 `toml:"daily_limit"`
	// Zones are the availability zones in which the service may run; empty
	// allows all.
	Zones []string `toml:"zones"`
	// FromHour and ToHour are the first hour of the UTC day in which the
	// service may run and the first in which it no longer may; both 0 allow all
	// hours.
	FromHour int `toml:"from_hour"`
	ToHour   int `toml:"to_hour"`
}

// Pipeline is a sequence of stages that share one deadline.
type Pipeline struct {
	// DeadlineMs is the deadline in milliseconds. A caller may set a shorter
	// one.
	DeadlineMs int64 `toml:"deadline_ms"`
	// Stages run in order. The result of each stage is the input of the next.
	Stages []Stage `toml:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	// Kind is the kind of upstream: encode, retrieve, rerank, generate or the
	// name of a service.
	Kind string `toml:"kind"`
	// Model is the model that an upstream of kind generate must have loaded.
	Model string `toml:"model"`
	// Once makes the calls of the stage run at most once.
	Once bool `toml:"once"`
	// Share is the fraction of the deadline that the stage may use. The shares
	// of a pipeline sum to at most 1.
	Share float64 `toml:"share"`
}

// Upstreams configures how upstreams divide their slots.
type Upstreams struct {
	// LongTokens is the predicted size in tokens from which a call is queued in
	// the long lane.
	LongTokens uint32 `toml:"long_tokens"`
	// LongShare is the maximum fraction of an upstream's slots that long calls
	// may use, but at least one slot.
	LongShare float64 `toml:"long_share"`
}

// Violation is one error in a document.
type Violation struct {
	// Line is the line in the document, or 0 if it is not known.
	Line   int
	Field  string
	Detail string
	Remedy string
}

// String returns the violation on one line.
func (v Violation) String() string {
	location := v.Field
	if v.Line > 0 {
		location = fmt.Sprintf("line %d: %s", v.Line, v.Field)
	}
	return fmt.Sprintf("%s: %s; %s", location, v.Detail, v.Remedy)
}

// ValidationError reports all violations of a document.
type ValidationError struct{ Violations []Violation }

// Error lists the violations, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		lines = append(lines, v.String())
	}
	return "document refused: " + strings.Join(lines, "\n")
}

func defaults() Schema {
	return Schema{
		Routing: Routing{
			Policy:        "expected",
			Candidates:    8,
			Subset:        32,
			HedgeQuantile: 0.95,
			HedgeBudget:   0.03,
			RetryBudget:   0.1,
			Admission:     true,
			Queue:         "slack",
		},
		Insurer:   Insurer{MaxDocumentAgeMs: 5000},
		Upstreams: Upstreams{LongTokens: 512, LongShare: 0.5},
	}
}

// Parse decodes and validates a document. Its error is a *ValidationError.
func Parse(text string) (Schema, error) {
	s := defaults()
	d := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Schema{}, &ValidationError{Violations: decodeViolations(err)}
	}
	if violations := s.violations(); len(violations) > 0 {
		for i := range violations {
			violations[i].Line = lineOf(text, violations[i].Field)
		}
		return Schema{}, &ValidationError{Violations: violations}
	}
	return s, nil
}

func decodeViolations(err error) []Violation {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Violation
		for _, e := range strict.Errors {
			row, _ := e.Position()
			out = append(out, Violation{
				Line:   row,
				Field:  strings.Join(e.Key(), "."),
				Detail: "unknown field",
				Remedy: "remove it or correct its name",
			})
		}
		return out
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return []Violation{{
			Line:   row,
			Field:  strings.Join(decode.Key(), "."),
			Detail: decode.Error(),
			Remedy: "correct the TOML",
		}}
	}
	return []Violation{{Detail: err.Error(), Remedy: "correct the TOML"}}
}

// lineOf returns the line of the table header of a field or, if there is none,
// of its closest parent table; 0 if no header is found.
func lineOf(text, field string) int {
	for name := field; name != ""; {
		for i, line := range strings.Split(text, "\n") {
			trimmed := strings.TrimSpace(line)
			if strings.HasPrefix(trimmed, "["+name+"]") || strings.HasPrefix(trimmed, "[["+name+"]]") {
				return i + 1
			}
		}
		dot := strings.LastIndex(name, ".")
		if dot < 0 {
			return 0
		}
		name = name[:dot]
	}
	return 0
}

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
