package check

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hawthornhub.example/hawthornhub/internal/state/site"
)

// requestTimeout limits a request of a test.
const requestTimeout = 5 * time.Second

// TestRouterAgreesWithRules guards against a rule that reports a route which requests do reach,
// and against a router that changes without the rules. Requests are sent as the route is written,
// over a connection, because the HTTP server rejects some hosts itself.
func TestRouterAgreesWithRules(t *testing.T) {
	for _, tt := range []struct {
		host, prefix string
		matched      bool
	}{
		{"a.example", "/plans/", true},
		{"a.example:8080", "/plans/", true},
		{"a_b.example", "/~/", true},
		{"a.example", "/a+b/", true},
		{"A.example", "/plans/", true},
		{"http://a.example", "/plans/", false},
		{"b\u00fccher.example", "/plans/", false},
		{"a b", "/plans/", false},
		{"a.example", "/a%2Fb/", true},
		{"a.example", "/a%20b/", true},
		{"a.example", "/a b/", false},
		{"a.example", "/a?b=/", false},
		{"a.example", "/a#b/", false},
	} {
		d := sound()
		d.Routes[0].Host, d.Routes[0].Prefix = tt.host, tt.prefix
		reported := has(run(d, nil), RuleHostNeverMatches, "route plans", "host") || has(run(d, nil), RulePrefixNeverMatches, "route plans", "prefix")
		got := matches(t, site.NewIndex(d), tt.host, strings.SplitN(tt.prefix, "#", 2)[0])
		if got != tt.matched {
			t.Errorf("%s%s: got matched %v, want %v", tt.host, tt.prefix, got, tt.matched)
		}
		if reported == got {
			t.Errorf("%s%s: got reported %v and matched %v, want one of them", tt.host, tt.prefix, reported, got)
		}
	}
}

// matches sends a request to a server that looks up its route, and reports whether it found one.
func matches(t *testing.T, x *site.Index, host, path string) bool {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		if _, ok := x.Route(r.Host, path); !ok {
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer server.Close()
	conn, err := net.DialTimeout("tcp", server.Listener.Addr().String(), requestTimeout)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout))
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, host)
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("read answer: %v", err)
	}
	return strings.HasPrefix(string(answer), "HTTP/1.1 200 ")
}
