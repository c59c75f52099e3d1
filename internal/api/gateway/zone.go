package gateway

import "hawthornhub.example/hawthornhub/internal/serve/balance"

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
