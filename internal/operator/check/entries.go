package check

import (
	"fmt"
	"strings"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// names reports routes and accounts that share a name. Logs and metrics cannot tell them apart.
// Services that do are refused by the registry.
func (c *checker) names() {
	seen := make(map[string]bool)
	once := func(entry string) {
		if seen[entry] {
			c.warn(RuleNameTwice, entry, "name", "the name stands twice, so logs and metrics cannot tell them apart", "give each its own name")
		}
		seen[entry] = true
	}
	for _, r := range c.document.Routes {
		once(routeEntry(r))
	}
	for _, a := range c.document.Accounts {
		once(accountEntry(a))
	}
}

// hostBytes are the bytes other than letters and digits that an HTTP server accepts in a Host
// header.
const hostBytes = "!$%&'()*+,-.:;=[]_~"

// matches reports routes that the router never chooses.
func (c *checker) matches() {
	folded := make(map[string]site.Route)
	for _, r := range c.document.Routes {
		c.host(r)
		c.prefix(r)
		key := strings.ToLower(r.Host) + "\x00" + strings.ToLower(r.Prefix)
		other, ok := folded[key]
		if ok && other.Prefix != r.Prefix {
			c.warn(RuleRoutesDifferInCase, routeEntry(r), "host and prefix",
				fmt.Sprintf("%s%s differs from %s%s of route %s only in case", r.Host, r.Prefix, other.Host, other.Prefix, other.Name), "change or remove one")
		}
		if !ok {
			folded[key] = r
		}
	}
}

// host reports a host that no request has.
func (c *checker) host(r site.Route) {
	report := func(problem, remedy string) {
		c.warn(RuleHostNeverMatches, routeEntry(r), "host", problem, remedy)
	}
	switch {
	case r.Host == "":
		report("the host is empty, which matches only requests without a host", "name the host")
	case strings.ContainsFunc(r.Host, notInHost):
		report(fmt.Sprintf("host %q has a character that a Host header cannot have", r.Host), "give the host as callers send it, without scheme and path and in ASCII")
	case strings.Contains(r.Host, "*"):
		report(fmt.Sprintf("host %q has an asterisk, which is compared literally", r.Host), "add a route for each host")
	}
}

func notInHost(r rune) bool {
	letterOrDigit := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !letterOrDigit && (r > '~' || !strings.ContainsRune(hostBytes, r))
}

// prefix reports a prefix that no path begins with. The router compares it with the path of a
// request as it was sent and without the query.
func (c *checker) prefix(r site.Route) {
	report := func(problem, remedy string) {
		c.warn(RulePrefixNeverMatches, routeEntry(r), "prefix", fmt.Sprintf("prefix %q %s", r.Prefix, problem), remedy)
	}
	switch {
	case strings.Contains(r.Prefix, "?"):
		report("has a query, which is not part of a path", "remove the query")
	case strings.Contains(r.Prefix, "#"):
		report("has a fragment, which callers do not send", "remove the fragment")
	case strings.ContainsFunc(r.Prefix, notInPath):
		report("has a character that callers escape, and is compared with the path as they send it", "write the character escaped, such as %20 for a space")
	case strings.Contains(r.Prefix+"/", "/./") || strings.Contains(r.Prefix+"/", "/../"):
		report("has a dot segment, which callers resolve before they send the path", "write the path without it")
	}
}

// notInPath reports whether callers must escape a character in a path.
func notInPath(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`"<>\^`+"`{|}", r) }

// uses reports entries that nothing uses and settings without effect.
func (c *checker) uses() {
	used := make(map[string]bool)
	for _, r := range c.document.Routes {
		for _, s := range r.Split {
			used[s.Service] = true
			if s.Weight == 0 && len(r.Split) > 1 {
				c.warn(RuleWeightZero, routeEntry(r), "weight", fmt.Sprintf("service %s has weight 0 and gets no requests", s.Service), "remove it or give it a weight")
			}
		}
		for _, s := range r.Stages {
			used[s.Service] = true
		}
		c.streamSettings(r)
	}
	for _, s := range c.document.Services {
		if !used[s.Name] {
			c.warn(RuleServiceUnused, serviceEntry(s.Name), "name", "no route or stage uses it", "use it or remove it")
		}
	}
	for _, a := range c.document.Accounts {
		c.keys(a)
	}
}

// streamSettings reports settings of streams in a route of another kind.
func (c *checker) streamSettings(r site.Route) {
	if r.Kind == site.Streaming {
		return
	}
	if r.Resumable {
		c.warn(RuleWithoutEffect, routeEntry(r), "resumable", fmt.Sprintf("only streams are resumed, and the route is %s", r.Kind), "remove it or make the route streaming")
	}
	if r.GapObjective != 0 {
		c.warn(RuleWithoutEffect, routeEntry(r), "gap objective", fmt.Sprintf("only streams have events, and the route is %s", r.Kind), "remove it or make the route streaming")
	}
}

func (c *checker) keys(a site.Account) {
	if len(a.Keys) == 0 {
		c.warn(RuleAccountWithoutKeys, accountEntry(a), "keys", "it has no keys, so no request belongs to it", "give it a key or remove it")
	}
	for _, k := range a.Keys {
		if k == "" {
			c.warn(RuleEmptyKey, accountEntry(a), "keys", "requests that send the scheme of a key and no key belong to it", "replace the key")
		}
	}
}
