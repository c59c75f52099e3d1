// Package eligible tells which upstreams may be sent a request now.
//
// A Rule holds one reason why an upstream may not be called, such as an evacuated
// availability zone or a back-off that the upstream asked for, and says how long it
// lasts. Rules decides by all of them; the balancer and the batcher choose among the
// upstreams that are left. If none is left, the shortest wait tells the caller when to
// come back.
//
// # Usage
//
//	rules := eligible.Rules{evacuations, backoffs}
//	callable, wait := rules.Filter(now, upstreams.Ready(service))
//	if len(callable) == 0 {
//		refuse(wait)
//	}
package eligible
