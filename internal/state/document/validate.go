package document

import (
	"encoding/hex"
	"slices"
)

// maxStages is the maximum number of stages of a pipeline.
const maxStages = 6

// sha256Bytes is the size of a SHA-256 hash.
const sha256Bytes = 32

// Sections returns the names of the sections in the order in which they appear
// in a document.
func Sections() []string {
	return []string{"teams", "routing", "accounts", "insurer", "pipelines", "upstreams"}
}

func (s Schema) violations() []Violation {
	var out []Violation
	out = append(out, s.teamViolations()...)
	out = append(out, s.Routing.violations()...)
	out = append(out, s.accountViolations()...)
	out = append(out, s.Insurer.violations()...)
	out = append(out, s.pipelineViolations()...)
	out = append(out, s.Upstreams.violations()...)
	return out
}

func isSHA256Hex(text string) bool {
	b, err := hex.DecodeString(text)
	return err == nil && len(b) == sha256Bytes
}

func (s Schema) teamViolations() []Violation {
	var out []Violation
	owner := make(map[string]string)
	for _, name := range SortedKeys(s.Teams) {
		t := s.Teams[name]
		if !isSHA256Hex(t.KeySHA256) {
			out = append(out, Violation{Field: "teams." + name, Detail: "key_sha256 is not a SHA-256", Remedy: "give 64 hexadecimal digits"})
		}
		for _, section := range t.Sections {
			if !slices.Contains(Sections(), section) {
				out = append(out, Violation{Field: "teams." + name, Detail: "unknown section " + section, Remedy: "name a section of the document"})
			}
			if other, taken := owner[section]; taken {
				out = append(out, Violation{Field: "teams." + name, Detail: "section " + section + " belongs to " + other, Remedy: "give each section one team"})
			}
			owner[section] = name
		}
	}
	return out
}

func (r Routing) violations() []Violation {
	var out []Violation
	if r.Policy != "expected" && r.Policy != "baseline" {
		out = append(out, Violation{Field: "routing", Detail: "unknown policy " + r.Policy, Remedy: "use expected or baseline"})
	}
	if r.Queue != "slack" && r.Queue != "fifo" {
		out = append(out, Violation{Field: "routing", Detail: "unknown queue " + r.Queue, Remedy: "use slack or fifo"})
	}
	if r.Candidates < 1 || r.Subset < 1 {
		out = append(out, Violation{Field: "routing", Detail: "candidates or subset below 1", Remedy: "give at least 1"})
	}
	for _, ratio := range []float64{r.HedgeQuantile, r.HedgeBudget, r.RetryBudget} {
		if !(ratio >= 0 && ratio < 1) {
			out = append(out, Violation{Field: "routing", Detail: "a quantile or budget outside 0 to 1", Remedy: "give a share below 1"})
		}
	}
	return out
}

func (s Schema) accountViolations() []Violation {
	var out []Violation
	for _, name := range SortedKeys(s.Accounts) {
		a := s.Accounts[name]
		if !isSHA256Hex(a.KeySHA256) {
			out = append(out, Violation{Field: "accounts." + name, Detail: "key_sha256 is not a SHA-256", Remedy: "give 64 hexadecimal digits"})
		}
		if a.Rate == 0 {
			out = append(out, Violation{Field: "accounts." + name, Detail: "rate is 0", Remedy: "give the requests a second the account may make"})
		}
	}
	return out
}

func (i Insurer) violations() []Violation {
	var out []Violation
	if i.MaxDocumentAgeMs < 1000 || i.MaxDocumentAgeMs > 60_000 {
		out = append(out, Violation{Field: "insurer", Detail: "max_document_age_ms outside 1000 to 60000", Remedy: "give an age between one second and one minute"})
	}
	for _, name := range SortedKeys(i.Services) {
		c := i.Services[name]
		if c.FromHour < 0 || c.ToHour > 24 || c.FromHour > c.ToHour {
			out = append(out, Violation{Field: "insurer.services." + name, Detail: "hours out of order", Remedy: "give 0 <= from_hour <= to_hour <= 24"})
		}
	}
	return out
}

func (s Schema) pipelineViolations() []Violation {
	var out []Violation
	for _, name := range SortedKeys(s.Pipelines) {
		p := s.Pipelines[name]
		field := "pipelines." + name
		if p.DeadlineMs <= 0 {
			out = append(out, Violation{Field: field, Detail: "deadline_ms is not positive", Remedy: "give the deadline in milliseconds"})
		}
		if len(p.Stages) == 0 || len(p.Stages) > maxStages {
			out = append(out, Violation{Field: field, Detail: "no stages, or over six", Remedy: "give one to six stages"})
		}
		sum := 0.0
		for i, st := range p.Stages {
			sum += st.Share
			if st.Kind == "" {
				out = append(out, Violation{Field: field, Detail: "a stage has no kind", Remedy: "name the kind of upstream"})
			}
			if st.Once && i != len(p.Stages)-1 {
				out = append(out, Violation{Field: field, Detail: "a once-only stage is not the last", Remedy: "put it at the end, so that nothing behind it can fail a paid call"})
			}
		}
		if !(sum <= 1.0001) {
			out = append(out, Violation{Field: field, Detail: "the shares sum to more than 1", Remedy: "lower them"})
		}
	}
	return out
}

func (u Upstreams) violations() []Violation {
	if u.LongShare > 0 && u.LongShare <= 1 {
		return nil
	}
	return []Violation{{Field: "upstreams", Detail: "long_share outside 0 to 1", Remedy: "give the share of slots for long calls"}}
}
