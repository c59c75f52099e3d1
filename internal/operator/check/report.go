package check

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Severity says how serious a finding is.
type Severity string

// The severities.
const (
	// Error findings make a registry refuse the document.
	Error Severity = "error"
	// Warning findings are accepted by a registry, but do not do what they seem to.
	Warning Severity = "warning"
)

// Rule identifies the check that a finding comes from.
type Rule string

// The rules. Each is a string of the JSON form.
const (
	RuleRefused               Rule = "refused"
	RuleVersionNotHigher      Rule = "version-not-higher"
	RuleNameTwice             Rule = "name-twice"
	RuleHostNeverMatches      Rule = "host-never-matches"
	RulePrefixNeverMatches    Rule = "prefix-never-matches"
	RuleRoutesDifferInCase    Rule = "routes-differ-in-case"
	RuleWeightZero            Rule = "weight-zero"
	RuleServiceUnused         Rule = "service-unused"
	RuleAccountWithoutKeys    Rule = "account-without-keys"
	RuleEmptyKey              Rule = "empty-key"
	RuleWithoutEffect         Rule = "without-effect"
	RuleStageNeverRuns        Rule = "stage-never-runs"
	RuleObjectiveAboveTimeout Rule = "objective-above-timeout"
	RuleMaxAttemptsZero       Rule = "max-attempts-zero"
	RuleStagesTooLong         Rule = "stages-too-long"
	RuleCallersGone           Rule = "callers-gone"
	RuleResultTooLarge        Rule = "result-too-large"
	RuleBatchTooLarge         Rule = "batch-too-large"
	RuleQueueTooLong          Rule = "queue-too-long"
	RuleResultExpires         Rule = "result-expires"
	RuleColdIncomplete        Rule = "cold-incomplete"
	RuleBodyLimit             Rule = "body-limit"
	RuleHeaderLimit           Rule = "header-limit"
)

// Finding is a fault in a document.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	// Entry names the part of the document, for instance "route plans".
	Entry string `json:"entry"`
	// Field is the part of the entry that has to be changed.
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// Change says what happened to an entry or a field since the document in force.
type Change string

// The changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a difference to the document in force. Field, Old and New are empty for entries
// that were added or removed.
type Difference struct {
	Change Change `json:"change"`
	Entry  string `json:"entry"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// Report is the result of a check.
type Report struct {
	// Version is the version of the document, 0 if it could not be decoded.
	Version uint64 `json:"version"`
	// InForce is the version that the document was compared with, nil if with none.
	InForce *uint64 `json:"in_force,omitempty"`
	// Findings are sorted, errors first. Differences are nil if there was no comparison.
	Findings    []Finding    `json:"findings"`
	Differences []Difference `json:"differences,omitempty"`
}

// Count returns the number of findings of a severity.
func (r Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// WriteText writes the report for people: a line for each finding and difference, and a summary.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s: %s; %s (%s, %s)\n", f.Severity, printable(f.Entry), printable(f.Problem), printable(f.Remedy), printable(f.Field), f.Rule)
	}
	for _, d := range r.Differences {
		fmt.Fprintf(&b, "%s: %s", d.Change, printable(d.Entry))
		if d.Change == Changed {
			fmt.Fprintf(&b, ", %s: %s -> %s", printable(d.Field), printable(d.Old), printable(d.New))
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "version %d, errors: %d, warnings: %d", r.Version, r.Count(Error), r.Count(Warning))
	if r.InForce != nil {
		fmt.Fprintf(&b, ", differences to version %d: %d", *r.InForce, len(r.Differences))
	}
	b.WriteByte('\n')
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteJSON writes the report as a JSON object with the fields of Report and the numbers of
// errors and warnings.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	return e.Encode(struct {
		Errors   int `json:"errors"`
		Warnings int `json:"warnings"`
		Report
	}{r.Count(Error), r.Count(Warning), r})
}

// printable escapes what would break the line or the terminal of the reader.
func printable(s string) string {
	if !strings.ContainsFunc(s, func(c rune) bool { return !unicode.IsPrint(c) }) {
		return s
	}
	quoted := strconv.Quote(s)
	return strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

// sortFindings sorts findings, errors first, and removes duplicates.
func sortFindings(findings []Finding) []Finding {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Problem, b.Problem), cmp.Compare(a.Remedy, b.Remedy))
	})
	return slices.Compact(findings)
}
