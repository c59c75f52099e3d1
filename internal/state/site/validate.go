package site

import (
	"fmt"
	"strings"
)

// FaultError reports all faults of a document.
type FaultError struct{ Faults []string }

// Error lists the faults with their remedies.
func (e *FaultError) Error() string {
	return "configuration refused: " + strings.Join(e.Faults, "; ")
}

// Validate returns a *FaultError where the document cannot be obeyed.
func (d *Document) Validate() error {
	v := validation{services: make(map[string]bool, len(d.Services))}
	for _, s := range d.Services {
		v.service(s)
	}
	v.routes(d.Routes)
	v.accounts(d.Accounts)
	if len(v.faults) > 0 {
		return &FaultError{Faults: v.faults}
	}
	return nil
}

type validation struct {
	services map[string]bool
	faults   []string
}

func (v *validation) add(format string, args ...any) {
	v.faults = append(v.faults, fmt.Sprintf(format, args...))
}

func (v *validation) service(s Service) {
	if s.Name == "" {
		v.add("a service has no name; name it")
	}
	if v.services[s.Name] {
		v.add("service %s stands twice; remove one", s.Name)
	}
	v.services[s.Name] = true
	if p := s.Pieces; p != nil && (p.Batch < 1 || p.Slots < 1) {
		v.add("service %s: batch and slots must be positive", s.Name)
	}
}

type place struct{ host, prefix string }

func (v *validation) routes(routes []Route) {
	seen := make(map[place]string, len(routes))
	for _, r := range routes {
		at := place{r.Host, r.Prefix}
		if other, ok := seen[at]; ok {
			v.add("routes %s and %s share %s%s; change one", other, r.Name, r.Host, r.Prefix)
		}
		seen[at] = r.Name
		v.route(r)
	}
}

func (v *validation) route(r Route) {
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

func (v *validation) stage(r Route, i int, s Stage) {
	if !v.services[s.Service] {
		v.add("route %s, stage %d: unknown service %q; add it or correct the name", r.Name, i, s.Service)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			v.add("route %s, stage %d: inputs from stage %d; use an earlier stage", r.Name, i, a)
		}
	}
}

func (v *validation) accounts(accounts []Account) {
	owner := make(map[string]string)
	for _, a := range accounts {
		for _, k := range a.Keys {
			if other, ok := owner[k]; ok && other != a.Name {
				v.add("accounts %s and %s share a key; give each its own", other, a.Name)
			}
			owner[k] = a.Name
		}
	}
}
