package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// applyWait is config-apply-ms of the small sites, and a moment more.
	applyWait = 3 * time.Second
	// checkedRequests is the number of requests that each gateway gets in a check.
	checkedRequests = 20
)

// shop answers each request at once with 200 and its own name.
func shop(s *server) func(r *http.Request, body []byte) response {
	return func(r *http.Request, _ []byte) response {
		id := r.Header.Get("Hawthornhub-Attempt-Id")
		s.w.mu.Lock()
		s.w.runs[id]++
		s.w.mu.Unlock()
		s.f.rec.note("%s (%s) runs %s", s.id, s.service, id)
		return response{
			status: http.StatusOK,
			header: "Hawthornhub-Server-Seal: seal-" + s.id + "\r\nContent-Type: text/plain\r\nHawthornhub-Server-Load: 1,0,8,100\r\n",
			body:   []byte("done by " + s.service + "\n"),
		}
	}
}

// shopDocument is a configuration whose only route goes to a service.
func shopDocument(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"a.example","path-prefix":"/r/","kind":"unsafe","timeout-ms":2000,"slo-ms":300,"priority":0,"service":%q,"max-attempts":1,"allow-anonymous":true}],`+
		`"services":[{"name":"shop","health-path":"/health","max-connections":54,"protocol":"h1","tls":false},{"name":"depot","health-path":"/health","max-connections":54,"protocol":"h1","tls":false}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`, version, service)
}

// otherWriter sends one heartbeat for an id, as it stands in the path, to each registry.
func (f *fleet) otherWriter(id string) error {
	for i := 1; i <= 3; i++ {
		// The path is sent as it is given; url.Parse would refuse nothing in it.
		body := `{"service":"espresso","address":"127.0.44.1:9","zone":"z1","version":"v1","slots":1,"state":"ready","cold-left-ms":0,"seq":1,"born":1}`
		request, err := http.NewRequest(http.MethodPut, "http://"+f.registryAddress(i)+"/v1/instances/"+id, strings.NewReader(body))
		if err != nil {
			return err
		}
		response, err := operatorClient.Do(request)
		if err != nil {
			f.rec.note("other writer: heartbeat of %s to registry-%d: %v", id, i, err)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		f.rec.note("other writer: heartbeat of %s to registry-%d: %d %s", id, i, response.StatusCode, strings.TrimSpace(string(text)))
		time.Sleep(heartbeatInterval)
	}
	return nil
}

// checkServedBy sends requests to each gateway and counts those that a service other than
// the wanted one has run, or that were refused with 401, 403 or 404.
func (f *fleet) checkServedBy(gateways int, prefix, service string) (served, wrong int) {
	for g := 1; g <= gateways; g++ {
		for i := range checkedRequests {
			a := f.request(g, fmt.Sprintf("%s-g%d-%02d", prefix, g, i), "/r/x")
			switch {
			case a.status == http.StatusOK && strings.Contains(a.body, service):
				served++
			case a.status == http.StatusOK, a.status == http.StatusNotFound, a.status == http.StatusForbidden, a.status == http.StatusUnauthorized:
				f.rec.note("SEEN: %s-g%d-%02d was handled as only the older version allows: %d %s", prefix, g, i, a.status, strings.TrimSpace(a.body))
				wrong++
			}
		}
	}
	return served, wrong
}

// unreadableID has another writer send a heartbeat whose id cannot be read as text. Then
// the operator moves the route to another service.
func unreadableID(f *fleet, trouble bool) (bool, error) {
	if err := f.startCore(); err != nil {
		return false, err
	}
	w := newWorld()
	for _, service := range []string{"shop", "depot"} {
		if _, err := f.startServer(service+"-1", service, w, shop); err != nil {
			return false, err
		}
	}
	if _, err := f.put(20, shopDocument(20, "shop"), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(applyWait)
	if served, wrong := f.checkServedBy(2, "before", "shop"); wrong > 0 || served == 0 {
		return false, fmt.Errorf("before the disruption %d requests were served and %d handled by another version", served, wrong)
	}
	id := "caf%C3%A9-1"
	if trouble {
		id = "caf%E9-1"
	}
	if err := f.otherWriter(id); err != nil {
		return false, err
	}
	if _, err := f.put(30, shopDocument(30, "depot"), ackIn, 1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(applyWait)
	served, wrong := f.checkServedBy(2, "after", "depot")
	f.rec.note("sent %v after version 30 was acknowledged: %d served as it says, %d handled as only version 20 allows", applyWait, served, wrong)
	return wrong > 0, nil
}
