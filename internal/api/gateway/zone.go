package gateway

import "hawthornhub.example/hawthornhub/internal/serve/balance"

// homeZone is the availability zone in which the work on a request begins, so
// that its results need not cross zones. Requests with a common prompt have the
// same one; zones get requests by their number of upstreams.
func (q *request) homeZone(service string) string {
	key := q.shared()
	if key == "" {
		key = q.ID
	}
	u, ok := balance.Warmest(key, q.server.cfg.Upstreams(service))
	if !ok {
		return q.server.cfg.Zone
	}
	return u.Zone
}

// zoneOf returns the availability zone in which most of the results lie.
func (q *request) zoneOf(handles []string) string {
	counts := make(map[string]int)
	best := ""
	for _, h := range handles {
		zone := q.server.cfg.ZoneOf(h)
		counts[zone]++
		if counts[zone] > counts[best] {
			best = zone
		}
	}
	return best
}
