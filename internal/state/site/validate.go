package site

import (
	"fmt"
	"strings"
)

// Violation is one reason to refuse a document.
type Violation struct {
	// Entry names the route, service, stage or accounts, for instance "route plans".
	Entry string
	// Field is the part of the entry that has to be changed.
	Field string
	// Problem says what is wrong, Remedy what to do about it.
	Problem, Remedy string
}

// String returns the violation as a line of text.
func (v Violation) String() string { return v.Entry + ": " + v.Problem + "; " + v.Remedy }

// ValidationError reports all violations in a document.
type ValidationError struct{ Violations []Violation }

// Error lists the violations with their remedies.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Violations))
	for i, v := range e.Violations {
		lines[i] = v.String()
	}
	return "configuration refused: " + strings.Join(lines, "; ")
}

// Validate returns a *ValidationError if the document must not be put in force.
func (d *Document) Validate() error {
	v := d.check()
	v.newRules(d)
	return v.err()
}

// ValidateStored is Validate without the rules that earlier versions of the program did not
// have, by which a document that they have accepted may be invalid.
func (d *Document) ValidateStored() error { return d.check().err() }

// check returns the violations of the rules that all versions of the program have.
func (d *Document) check() *validator {
	v := &validator{services: make(map[string]bool, len(d.Services))}
	for _, s := range d.Services {
		v.service(s)
	}
	v.routes(d.Routes)
	v.accounts(d.Accounts)
	return v
}

// newRules checks what earlier versions of the program did not.
func (v *validator) newRules(d *Document) {
	v.ranges(d)
	seen := make(map[hostPrefix]Route, len(d.Routes))
	for _, r := range d.Routes {
		if r.Service != "" && !v.services[r.Service] {
			v.add("route "+r.Name, "service", fmt.Sprintf("unknown service %q", r.Service), "add it, correct the name, or remove it beside the split")
		}
		key := hostPrefix{lowerHost(r.Host), r.Prefix}
		if other, ok := seen[key]; ok && other.Host != r.Host {
			v.add(fmt.Sprintf("routes %s and %s", other.Name, r.Name), "host", fmt.Sprintf("they share %s%s, as hosts are compared without case", key.host, key.prefix), "change one")
		}
		seen[key] = r
	}
}

// err returns the violations as an error, nil if there are none.
func (v *validator) err() error {
	if len(v.violations) == 0 {
		return nil
	}
	return &ValidationError{Violations: v.violations}
}

// validator collects the violations in a document. services holds the names of
// the services that were checked so far.
type validator struct {
	services   map[string]bool
	violations []Violation
}

func (v *validator) add(entry, field, problem, remedy string) {
	v.violations = append(v.violations, Violation{Entry: entry, Field: field, Problem: problem, Remedy: remedy})
}

func (v *validator) service(s Service) {
	entry := "service " + s.Name
	if s.Name == "" {
		v.add("services", "name", "a service has no name", "name it")
	}
	if v.services[s.Name] {
		v.add(entry, "name", "it stands twice", "remove one")
	}
	v.services[s.Name] = true
	if b := s.Batching; b != nil && (b.MaxBatch < 1 || b.Slots < 1) {
		v.add(entry, "batch and slots", "batch and slots must be positive", "set both to at least 1")
	}
	if !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxColdPerSecond) {
		v.add(entry, "cold rate", fmt.Sprintf("the cold rate is %v requests a second", s.ColdPerSecond),
			fmt.Sprintf("give the requests a second that a cold upstream tolerates, at most %d, or leave it out", maxColdPerSecond))
	}
	if !(s.ColdStartSeconds >= 0 && s.ColdStartSeconds <= maxColdStartSeconds) {
		v.add(entry, "cold period", fmt.Sprintf("the cold period is %v s", s.ColdStartSeconds),
			fmt.Sprintf("give the seconds that an upstream is cold after a start, at most %d, or leave it out", maxColdStartSeconds))
	}
}

const (
	// maxColdPerSecond is the highest rate that a cold upstream may be said to tolerate:
	// far more than a process can send.
	maxColdPerSecond = 1_000_000
	// maxColdStartSeconds is the longest time for which an upstream may be said to be
	// cold after a start.
	maxColdStartSeconds = 24 * 60 * 60
)

type hostPrefix struct{ host, prefix string }

func (v *validator) routes(routes []Route) {
	seen := make(map[hostPrefix]string, len(routes))
	for _, r := range routes {
		key := hostPrefix{r.Host, r.Prefix}
		if other, ok := seen[key]; ok {
			v.add(fmt.Sprintf("routes %s and %s", other, r.Name), "prefix", fmt.Sprintf("they share %s%s", r.Host, r.Prefix), "change one")
		}
		seen[key] = r.Name
		v.route(r)
	}
}

func (v *validator) route(r Route) {
	entry := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add(entry, "prefix", fmt.Sprintf("prefix %q must begin and end with a slash", r.Prefix), "add the slash")
	}
	if r.Timeout <= 0 {
		v.add(entry, "timeout", "the timeout must be positive", "set one")
	}
	total := 0.0
	for _, s := range r.Split {
		if !v.services[s.Service] {
			v.add(entry, "service", fmt.Sprintf("unknown service %q", s.Service), "add it or correct the name")
		}
		if s.Weight < 0 {
			v.add(entry, "weight", fmt.Sprintf("the weight of %s must not be negative", s.Service), "set it to 0 or more")
		}
		total += s.Weight
	}
	if total <= 0 {
		v.add(entry, "weight", "the weights add up to 0", "give one a weight")
	}
	for i, s := range r.Stages {
		v.stage(r, i, s)
	}
}

func (v *validator) stage(r Route, i int, s Stage) {
	entry := fmt.Sprintf("route %s, stage %d", r.Name, i)
	if !v.services[s.Service] {
		v.add(entry, "service", fmt.Sprintf("unknown service %q", s.Service), "add it or correct the name")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			v.add(entry, "inputs", fmt.Sprintf("inputs from stage %d", d), "use an earlier stage")
		}
	}
}

func (v *validator) accounts(accounts []Account) {
	accountOf := make(map[string]string)
	for _, a := range accounts {
		for _, k := range a.Keys {
			if other, ok := accountOf[k]; ok && other != a.Name {
				v.add(fmt.Sprintf("accounts %s and %s", other, a.Name), "keys", "they share a key", "give each its own")
			}
			accountOf[k] = a.Name
		}
	}
}
