package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// nestedDocument is a configuration with a route whose prefix begins that of another one,
// each to a service of its own, on the given host.
func nestedDocument(version int, host string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":%q,"path-prefix":"/r/","kind":"unsafe","timeout-ms":2000,"slo-ms":300,"priority":0,"service":"shop","max-attempts":1,"allow-anonymous":true},`+
		`{"name":"paid","host":%q,"path-prefix":"/r/paid/","kind":"unsafe","timeout-ms":2000,"slo-ms":300,"priority":0,"service":"depot","max-attempts":1,"allow-anonymous":true}],`+
		`"services":[{"name":"shop","health-path":"/health","max-connections":54,"protocol":"h1","tls":false},{"name":"depot","health-path":"/health","max-connections":54,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, version, host, host)
}

func (f *fleet) startNested(host string) error {
	if err := f.startCore(); err != nil {
		return err
	}
	w := newWorld()
	for _, service := range []string{"shop", "depot"} {
		if _, err := f.startServer(service+"-1", service, w, shop); err != nil {
			return err
		}
	}
	if _, err := f.put(20, nestedDocument(20, host), ackIn, 1, 2, 3); err != nil {
		return err
	}
	time.Sleep(applyWait)
	return nil
}

// escapedSlash sends requests whose path begins with the shorter of two prefixes only. If
// the trouble is wanted, the slash that would end the longer prefix is escaped.
func escapedSlash(f *fleet, trouble bool) (bool, error) {
	if err := f.startNested("a.example"); err != nil {
		return false, err
	}
	path := "/r/paid-7"
	if trouble {
		path = "/r/paid%2F7"
	}
	wrong := 0
	for g := 1; g <= 2; g++ {
		for i := range checkedRequests {
			id := fmt.Sprintf("e-g%d-%02d", g, i)
			if a := f.request(g, id, path); a.status == http.StatusOK && !strings.Contains(a.body, "shop") {
				f.rec.note("SEEN: %s was run by a service to which no version sends it: %s", id, strings.TrimSpace(a.body))
				wrong++
			}
		}
	}
	f.rec.note("%d of %d requests for %s were run by the service of the prefix /r/paid/", wrong, 2*checkedRequests, path)
	return wrong > 0, nil
}

// allowedDenials is the number of proper requests in a count that may be denied.
func allowedDenials(requests int) int { return 5 + requests/500 }

// capitalHost sends requests to a route whose host has a capital letter if the trouble is
// wanted.
func capitalHost(f *fleet, trouble bool) (bool, error) {
	f.host = "a.example"
	if trouble {
		f.host = "A.example"
	}
	if err := f.startNested(f.host); err != nil {
		return false, err
	}
	denied := 0
	for g := 1; g <= 2; g++ {
		for i := range checkedRequests {
			id := fmt.Sprintf("h-g%d-%02d", g, i)
			if a := f.request(g, id, "/r/x"); a.status == http.StatusNotFound {
				denied++
			}
		}
	}
	f.rec.note("%d of %d proper requests were denied with 404", denied, 2*checkedRequests)
	return denied > allowedDenials(2*checkedRequests), nil
}
