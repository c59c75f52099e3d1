package site

import (
	"slices"
	"strings"
)

// Index looks up the routes, services and accounts of one Document. It is
// immutable and safe for concurrent use.
type Index struct {
	*Document
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost  map[string][]*Route
	services      map[string]*Service
	accountsByKey map[string]*Account
}

// NewIndex returns the Index of a valid document.
func NewIndex(d *Document) *Index {
	x := &Index{
		Document:      d,
		routesByHost:  make(map[string][]*Route),
		services:      make(map[string]*Service, len(d.Services)),
		accountsByKey: make(map[string]*Account),
	}
	for i := range d.Services {
		s := &d.Services[i]
		x.services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routesByHost[r.Host] = append(x.routesByHost[r.Host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			x.accountsByKey[k] = a
		}
	}
	return x
}

// Route returns the route of a host whose prefix is the longest that matches the
// path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// RequiresKey reports whether requests need an API key, which is the case if the
// document lists accounts.
func (x *Index) RequiresKey() bool { return len(x.Accounts) > 0 }

// Account returns the account that owns an API key.
func (x *Index) Account(key string) (*Account, bool) {
	a, ok := x.accountsByKey[key]
	return a, ok
}
