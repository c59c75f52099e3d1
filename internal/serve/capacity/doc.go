// Package capacity learns how fast the upstreams of each service work and how many
// requests at once each one takes well.
//
// The expected time of an exchange is the product of four parts:
//
//   - the time of its work at low load on a typical upstream of the service, a line over
//     the size of the work, such as the tokens of a prompt that are not cached;
//   - the growth of that time with the number of requests that the upstream has, a curve
//     of the service;
//   - the deviation of the upstream from that curve;
//   - the pace of the upstream: its time as a multiple of the typical time.
//
// The pace is a weighted median over short windows, which follows a lasting change within
// a few seconds and ignores single outliers and short disturbances. Its weight decays while
// nothing is observed, so that a slow upstream is tried again. Other entries' observations
// of the pace arrive as pooled paces, which Pool computes from their reports.
//
// # Usage
//
//	m := capacity.NewModel()
//	m.Observe(now, capacity.Observation{Service: s, Upstream: id, Work: tokens, Load: load, Took: took})
//	took, ok := m.Predict(now, capacity.Query{Service: s, Upstream: id, Work: tokens, Load: load})
package capacity
