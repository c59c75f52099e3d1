package site

import (
	"fmt"
	"strings"
)

// ValidationError reports all violations in a document.
type ValidationError struct{ Violations []string }

// Error lists the violations with their remedies.
func (e *ValidationError) Error() string {
	return "configuration refused: " + strings.Join(e.Violations, "; ")
}

// Validate returns a *ValidationError if the document is invalid.
func (d *Document) Validate() error {
	v := validator{services: make(map[string]bool, len(d.Services))}
	for _, s := range d.Services {
		v.service(s)
	}
	v.routes(d.Routes)
	v.accounts(d.Accounts)
	if len(v.violations) > 0 {
		return &ValidationError{Violations: v.violations}
	}
	return nil
}

// validator collects the violations in a document. services holds the names of
// the services that were checked so far.
type validator struct {
	services   map[string]bool
	violations []string
}

func (v *validator) add(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

func (v *validator) service(s Service) {
	if s.Name == "" {
		v.add("a service has no name; name it")
	}
	if v.services[s.Name] {
		v.add("service %s stands twice; remove one", s.Name)
	}
	v.services[s.Name] = true
	if b := s.Batching; b != nil && (b.MaxBatch < 1 || b.Slots < 1) {
		v.add("service %s: batch and slots must be positive", s.Name)
	}
	if !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= maxColdPerSecond) {
		v.add("service %s: cold-per-s is %v; give the requests a second that a cold upstream tolerates, at most %d, or leave it out", s.Name, s.ColdPerSecond, maxColdPerSecond)
	}
	if !(s.ColdStartSeconds >= 0 && s.ColdStartSeconds <= maxColdStartSeconds) {
		v.add("service %s: cold-start-s is %v; give the seconds that an upstream is cold after a start, at most %d, or leave it out", s.Name, s.ColdStartSeconds, maxColdStartSeconds)
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
			v.add("routes %s and %s share %s%s; change one", other, r.Name, r.Host, r.Prefix)
		}
		seen[key] = r.Name
		v.route(r)
	}
}

func (v *validator) route(r Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add("route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Timeout <= 0 {
		v.add("route %s: the timeout must be positive", r.Name)
	}
	total := 0.0
	for _, s := range r.Split {
		if !v.services[s.Service] {
			v.add("route %s: unknown service %q; add it or correct the name", r.Name, s.Service)
		}
		if s.Weight < 0 {
			v.add("route %s: the weight of %s must not be negative", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		v.add("route %s: the weights add up to 0; give one a weight", r.Name)
	}
	for i, s := range r.Stages {
		v.stage(r, i, s)
	}
}

func (v *validator) stage(r Route, i int, s Stage) {
	if !v.services[s.Service] {
		v.add("route %s, stage %d: unknown service %q; add it or correct the name", r.Name, i, s.Service)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= i {
			v.add("route %s, stage %d: inputs from stage %d; use an earlier stage", r.Name, i, d)
		}
	}
}

func (v *validator) accounts(accounts []Account) {
	accountOf := make(map[string]string)
	for _, a := range accounts {
		for _, k := range a.Keys {
			if other, ok := accountOf[k]; ok && other != a.Name {
				v.add("accounts %s and %s share a key; give each its own", other, a.Name)
			}
			accountOf[k] = a.Name
		}
	}
}
