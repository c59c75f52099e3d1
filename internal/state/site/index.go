package site

import (
	"slices"
	"strings"
)

// Index finds routes, services and accounts of one Document. It is immutable.
type Index struct {
	*Document
	// hosts holds each host's routes, the longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
}

// NewIndex returns the Index of a valid document.
func NewIndex(d *Document) *Index {
	x := &Index{
		Document: d,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(d.Services)),
		accounts: make(map[string]*Account),
	}
	for i := range d.Services {
		s := &d.Services[i]
		x.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, routes := range x.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			x.accounts[k] = a
		}
	}
	return x
}

// Route returns the route of a host with the longest prefix of the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Guarded reports whether requests need a key.
func (x *Index) Guarded() bool { return len(x.Accounts) > 0 }

// Account returns the account that holds a key.
func (x *Index) Account(key string) (*Account, bool) {
	a, ok := x.accounts[key]
	return a, ok
}
