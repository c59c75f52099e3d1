// Package zonefilter keeps requests from the upstreams of evacuated availability zones, and
// lets zones that were restored take load gradually.
//
// A Filter is a rule of package eligible: it is asked before an upstream is chosen and
// again before a request is written. It also shortens the lists of upstreams by which
// services are split and stages are placed, so that no work is planned for a zone that may
// not be called.
//
// The upstreams of a restored zone may have been idle for long. For returnTime, the list
// of upstreams leaves them out for a share of the requests, which falls to nothing. It
// never does if there are no others. That is no limit of the rate of one upstream.
//
// The package has no clock: each call is given the present time.
//
// # Usage
//
//	f := zonefilter.New(zonefilter.Config{Random: rand.Float64})
//	begun, ended := f.Apply(now, evacuations)
//	rules := eligible.Rules{f}
//	upstreams := f.Available(service, table.Ready(service))
package zonefilter
