package check

import (
	"errors"
	"fmt"
	"strings"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// Input is what a check needs.
type Input struct {
	// Text is the document as it would be sent.
	Text []byte
	// Decode is the decoder of the registry.
	Decode func(text []byte) (*site.Document, error)
	// InForce is the document to compare with, nil for none.
	InForce *site.Document
}

// entryDocument is the entry of findings about a document as a whole.
const entryDocument = "document"

// Run checks a document. The report has errors if and only if a registry would refuse it.
func Run(in Input) Report {
	if len(in.Text) > site.MaxTextBytes {
		return refused(fmt.Sprintf("it has more than the %d bytes that a registry reads", site.MaxTextBytes), "make it smaller")
	}
	d, err := in.Decode(in.Text)
	if err != nil {
		problem, remedy := splitRemedy(err.Error())
		return refused(problem, remedy)
	}
	r := Report{Version: d.Version, Findings: append(violations(d), warnings(d)...)}
	if in.InForce != nil {
		inForce := in.InForce.Version
		r.InForce = &inForce
		r.Differences = Compare(in.InForce, d)
		if d.Version <= inForce {
			r.Findings = append(r.Findings, Finding{
				Warning, RuleVersionNotHigher, entryDocument, "version",
				fmt.Sprintf("version %d is not higher than version %d in force, so it changes nothing", d.Version, inForce), "give it a higher version",
			})
		}
	}
	r.Findings = sortFindings(r.Findings)
	return r
}

func refused(problem, remedy string) Report {
	return Report{Findings: []Finding{{Error, RuleRefused, entryDocument, "text", problem, remedy}}}
}

// splitRemedy splits the message of a decoder, which ends with a semicolon and the remedy.
func splitRemedy(message string) (problem, remedy string) {
	if i := strings.LastIndex(message, "; "); i >= 0 {
		return message[:i], message[i+len("; "):]
	}
	return message, "send a document that can be read"
}

// violations returns what Validate refuses.
func violations(d *site.Document) []Finding {
	err := d.Validate()
	if err == nil {
		return nil
	}
	var invalid *site.ValidationError
	if !errors.As(err, &invalid) {
		return refused(err.Error(), "correct it").Findings
	}
	var findings []Finding
	for _, v := range invalid.Violations {
		findings = append(findings, Finding{Error, RuleRefused, v.Entry, v.Field, v.Problem, v.Remedy})
	}
	return findings
}

// warnings returns what a registry accepts although it cannot work as written.
func warnings(d *site.Document) []Finding {
	c := checker{document: d, services: make(map[string]site.Service, len(d.Services))}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	c.names()
	c.matches()
	c.uses()
	for _, r := range d.Routes {
		c.routeLimits(r)
		c.stages(r)
	}
	timeouts := longestTimeouts(d)
	for _, s := range d.Services {
		c.batching(s, timeouts[s.Name])
		c.cold(s)
	}
	c.limits()
	return c.findings
}

// checker collects the warnings about a document.
type checker struct {
	document *site.Document
	services map[string]site.Service
	findings []Finding
}

func (c *checker) warn(rule Rule, entry, field, problem, remedy string) {
	c.findings = append(c.findings, Finding{Warning, rule, entry, field, problem, remedy})
}

func routeEntry(r site.Route) string { return "route " + r.Name }

func serviceEntry(name string) string { return "service " + name }

func accountEntry(a site.Account) string { return "account " + a.Name }
