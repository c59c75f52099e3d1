package gateway

import (
	"fmt"

	"hawthornhub.example/hawthornhub/internal/serve/balance"
)

// evacuated returns the number of upstreams of a service that may not be called because
// their availability zone is evacuated.
func (s *Server) evacuated(service string) int {
	if s.cfg.Evacuated == nil {
		return 0
	}
	return s.cfg.Evacuated(service)
}

// checkZones refuses a request at once if every upstream of a service that it needs lies in
// an evacuated zone: nobody knows when one may be called again, and work on the stages
// before would be lost.
func (q *request) checkZones() *failure {
	services := []string{q.service.Name}
	for i, stage := range q.route.Stages {
		if q.pieceCount(i) > 0 {
			services = append(services, stage.Service)
		}
	}
	for _, service := range services {
		if q.server.evacuated(service) > 0 && len(q.server.cfg.Upstreams(service)) == 0 {
			return unavailable(fmt.Sprintf("every upstream of service %s is in an evacuated zone", service), defaultRetryAfter)
		}
	}
	return nil
}

// stageZone returns the availability zone in which the stages of a request start, so
// that its results need not cross zones. Requests that share a prompt prefix get the
// same zone; other requests are spread over the zones in proportion to the upstreams
// of the first stage there. It stays the same for the life of the request.
func (q *request) stageZone() string {
	if q.zone != "" {
		return q.zone
	}
	key := q.sharedPrefix()
	if key == "" {
		key = q.ID
	}
	q.zone = q.server.cfg.Zone
	if u, ok := balance.ByHash(key, q.server.cfg.Upstreams(q.route.Stages[0].Service)); ok {
		q.zone = u.Zone
	}
	return q.zone
}

// majorityZone returns the availability zone that holds most of the given
// results.
func (q *request) majorityZone(handles []string) string {
	counts := make(map[string]int)
	best := ""
	for _, h := range handles {
		zone := q.server.cfg.ResultZone(h)
		counts[zone]++
		if counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}
