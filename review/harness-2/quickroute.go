package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenes["quick-route"] = quickRoute }

const (
	// quickTimeout is the timeout-ms of the route that is added, and quickObjective its slo-ms.
	// The servers work 5 ms on a request.
	quickTimeout   = 120
	quickObjective = 60
	// quickRequests is the number of requests on each of the two routes.
	quickRequests = 60
)

// withRoute returns a document with one more route to the plain service.
func withRoute(version, timeoutMs, objectiveMs int) object {
	d := document(version, nil)
	d["routes"] = append(d["routes"].([]object), object{
		"name": "quick", "host": "quick.example", "path-prefix": "/quick/", "kind": "safe", "timeout-ms": timeoutMs,
		"slo-ms": objectiveMs, "priority": 2, "service": "api", "max-attempts": 2, "allow-anonymous": true,
	})
	return d
}

// quickRoute adds a route with a short timeout to a service that answers well within it.
func quickRoute(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 2)
	if err != nil {
		return false, err
	}
	defer f.close()
	var servers []*server
	for i := range 3 {
		s := f.newServer(fmt.Sprintf("i-api%d", i), "api", zoneOf(i), 6)
		servers = append(servers, s)
		if err := s.start(""); err != nil {
			return false, err
		}
	}
	if _, err := f.putConfig(document(7, nil)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	timeout, objective := 2000, 300
	if trouble {
		timeout, objective = quickTimeout, quickObjective
	}
	if _, err := f.putConfig(withRoute(9, timeout, objective)); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	first, added := &tally{counts: map[string]int{}}, &tally{counts: map[string]int{}}
	for i := range quickRequests {
		first.add("first", sendStatus(f, i))
		h := map[string]string{"Hawthornhub-Time-Left-Ms": "4000"}
		added.add("added", f.request(i%f.gateways, "GET", "quick.example", "/quick/x", h, "", time.Second))
		time.Sleep(50 * time.Millisecond)
	}
	arrived := 0
	for _, s := range servers {
		for _, a := range s.arrived() {
			if a.path == "/quick/x" {
				arrived++
			}
		}
	}
	r.add("%v %v, %d requests on the added route reached a server", first.counts, added.counts, arrived)
	fmt.Println(first.counts, added.counts, "reached a server:", arrived)
	if 2*first.get("first 200") < quickRequests {
		return false, errors.New("the fleet doesn't serve the first route")
	}
	return 4*added.get("added 200") < first.get("first 200"), nil
}
