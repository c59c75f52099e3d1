// Package admit decides whether a request is admitted.
//
// A Controller tracks, for each lane of each pool of upstreams, the outstanding
// work: the expected service time of all stages of admitted requests that have
// not ended, including later stages that have not been dispatched. The expected
// wait in a lane is its outstanding work divided by its slots. A request is
// refused at once if it is not expected to end well before its deadline. When
// waits are long, an account may not hold more than its weighted share of the
// work.
//
// # Usage
//
//	c := admit.NewController()
//	if err := c.Admit(request, longShare, capacity); err != nil { ... refuse ... }
//	c.StageDone(request, 0)
//	c.Release(request)
package admit
