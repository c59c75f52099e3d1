package site

import (
	"slices"
	"strings"
)

// Index looks up the routes, services and accounts of one Document. It is
// immutable and safe for concurrent use.
type Index struct {
	*Document
	// routesByHost holds the routes of each host, written in lower case, the longest prefix
	// first.
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
		host := lowerHost(r.Host)
		x.routesByHost[host] = append(x.routesByHost[host], r)
	}
	for _, routes := range x.routesByHost {
		slices.SortStableFunc(routes, byPrefix)
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		for _, k := range a.Keys {
			x.accountsByKey[k] = a
		}
	}
	return x
}

// byPrefix orders routes of one host by their prefixes, the longest first. Validate refuses
// two routes whose hosts differ only in case and that share a prefix, but a document of an
// earlier version of the program may have them: the one in lower case was in force then.
func byPrefix(a, b *Route) int {
	if n := len(b.Prefix) - len(a.Prefix); n != 0 {
		return n
	}
	return strings.Compare(b.Host, a.Host)
}

// lowerHost returns a host with its ASCII letters in lower case, as hosts are compared. No
// other letter may become one that a request can have in its host.
func lowerHost(host string) string {
	return strings.Map(func(r rune) rune {
		if 'A' <= r && r <= 'Z' {
			r += 'a' - 'A'
		}
		return r
	}, host)
}

// Route returns the route of a host whose prefix is the longest that begins the path. The path
// is that of the request as it was sent: an escaped slash is part of a segment and ends none.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.routesByHost[lowerHost(host)] {
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
