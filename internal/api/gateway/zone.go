package gateway

import "hawthornhub.example/hawthornhub/internal/serve/balance"

// preferredZone is the availability zone in which the stages of a request
// start, so that its results need not cross zones. Requests that share a prompt
// prefix get the same zone; other requests are spread over the zones in
// proportion to the upstreams there.
func (q *request) preferredZone(service string) string {
	key := q.sharedPrefix()
	if key == "" {
		key = q.ID
	}
	u, ok := balance.ByHash(key, q.server.cfg.Upstreams(service))
	if !ok {
		return q.server.cfg.Zone
	}
	return u.Zone
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
