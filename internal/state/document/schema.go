package document

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Schema is the decoded document.
type Schema struct {
	Teams     map[string]Team     `toml:"teams"`
	Routing   Routing             `toml:"routing"`
	Accounts  map[string]Account  `toml:"accounts"`
	Insurer   Insurer             `toml:"insurer"`
	Pipelines map[string]Pipeline `toml:"pipelines"`
	Upstreams Upstreams           `toml:"upstreams"`
}

// Team may edit its sections with its key.
type Team struct {
	// KeySHA256 is the hexadecimal SHA-256 of the team's key.
	KeySHA256 string `toml:"key_sha256"`
	// Sections are the sections that the team may edit.
	Sections []string `toml:"sections"`
}

// Routing is how entries choose upstreams.
type Routing struct {
	// Policy is "expected" or "baseline" (round robin, first come first
	// served, no hedges, no admission).
	Policy string `toml:"policy"`
	// Candidates is the number of upstreams compared for each call.
	Candidates int `toml:"candidates"`
	// Subset is the greatest number of upstreams of a kind that one entry
	// keeps connections to.
	Subset int `toml:"subset"`
	// HedgeQuantile is the quantile of the service time after which a
	// repeatable call is hedged; 0 turns hedges off.
	HedgeQuantile float64 `toml:"hedge_quantile"`
	// HedgeBudget is the greatest share of calls that may be hedges.
	HedgeBudget float64 `toml:"hedge_budget"`
	// RetryBudget is the greatest share of calls that may be retries.
	RetryBudget float64 `toml:"retry_budget"`
	// Admission refuses requests that cannot meet their deadline.
	Admission bool `toml:"admission"`
	// Queue is the agents' order: "slack" or "fifo".
	Queue string `toml:"queue"`
}

// Account is one client account.
type Account struct {
	// KeySHA256 is the hexadecimal SHA-256 of the account's key.
	KeySHA256 string `toml:"key_sha256"`
	// Rate is the greatest number of requests a second over all entries.
	Rate uint64 `toml:"rate"`
	// Weight is the account's share where capacity is short.
	Weight uint64 `toml:"weight"`
}

// Insurer is the conditions under which the fleet may operate.
type Insurer struct {
	// MaxDocumentAgeMs is the greatest age in milliseconds of the quorum's
	// confirmation under which a process may take new work.
	MaxDocumentAgeMs int64 `toml:"max_document_age_ms"`
	// Services are the conditions on single services.
	Services map[string]Condition `toml:"services"`
}

// MaxAge returns the greatest age of the document's confirmation.
func (i Insurer) MaxAge() time.Duration {
	return time.Duration(i.MaxDocumentAgeMs) * time.Millisecond
}

// Condition limits one service.
type Condition struct {
	// Stopped refuses every call.
	Stopped bool `toml:"stopped"`
	// DailyLimit is the most once-only calls an account may make in a day of
	// UTC; 0 is no limit.
	DailyLimit uint64 `toml:"daily_limit"`
	// Zones are the availability zones the service may run in; none is any.
	Zones []string `toml:"zones"`
	// FromHour and ToHour bound the hours of UTC in which it may run; both 0
	// is any hour.
	FromHour int `toml:"from_hour"`
	ToHour   int `toml:"to_hour"`
}

// Pipeline is a chain of stages under one deadline.
type Pipeline struct {
	// DeadlineMs is the deadline in milliseconds that a caller may shorten.
	DeadlineMs int64 `toml:"deadline_ms"`
	// Stages run in order, each on the result of the one before.
	Stages []Stage `toml:"stages"`
}

// Stage is one step of a pipeline.
type Stage struct {
	// Kind is the kind of upstream: encode, retrieve, rerank, generate or the
	// name of a service.
	Kind string `toml:"kind"`
	// Model is the model a generating upstream must have loaded.
	Model string `toml:"model"`
	// Once marks a call that may not be repeated.
	Once bool `toml:"once"`
	// Share is the stage's part of the deadline; the shares sum to 1 or less.
	Share float64 `toml:"share"`
}

// Upstreams is what is wanted of the upstreams.
type Upstreams struct {
	// LongTokens is the predicted size from which a call is in the long lane.
	LongTokens uint32 `toml:"long_tokens"`
	// LongShare is the greatest share of an upstream's slots for long calls.
	LongShare float64 `toml:"long_share"`
}

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Line is the line in the document, 0 where the fault has none.
	Line   int
	Field  string
	Detail string
	Remedy string
}

// String returns the fault on one line.
func (f Fault) String() string {
	where := f.Field
	if f.Line > 0 {
		where = fmt.Sprintf("line %d: %s", f.Line, f.Field)
	}
	return fmt.Sprintf("%s: %s; %s", where, f.Detail, f.Remedy)
}

// FaultError reports all faults of a document.
type FaultError struct{ Faults []Fault }

// Error lists the faults, one a line.
func (e *FaultError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
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

// Parse decodes and validates a document. The error is a *FaultError.
func Parse(text string) (Schema, error) {
	s := defaults()
	d := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Schema{}, &FaultError{Faults: decodeFaults(err)}
	}
	if faults := s.faults(); len(faults) > 0 {
		for i := range faults {
			faults[i].Line = lineOf(text, faults[i].Field)
		}
		return Schema{}, &FaultError{Faults: faults}
	}
	return s, nil
}

func decodeFaults(err error) []Fault {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Fault
		for _, e := range strict.Errors {
			row, _ := e.Position()
			out = append(out, Fault{
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
		return []Fault{{
			Line:   row,
			Field:  strings.Join(decode.Key(), "."),
			Detail: decode.Error(),
			Remedy: "correct the TOML",
		}}
	}
	return []Fault{{Detail: err.Error(), Remedy: "correct the TOML"}}
}

// lineOf returns the first line that holds the table header of a field.
func lineOf(text, field string) int {
	for name := field; name != ""; {
		for i, line := range strings.Split(text, "\n") {
			trimmed := strings.TrimSpace(line)
			if strings.HasPrefix(trimmed, "["+name+"]") || strings.HasPrefix(trimmed, "[["+name+"]]") {
				return i + 1
			}
		}
		cut := strings.LastIndex(name, ".")
		if cut < 0 {
			return 0
		}
		name = name[:cut]
	}
	return 0
}

// Names returns the sorted keys of a table of the document.
func Names[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
